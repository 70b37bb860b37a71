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

void RunRecord::Begin(const Run& aRun, core::WallTime aNow)
{
  mPrefill += aRun.prefill;
  mReused += aRun.reused;
  Add({ { "kind", "begin" },
        { "request_id", aRun.requestId },
        { "key", aRun.key },
        { "method", aRun.method },
        { "path", aRun.path },
        { "prompt", aRun.prompt },
        { "prefill", aRun.prefill },
        { "reused", aRun.reused } },
      aNow);
}

void RunRecord::End(const std::string& aRequestId, const std::string& aOutcome, core::WallTime aNow)
{
  Add({ { "kind", "end" }, { "request_id", aRequestId }, { "outcome", aOutcome } }, aNow);
}

void RunRecord::Order(const nlohmann::json& aRequest, bool aObeyed, core::WallTime aNow)
{
  Add({ { "kind", "order" }, { "order", aRequest }, { "obeyed", aObeyed } }, aNow);
}

nlohmann::json RunRecord::Json() const
{
  return { { "upstream", mUpstream },
           { "version", mVersion },
           { "prefill", mPrefill },
           { "reused", mReused },
           { "events", mEvents } };
}

void RunRecord::Add(nlohmann::json aEvent, core::WallTime aNow)
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
