#include "UnitTests/request/placement/CrowdOfHosts.h"

#include <algorithm>
#include <utility>

namespace cuminfield::unit_tests {

using namespace request;
using namespace std::chrono_literals;

namespace {

const core::ServiceId kService("s");
constexpr core::Duration kStep = 5ms;
constexpr core::Duration kLook = 20ms;
constexpr core::Duration kTarget = 400ms;
constexpr core::Duration kPatience = 15s;

/// A queue of more is one that callers notice: three places free up in about 350 ms.
constexpr std::size_t kLongQueue = 3;

class NoVersion : public VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

const NoVersion kNoVersion;

} // namespace

class CrowdOfHosts::Host : public SchedulerListener
{
public:
  Host(CrowdOfHosts& aCrowd, std::uint64_t aSeed)
    : random(aSeed)
    , scheduler({ .settings = aCrowd.mOptions.placement,
                  .timers = aCrowd.mTimers,
                  .random = random,
                  .listener = *this,
                  .versions = kNoVersion,
                  .dataCentre = core::DataCentreId("here") })
    , mCrowd(aCrowd)
  {
  }

  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    mCrowd.Send(*this, aUpstream.id.Text(), aRequest);
  }

  void OnShed(const core::RequestId& aRequest, ShedReason, core::Duration) override
  {
    ++mCrowd.mOutcomes[specs.at(aRequest).tier].turnedAway;
    specs.erase(aRequest);
  }

  /// What the others are told of it.
  struct Figures
  {
    std::map<std::string, std::uint32_t> inFlight;
    placement::PlacementScheduler::RequestsByRank wanted;
  };

  Figures Tell()
  {
    Figures figures{ .inFlight = {}, .wanted = scheduler.Wanted() };
    for (const auto& [id, entry] : scheduler.Board().All()) {
      figures.inFlight[id.Text()] = entry.own;
    }
    return figures;
  }

  std::map<core::RequestId, RequestSpec> specs;
  std::deque<Figures> told;
  core::Random random;
  placement::PlacementScheduler scheduler;

private:
  CrowdOfHosts& mCrowd;
};

CrowdOfHosts::CrowdOfHosts(const Options& aOptions)
  : mOptions(aOptions)
{
  for (std::size_t n = 0; n < mOptions.engines; ++n) {
    mEngines["engine-" + std::to_string(n)];
  }
  for (std::size_t n = 0; n < mOptions.hosts; ++n) {
    mHosts.push_back(std::make_unique<Host>(*this, 100 + n));
    for (const auto& [id, engine] : mEngines) {
      UpstreamAnnouncement upstream;
      upstream.id = core::UpstreamId(id);
      upstream.incarnation = core::Incarnation(1);
      upstream.service = kService;
      upstream.dataCentre = core::DataCentreId("here");
      upstream.slots = mOptions.slots;
      upstream.engine = true;
      mHosts.back()->scheduler.UpstreamUp(upstream);
    }
  }
  mSteps = mTimers.Every(kStep, [this] { Step(); });
  mRounds = mTimers.Every(mOptions.round, [this] { Exchange(); });
  mLooking = mTimers.Every(kLook, [this] { Look(); });
}

CrowdOfHosts::~CrowdOfHosts() = default;

void CrowdOfHosts::Play(core::Duration aDuration)
{
  mTimers.Advance(aDuration);
}

void CrowdOfHosts::Step()
{
  EndDue();
  Arrive();
}

void CrowdOfHosts::Arrive()
{
  for (const auto& [rank, perSecond] : mLoad) {
    double due = perSecond * core::Seconds(kStep);
    while (due > 0 && (due >= 1 || mRandom.Chance(due))) {
      due -= 1;
      RequestSpec spec;
      spec.id = core::RequestId("r" + std::to_string(++mRequests));
      spec.service = kService;
      spec.tier = rank;
      spec.arrival = mTimers.Now();
      spec.deadline = mTimers.Now() + kPatience;
      spec.firstTokenTarget = kTarget;
      spec.prompt.value = 600;
      spec.maxAnswer.value = 250;
      spec.engine = true;
      Host& host = *mHosts[mRandom.Below(mHosts.size())];
      ++mOutcomes[rank].asked;
      host.specs[spec.id] = spec;
      host.scheduler.Submit(spec);
    }
  }
}

void CrowdOfHosts::Send(Host& aHost, const std::string& aEngine, const core::RequestId& aRequest)
{
  Engine& engine = mEngines.at(aEngine);
  if (engine.running >= mOptions.slots) {
    engine.queue.emplace_back(&aHost, aRequest);
    return;
  }
  Begin(aEngine, aHost, aRequest);
}

void CrowdOfHosts::Begin(const std::string& aEngine, Host& aHost, const core::RequestId& aRequest)
{
  ++mEngines.at(aEngine).running;
  const core::Instant now = mTimers.Now();
  const RequestSpec& spec = aHost.specs.at(aRequest);
  Outcome& outcome = mOutcomes[spec.tier];
  ++(now - spec.arrival <= kTarget ? outcome.inTime : outcome.late);
  const double holdMs = mRandom.Exponential(core::Milliseconds(mOptions.meanHold));
  mRunning.emplace(now + core::FromMilliseconds(holdMs),
                   Running{ .engine = aEngine, .host = &aHost, .request = aRequest });
  aHost.scheduler.FirstToken(aRequest);
}

void CrowdOfHosts::EndDue()
{
  while (!mRunning.empty() && mRunning.begin()->first <= mTimers.Now()) {
    const Running ended = mRunning.begin()->second;
    mRunning.erase(mRunning.begin());
    Engine& engine = mEngines.at(ended.engine);
    --engine.running;
    if (!engine.queue.empty()) {
      const auto [host, request] = engine.queue.front();
      engine.queue.pop_front();
      Begin(ended.engine, *host, request);
    }
    ended.host->specs.erase(ended.request);
    ended.host->scheduler.Finished(ended.request, TryOutcome::Succeeded);
  }
}

void CrowdOfHosts::Exchange()
{
  for (const auto& [ends, it] : mRunning) {
    it.host->scheduler.Token(it.request);
  }
  std::map<std::string, std::uint32_t> inFlight;
  placement::PlacementScheduler::RequestsByRank wanted;
  for (auto& host : mHosts) {
    host->told.push_back(host->Tell());
    if (host->told.size() > mOptions.roundsOld + 1) {
      host->told.pop_front();
    }
    for (const auto& [id, n] : host->told.front().inFlight) {
      inFlight[id] += n;
    }
    for (const auto& [key, places] : host->told.front().wanted) {
      wanted[key] += places;
    }
  }
  for (auto& host : mHosts) {
    const Host::Figures& own = host->told.front();
    for (const auto& [id, n] : inFlight) {
      const auto it = own.inFlight.find(id);
      host->scheduler.Board().SetOthers(
        core::UpstreamId(id), n - (it == own.inFlight.end() ? 0 : it->second), 0, mTimers.Now());
    }
    placement::PlacementScheduler::RequestsByRank others = wanted;
    for (const auto& [key, places] : own.wanted) {
      others[key] -= places;
    }
    host->scheduler.SetOthersWanted(std::move(others));
  }
}

void CrowdOfHosts::Look()
{
  ++mLooks;
  for (const auto& [id, engine] : mEngines) {
    const auto places = static_cast<double>(mEngines.size());
    mSums.busy += static_cast<double>(engine.running) / (places * mOptions.slots);
    mSums.overfull += engine.queue.size() > kLongQueue ? 1 / places : 0;
  }
}

CrowdOfHosts::Engines CrowdOfHosts::Seen() const
{
  const auto looks = static_cast<double>(std::max<std::size_t>(1, mLooks));
  return { .busy = mSums.busy / looks, .overfull = mSums.overfull / looks };
}

void CrowdOfHosts::Forget()
{
  mOutcomes.clear();
  mLooks = 0;
  mSums = {};
}

} // namespace cuminfield::unit_tests
