#include "TestFramework/engine/Engine.h"

#include "TestFramework/engine/Answer.h"

#include <algorithm>
#include <utility>

namespace cuminfield::test_framework::engine {

namespace {

constexpr const char* kRequestsPath = "/v1/requests/";
constexpr const char* kCachePath = "/kv/";
constexpr std::int64_t kDefaultTokens = 16;
constexpr core::Duration kSampling = std::chrono::milliseconds(50);

BatchOptions MakeBatch(const upstream::UpstreamOptions& aOptions,
                       const EngineOptions& aEngineOptions)
{
  const double factor = aOptions.timeScale / aEngineOptions.speed;
  BatchOptions batch{ .slots = aOptions.slots, .limit = std::size_t{ 2 } * aOptions.slots };
  batch.prefillRate /= factor;
  batch.step = std::chrono::duration_cast<core::Duration>(batch.step * factor);
  batch.perExtra = std::chrono::duration_cast<core::Duration>(batch.perExtra * factor);
  return batch;
}

/// Returns the id in `/v1/requests/ID` or `/v1/requests/ID/stream`.
std::string IdInPath(const std::string& aPath)
{
  const std::string suffix = aPath.substr(std::string(kRequestsPath).size());
  return suffix.substr(0, suffix.find('/'));
}

nlohmann::json HashTexts(const std::vector<request::PrefixHash>& aHashes)
{
  nlohmann::json texts = nlohmann::json::array();
  for (const request::PrefixHash it : aHashes) {
    texts.push_back(HashText(it));
  }
  return texts;
}

} // namespace

Engine::Engine(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
               EngineOptions aEngineOptions)
  : Upstream(aTimers, std::move(aOptions), { aEngineOptions.cacheTokens }, true)
  , mEngine(aEngineOptions)
  , mRandom(mOptions.seed + 1)
  , mCache({ aEngineOptions.cacheTokens })
  , mBatch(MakeBatch(mOptions, aEngineOptions))
  , mVersions{ mOptions.version }
{
  mSampler = mTimers.ScheduleEvery(kSampling, [this] { SampleLoad(); });
}

void Engine::Serve(const std::shared_ptr<http::Exchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  const bool get = aExchange->Method() == "GET";
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    Complete(aExchange);
  } else if (path.starts_with(kRequestsPath) && get) {
    Resume(aExchange);
  } else if (path.starts_with(kRequestsPath) && aExchange->Method() == "DELETE") {
    Cancel(*aExchange);
  } else if (path == "/orders" && get) {
    aExchange->Reply(200,
                     nlohmann::json{ { "fencing", mFencing }, { "versions", mVersions } }.dump());
  } else if (path == "/orders") {
    Order(*aExchange);
  } else if (path.starts_with(kCachePath)) {
    TransferCache(*aExchange);
  } else {
    aExchange->Reply(404, R"({"detail":"no such path"})");
  }
}

void Engine::Complete(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto body = nlohmann::json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    aExchange->Reply(400, R"({"detail":"the body is no JSON object"})");
    return;
  }
  const auto faults = mFaults.Draw(aExchange->Path(), mActive.size());
  if (faults.refuse) {
    Refuse(*aExchange);
    return;
  }
  Start(aExchange, body, faults);
}

void Engine::Start(const std::shared_ptr<http::Exchange>& aExchange, const nlohmann::json& aBody,
                   const upstream::FaultPlan& aFaults)
{
  const std::string prompt = PromptOf(aBody);
  const std::int64_t length = CountTokens(prompt);
  const auto prefix = PrefixHashes(prompt);
  const std::int64_t matched = static_cast<std::int64_t>(mCache.Match(prefix));
  const std::int64_t reused = std::min(matched * request::kPrefixBlockTokens.value, length);
  const std::string id = IdOf(*aExchange);
  RecordBegin(*aExchange, id, { .prompt = length, .prefill = length - reused, .reused = reused });

  if (aFaults.crossed) {
    // Only this connection gets the response of another request. The correct completion remains
    // available under its own id.
    aExchange->SetHeader("X-Request-Id", mLastId);
    aExchange->Reply(200, R"({"id":"crossed","choices":[{"text":"of another request"}]})");
  }
  mLastId = id;
  const bool chat = aExchange->Path() == "/v1/chat/completions";
  auto completion = std::make_shared<AnswerStream>(id, prompt, chat);
  const std::int64_t tokens = std::max<std::int64_t>(1, aBody.value("max_tokens", kDefaultTokens));
  mAnswers[id] = completion;
  mActive[id] = { .answer = completion, .prefix = prefix, .tokens = tokens, .plan = aFaults };

  Batch::Job job{ .id = id, .prefill = length - reused, .tokens = tokens, .slow = aFaults.slow };
  const bool stream = aBody.value("stream", false);
  mActive[id].late = mTimers.ScheduleAfter(
    aFaults.lateBy, [this, aExchange, job, stream] { Enter(aExchange, job, stream); });
}

void Engine::Enter(const std::shared_ptr<http::Exchange>& aExchange, const Batch::Job& aJob,
                   bool aStream)
{
  const Active& active = mActive.at(aJob.id);
  if (active.plan.fail && !active.plan.crossed) {
    aExchange->Reply(500, R"({"detail":"failed"})");
    Finish(aJob.id, "failed");
    return;
  }
  if (active.plan.crossed) {
    // The swapped response was already sent.
  } else if (aStream) {
    active.answer->Follow(aExchange, 0);
  } else {
    active.answer->AnswerWhole(aExchange);
  }
  mBatch.Add(aJob);
  Step();
}

void Engine::Resume(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto it = mAnswers.find(IdInPath(aExchange->Path()));
  if (it == mAnswers.end()) {
    aExchange->Reply(404, R"({"detail":"not known here"})");
    return;
  }
  const std::string offset = aExchange->Parameter("offset").value_or("0");
  aExchange->SetHeader("X-Request-Id", it->first);
  it->second->Follow(aExchange, std::strtoll(offset.c_str(), nullptr, 10));
}

void Engine::Cancel(http::Exchange& aExchange)
{
  const std::string id = IdInPath(aExchange.Path());
  const auto it = mActive.find(id);
  if (it == mActive.end()) {
    aExchange.Reply(404, R"({"detail":"does not run here"})");
    return;
  }
  mBatch.Remove(id);
  it->second.answer->Break();
  Finish(id, "cancelled");
  aExchange.Reply(200, "{}");
}

void Engine::Order(http::Exchange& aExchange)
{
  const auto request = nlohmann::json::parse(aExchange.Body(), nullptr, false);
  if (!request.is_object() || !request.contains("fencing") || !request["fencing"].is_number()) {
    aExchange.Reply(400, R"({"detail":"an order needs a fencing number"})");
    return;
  }
  const auto fencing = request["fencing"].get<std::uint64_t>();
  const bool obeyed = fencing >= mFencing || !mEngine.fences;
  mRecord.Order(request, obeyed, mTimers.WallNow());
  if (!obeyed) {
    aExchange.Reply(409, nlohmann::json{ { "fencing", mFencing } }.dump());
    return;
  }
  mFencing = std::max(mFencing, fencing);
  const std::string kind = request.value("order", "");
  const std::string version = request.value("version", "");
  if (kind == "load") {
    mVersions.insert(version);
  } else if (kind == "unload") {
    mVersions.erase(version);
  }
  aExchange.Reply(200, nlohmann::json{ { "fencing", mFencing } }.dump());
}

void Engine::TransferCache(http::Exchange& aExchange)
{
  const std::string text = aExchange.Path().substr(std::string(kCachePath).size());
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
  aExchange.Reply(200, "kv " + HashText(hash), "application/octet-stream");
}

void Engine::Step()
{
  if (mStepping) {
    return;
  }
  const core::Duration duration = mBatch.Begin();
  if (duration == core::Duration::zero()) {
    return;
  }
  mStepping = true;
  mStep = mTimers.ScheduleAfter(duration, [this] { StepDone(); });
}

void Engine::StepDone()
{
  mStepping = false;
  const Batch::StepResult result = mBatch.Finish();
  for (const std::string& it : result.prefilled) {
    if (mActive.contains(it)) {
      mCache.Store(mActive.at(it).prefix);
    }
  }
  for (const std::string& it : result.tokens) {
    Grow(it);
  }
  for (const std::string& it : result.finished) {
    if (mActive.contains(it)) {
      mActive.at(it).answer->Finish();
      Finish(it, "done");
    }
  }
  Step();
}

void Engine::Grow(const std::string& aId)
{
  const auto it = mActive.find(aId);
  if (it == mActive.end()) {
    return;
  }
  Active& active = it->second;
  const bool midway = active.answer->Length() == active.tokens / 2;
  if (midway && active.plan.stall) {
    mBatch.Remove(aId);
    Finish(aId, "stalled");
    return;
  }
  if (midway && active.plan.close) {
    active.answer->Break();
  }
  active.answer->Grow();
}

void Engine::Finish(const std::string& aId, const std::string& aOutcome)
{
  RecordEnd(aId, aOutcome);
  mActive.erase(aId);
  mFinished.push_back(aId);
  if (mFinished.size() > mEngine.remembered) {
    mAnswers.erase(mFinished.front());
    mFinished.pop_front();
  }
}

void Engine::SampleLoad()
{
  mLoads.push_back({ .made = mTimers.Now(),
                     .load = { { "running", mBatch.Running() },
                               { "waiting", mBatch.Waiting() },
                               { "queued_prefill", mBatch.QueuedPrefill().value } } });
  const auto lag = std::chrono::milliseconds(mEngine.reportLagMs);
  while (mLoads.size() > 1 && mLoads[1].made + lag <= mTimers.Now()) {
    mLoads.pop_front();
  }
}

nlohmann::json Engine::Report()
{
  if (mLoads.empty()) {
    SampleLoad();
  }
  nlohmann::json load = mLoads.front().load;
  const auto age = mTimers.Now() - mLoads.front().made;
  load["sequence"] = ++mLoadSequence;
  load["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return { { "load", load }, { "cache", CacheEvents() } };
}

nlohmann::json Engine::CacheEvents()
{
  const PrefixCache::Changes changes = mCache.Take();
  if (changes.stored.empty() && changes.removed.empty()) {
    return nlohmann::json::array();
  }
  ++mCacheSequence;
  if (mRandom.Chance(mEngine.cacheEventLoss)) {
    return nlohmann::json::array();
  }
  return { { { "sequence", mCacheSequence },
             { "stored", HashTexts(changes.stored) },
             { "removed", HashTexts(changes.removed) } } };
}

} // namespace cuminfield::test_framework::engine
