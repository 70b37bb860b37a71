#include "TestFramework/upstream/RunRecord.h"

namespace cuminfield::test_framework::upstream {

RunRecord::RunRecord(std::string aUpstream, std::string aVersion, const std::string& aFile)
  : mUpstream(std::move(aUpstream))
  , mVersion(std::move(aVersion))
{
  if (!aFile.empty()) {
    mFile.open(aFile, std::ios::app);
  }
}

void RunRecord::AddBegin(const RunInfo& aRun, core::WallTime aNow)
{
  mPrefillTokens += aRun.prefillTokens;
  mReusedTokens += aRun.reusedTokens;
  AddEvent({ { "kind", "begin" },
             { "request_id", aRun.requestId },
             { "key", aRun.key },
             { "method", aRun.method },
             { "path", aRun.path },
             { "prompt", aRun.promptTokens },
             { "prefill", aRun.prefillTokens },
             { "reused", aRun.reusedTokens } },
           aNow);
}

void RunRecord::AddEnd(const std::string& aRequestId, const std::string& aOutcome,
                       core::WallTime aNow)
{
  AddEvent({ { "kind", "end" }, { "request_id", aRequestId }, { "outcome", aOutcome } }, aNow);
}

void RunRecord::AddControlRequest(const nlohmann::json& aRequest, bool aObeyed, core::WallTime aNow)
{
  AddEvent({ { "kind", "order" }, { "order", aRequest }, { "obeyed", aObeyed } }, aNow);
}

nlohmann::json RunRecord::ToJson() const
{
  return { { "upstream", mUpstream },
           { "version", mVersion },
           { "prefill", mPrefillTokens },
           { "reused", mReusedTokens },
           { "events", mEvents } };
}

void RunRecord::AddEvent(nlohmann::json aEvent, core::WallTime aNow)
{
  aEvent["time_us"] = aNow.time_since_epoch().count();
  aEvent["upstream"] = mUpstream;
  aEvent["version"] = mVersion;
  if (mFile.is_open()) {
    mFile << aEvent.dump() << std::endl;
  }
  mEvents.push_back(std::move(aEvent));
}

} // namespace cuminfield::test_framework::upstream
