#include "TestFramework/engine/Engine.h"

#include "TestFramework/engine/CompletionText.h"

#include <algorithm>
#include <utility>

namespace cuminfield::test_framework::engine {

namespace {

constexpr const char* kRequestsPathPrefix = "/v1/requests/";
constexpr const char* kCachePathPrefix = "/kv/";
constexpr std::int64_t kDefaultOutputTokens = 16;
constexpr core::Duration kLoadSampleInterval = std::chrono::milliseconds(50);

BatchOptions MakeBatchOptions(const upstream::UpstreamOptions& aOptions,
                              const EngineOptions& aEngineOptions)
{
  const double factor = aOptions.timeScale / aEngineOptions.speedFactor;
  BatchOptions batch{ .slots = aOptions.slots, .maxRequests = std::size_t{ 2 } * aOptions.slots };
  batch.prefillTokensPerSecond /= factor;
  batch.stepDuration = std::chrono::duration_cast<core::Duration>(batch.stepDuration * factor);
  batch.extraDurationPerRequest =
    std::chrono::duration_cast<core::Duration>(batch.extraDurationPerRequest * factor);
  return batch;
}

/// Returns the id in `/v1/requests/ID` or `/v1/requests/ID/stream`.
std::string ExtractRequestId(const std::string& aPath)
{
  const std::string suffix = aPath.substr(std::string(kRequestsPathPrefix).size());
  return suffix.substr(0, suffix.find('/'));
}

nlohmann::json FormatHashes(const std::vector<request::PrefixHash>& aHashes)
{
  nlohmann::json texts = nlohmann::json::array();
  for (const request::PrefixHash it : aHashes) {
    texts.push_back(FormatHash(it));
  }
  return texts;
}

} // namespace

Engine::Engine(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
               EngineOptions aEngineOptions)
  : StandInUpstream(aTimers, std::move(aOptions), { aEngineOptions.cacheTokens }, true)
  , mEngineOptions(aEngineOptions)
  , mRandom(mOptions.seed + 1)
  , mCache({ aEngineOptions.cacheTokens })
  , mBatch(MakeBatchOptions(mOptions, aEngineOptions))
  , mLoadedVersions{ mOptions.version }
{
  mSampleTimer = mTimers.ScheduleEvery(kLoadSampleInterval, [this] { SampleLoad(); });
}

void Engine::HandleCall(const std::shared_ptr<http::Exchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  const bool get = aExchange->Method() == "GET";
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleCompletion(aExchange);
  } else if (path.starts_with(kRequestsPathPrefix) && get) {
    HandleResume(aExchange);
  } else if (path.starts_with(kRequestsPathPrefix) && aExchange->Method() == "DELETE") {
    HandleCancel(*aExchange);
  } else if (path == "/orders" && get) {
    aExchange->Reply(
      200,
      nlohmann::json{ { "fencing", mMaxFencingNumber }, { "versions", mLoadedVersions } }.dump());
  } else if (path == "/orders") {
    HandleControlRequest(*aExchange);
  } else if (path.starts_with(kCachePathPrefix)) {
    HandleCacheTransfer(*aExchange);
  } else {
    aExchange->Reply(404, R"({"detail":"no such path"})");
  }
}

void Engine::HandleCompletion(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto body = nlohmann::json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    aExchange->Reply(400, R"({"detail":"the body is no JSON object"})");
    return;
  }
  const auto faults = mFaultInjector.DrawPlan(aExchange->Path(), mActiveRequests.size());
  if (faults.reject) {
    RejectRequest(*aExchange);
    return;
  }
  StartCompletion(aExchange, body, faults);
}

void Engine::StartCompletion(const std::shared_ptr<http::Exchange>& aExchange,
                             const nlohmann::json& aBody, const upstream::FaultPlan& aFaults)
{
  const std::string prompt = ExtractPrompt(aBody);
  const std::int64_t length = CountTokens(prompt);
  const auto prefix = ComputePrefixHashes(prompt);
  const std::int64_t matched = static_cast<std::int64_t>(mCache.MatchPrefix(prefix));
  const std::int64_t reused = std::min(matched * request::kPrefixBlockTokens.value, length);
  const std::string id = GetRequestId(*aExchange);
  RecordBegin(*aExchange, id,
              { .promptTokens = length, .prefillTokens = length - reused, .reusedTokens = reused });

  if (aFaults.swapResponse) {
    // Only this connection gets the response of another request. The correct completion remains
    // available under its own id.
    aExchange->SetHeader("X-Request-Id", mPreviousRequestId);
    aExchange->Reply(200, R"({"id":"crossed","choices":[{"text":"of another request"}]})");
  }
  mPreviousRequestId = id;
  const bool chat = aExchange->Path() == "/v1/chat/completions";
  auto completion = std::make_shared<CompletionStream>(id, prompt, chat);
  const std::int64_t tokens =
    std::max<std::int64_t>(1, aBody.value("max_tokens", kDefaultOutputTokens));
  mCompletions[id] = completion;
  mActiveRequests[id] = {
    .completion = completion, .prefixHashes = prefix, .outputTokens = tokens, .faults = aFaults
  };

  Batch::Job job{
    .id = id, .prefillTokens = length - reused, .outputTokens = tokens, .slowdown = aFaults.slowdown
  };
  const bool stream = aBody.value("stream", false);
  mActiveRequests[id].delayTimer = mTimers.ScheduleAfter(
    aFaults.delay, [this, aExchange, job, stream] { AddToBatch(aExchange, job, stream); });
}

void Engine::AddToBatch(const std::shared_ptr<http::Exchange>& aExchange, const Batch::Job& aJob,
                        bool aStream)
{
  const ActiveRequest& active = mActiveRequests.at(aJob.id);
  if (active.faults.fail && !active.faults.swapResponse) {
    aExchange->Reply(500, R"({"detail":"failed"})");
    FinishRequest(aJob.id, "failed");
    return;
  }
  if (active.faults.swapResponse) {
    // The swapped response was already sent.
  } else if (aStream) {
    active.completion->StreamTo(aExchange, 0);
  } else {
    active.completion->ReplyWhenFinished(aExchange);
  }
  mBatch.Add(aJob);
  StartStep();
}

void Engine::HandleResume(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto it = mCompletions.find(ExtractRequestId(aExchange->Path()));
  if (it == mCompletions.end()) {
    aExchange->Reply(404, R"({"detail":"not known here"})");
    return;
  }
  const std::string offset = aExchange->QueryParameter("offset").value_or("0");
  aExchange->SetHeader("X-Request-Id", it->first);
  it->second->StreamTo(aExchange, std::strtoll(offset.c_str(), nullptr, 10));
}

void Engine::HandleCancel(http::Exchange& aExchange)
{
  const std::string id = ExtractRequestId(aExchange.Path());
  const auto it = mActiveRequests.find(id);
  if (it == mActiveRequests.end()) {
    aExchange.Reply(404, R"({"detail":"does not run here"})");
    return;
  }
  mBatch.Remove(id);
  it->second.completion->AbortConnections();
  FinishRequest(id, "cancelled");
  aExchange.Reply(200, "{}");
}

void Engine::HandleControlRequest(http::Exchange& aExchange)
{
  const auto request = nlohmann::json::parse(aExchange.Body(), nullptr, false);
  if (!request.is_object() || !request.contains("fencing") || !request["fencing"].is_number()) {
    aExchange.Reply(400, R"({"detail":"an order needs a fencing number"})");
    return;
  }
  const auto fencing = request["fencing"].get<std::uint64_t>();
  const bool obeyed = fencing >= mMaxFencingNumber || !mEngineOptions.rejectsOldFencing;
  mRunRecord.AddControlRequest(request, obeyed, mTimers.WallNow());
  if (!obeyed) {
    aExchange.Reply(409, nlohmann::json{ { "fencing", mMaxFencingNumber } }.dump());
    return;
  }
  mMaxFencingNumber = std::max(mMaxFencingNumber, fencing);
  const std::string kind = request.value("order", "");
  const std::string version = request.value("version", "");
  if (kind == "load") {
    mLoadedVersions.insert(version);
  } else if (kind == "unload") {
    mLoadedVersions.erase(version);
  }
  aExchange.Reply(200, nlohmann::json{ { "fencing", mMaxFencingNumber } }.dump());
}

void Engine::HandleCacheTransfer(http::Exchange& aExchange)
{
  const std::string text = aExchange.Path().substr(std::string(kCachePathPrefix).size());
  const request::PrefixHash hash = std::strtoull(text.c_str(), nullptr, 16);
  if (aExchange.Method() == "PUT") {
    mCache.Store({ hash });
    aExchange.Reply(200, "{}");
    return;
  }
  if (!mCache.Contains(hash)) {
    aExchange.Reply(404, R"({"detail":"not cached"})");
    return;
  }
  aExchange.Reply(200, "kv " + FormatHash(hash), "application/octet-stream");
}

void Engine::StartStep()
{
  if (mStepping) {
    return;
  }
  const core::Duration duration = mBatch.BeginStep();
  if (duration == core::Duration::zero()) {
    return;
  }
  mStepping = true;
  mStepTimer = mTimers.ScheduleAfter(duration, [this] { OnStepDone(); });
}

void Engine::OnStepDone()
{
  mStepping = false;
  const Batch::StepResult result = mBatch.FinishStep();
  for (const std::string& it : result.prefilled) {
    if (mActiveRequests.contains(it)) {
      mCache.Store(mActiveRequests.at(it).prefixHashes);
    }
  }
  for (const std::string& it : result.decoded) {
    AddToken(it);
  }
  for (const std::string& it : result.finished) {
    if (mActiveRequests.contains(it)) {
      mActiveRequests.at(it).completion->Finish();
      FinishRequest(it, "done");
    }
  }
  StartStep();
}

void Engine::AddToken(const std::string& aId)
{
  const auto it = mActiveRequests.find(aId);
  if (it == mActiveRequests.end()) {
    return;
  }
  ActiveRequest& active = it->second;
  const bool midway = active.completion->TokenCount() == active.outputTokens / 2;
  if (midway && active.faults.stall) {
    mBatch.Remove(aId);
    FinishRequest(aId, "stalled");
    return;
  }
  if (midway && active.faults.close) {
    active.completion->AbortConnections();
  }
  active.completion->AddToken();
}

void Engine::FinishRequest(const std::string& aId, const std::string& aOutcome)
{
  RecordEnd(aId, aOutcome);
  mActiveRequests.erase(aId);
  mFinishedIds.push_back(aId);
  if (mFinishedIds.size() > mEngineOptions.maxFinishedCompletions) {
    mCompletions.erase(mFinishedIds.front());
    mFinishedIds.pop_front();
  }
}

void Engine::SampleLoad()
{
  mLoadSamples.push_back({ .sampledAt = mTimers.Now(),
                           .load = { { "running", mBatch.RunningCount() },
                                     { "waiting", mBatch.WaitingCount() },
                                     { "queued_prefill", mBatch.QueuedPrefillTokens().value } } });
  const auto lag = std::chrono::milliseconds(mEngineOptions.reportDelayMs);
  while (mLoadSamples.size() > 1 && mLoadSamples[1].sampledAt + lag <= mTimers.Now()) {
    mLoadSamples.pop_front();
  }
}

nlohmann::json Engine::MakeReport()
{
  if (mLoadSamples.empty()) {
    SampleLoad();
  }
  nlohmann::json load = mLoadSamples.front().load;
  const auto age = mTimers.Now() - mLoadSamples.front().sampledAt;
  load["sequence"] = ++mLoadSequence;
  load["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return { { "load", load }, { "cache", MakeCacheEvents() } };
}

nlohmann::json Engine::MakeCacheEvents()
{
  const PrefixCache::Changes changes = mCache.TakeChanges();
  if (changes.stored.empty() && changes.removed.empty()) {
    return nlohmann::json::array();
  }
  ++mCacheSequence;
  if (mRandom.Chance(mEngineOptions.cacheEventLossChance)) {
    return nlohmann::json::array();
  }
  return { { { "sequence", mCacheSequence },
             { "stored", FormatHashes(changes.stored) },
             { "removed", FormatHashes(changes.removed) } } };
}

} // namespace cuminfield::test_framework::engine
