#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/request/quarantine/CrashAttribution.h"
#include "cuminfield/request/quarantine/QuarantineTable.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::quarantine;
using namespace std::chrono_literals;

namespace {

/// Many hosts send requests to engines in virtual time. An engine that begins to answer a request
/// with the fatal part crashes and is back after some seconds. What the hosts find out reaches the
/// control hosts, and their conclusions all hosts, with a delay.
class Replay
{
public:
  struct Options
  {
    std::size_t hosts = 8;
    std::size_t engines = 12;
    double requestsPerSecond = 120;
    double fatalShare = 0.05;        ///< Part of the requests that have the fatal part.
    double firstPartsPerRequest = 1; ///< 1: all fatal requests have the same first part.
    std::size_t firstParts = 40;     ///< Number of first parts that all requests share.
    double ordinaryCrashRatio = 0;   ///< Part of the engines that fail every ordinaryInterval.
    core::Duration ordinaryInterval = 4s;
    double resetRatio = 0;       ///< Part of the requests that engines reset before they begin.
    core::Duration delay = 60ms; ///< From a host to the control hosts, and back.
    std::uint64_t seed = 1;
  };

  struct Counts
  {
    std::size_t fatalCrashes = 0;
    core::Instant fifthCrashAt{};
    std::size_t fatalSentLate = 0; ///< Later than 3 s after the fifth crash.
    std::size_t soundSubmitted = 0;
    std::size_t soundRefused = 0;
    std::size_t soundRefusedLate = 0; ///< In the last half of the time.
  };

  explicit Replay(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mHosts(aOptions.hosts)
    , mEngines(aOptions.engines)
  {
    mArrivals = mTimers.ScheduleEvery(core::FromSeconds(1 / mOptions.requestsPerSecond),
                                      [this] { Submit(); });
    mFailures = mTimers.ScheduleEvery(mOptions.ordinaryInterval, [this] { FailEngines(); });
    mReports = mTimers.ScheduleEvery(20ms, [this] { Report(); });
  }

  Counts RunFor(core::Duration aDuration)
  {
    mHalfTime = mTimers.Now() + aDuration / 2;
    mTimers.Advance(aDuration);
    return mCounts;
  }

  const CrashAttribution& Crashes() const { return mCrashes; }

private:
  struct Running
  {
    std::size_t host = 0;
    RequestSpec spec;
    core::Instant sentAt{};
    core::Instant beginsAt{};
  };
  struct Engine
  {
    std::uint64_t incarnation = 1;
    core::Instant upAt{};
    std::vector<Running> waiting; ///< Requests that have not begun.
  };

  RequestSpec MakeRequest(bool aIsFatal)
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    const bool sharesFirst = aIsFatal && mRandom.Chance(mOptions.firstPartsPerRequest);
    const std::uint64_t first = sharesFirst ? 0 : mRandom.UniformBelow(mOptions.firstParts);
    spec.sharedParts.emplace_back("first-" + std::to_string(first));
    if (aIsFatal) {
      spec.sharedParts.emplace_back("fatal");
    }
    return spec;
  }

  void Submit()
  {
    const bool isFatal = mRandom.Chance(mOptions.fatalShare);
    const std::size_t host = mRandom.UniformBelow(mHosts.size());
    Running request{ .host = host,
                     .spec = MakeRequest(isFatal),
                     .sentAt = mTimers.Now(),
                     .beginsAt = mTimers.Now() + core::Scaled(200ms, mRandom.Uniform()) };
    mCounts.soundSubmitted += isFatal ? 0 : 1;
    if (mHosts[host].IsQuarantined(request.spec)) {
      mCounts.soundRefused += isFatal ? 0 : 1;
      mCounts.soundRefusedLate += !isFatal && mTimers.Now() > mHalfTime ? 1 : 0;
      return;
    }
    const std::size_t engine = mRandom.UniformBelow(mEngines.size());
    if (mEngines[engine].upAt > mTimers.Now()) {
      return;
    }
    const bool isLate = mCounts.fatalCrashes >= 5 && mTimers.Now() > mCounts.fifthCrashAt + 3s;
    mCounts.fatalSentLate += isFatal && isLate ? 1 : 0;
    const core::Duration wait = request.beginsAt - mTimers.Now();
    mEngines[engine].waiting.push_back(std::move(request));
    mTimerHandles.push_back(mTimers.ScheduleAfter(wait, [this, engine] { Begin(engine); }));
  }

  void Begin(std::size_t aEngine)
  {
    Engine& engine = mEngines[aEngine];
    for (auto it = engine.waiting.begin(); it != engine.waiting.end();) {
      if (it->beginsAt > mTimers.Now()) {
        ++it;
        continue;
      }
      if (it->spec.sharedParts.size() > 1) {
        if (++mCounts.fatalCrashes == 5) {
          mCounts.fifthCrashAt = mTimers.Now();
        }
        Fail(aEngine);
        return;
      }
      if (mOptions.resetRatio > 0 && mRandom.Chance(mOptions.resetRatio)) {
        const Crash crash = MakeCrash(aEngine);
        mHosts[it->host].RecordBreakOff(it->spec, crash, it->sentAt);
        mHosts[it->host].RecordCheck(crash, true);
      } else {
        mHosts[it->host].RecordStart(it->spec);
      }
      it = engine.waiting.erase(it);
    }
  }

  Crash MakeCrash(std::size_t aEngine) const
  {
    return { .service = core::ServiceId("s"),
             .upstream = core::UpstreamId(std::to_string(aEngine)),
             .incarnation = core::Incarnation(mEngines[aEngine].incarnation) };
  }

  void Fail(std::size_t aEngine)
  {
    Engine& engine = mEngines[aEngine];
    const Crash crash = MakeCrash(aEngine);
    ++engine.incarnation;
    for (const Running& it : engine.waiting) {
      mHosts[it.host].RecordBreakOff(it.spec, crash, it.sentAt);
      mHosts[it.host].RecordCheck(crash, false);
    }
    engine.waiting.clear();
    engine.upAt = mTimers.Now() + 3s;
  }

  void FailEngines()
  {
    for (std::size_t n = 0; n < mEngines.size(); ++n) {
      if (mRandom.Chance(mOptions.ordinaryCrashRatio)) {
        Fail(n);
      }
    }
  }

  /// Takes what the hosts have to report, and lets them know the conclusions.
  void Report()
  {
    std::vector<CrashReport> crashes;
    std::vector<ServicePart> started;
    std::vector<ServicePart> startedBefore;
    for (QuarantineTable& host : mHosts) {
      for (const auto& it : host.PendingReports()) {
        crashes.push_back(it.report);
      }
      if (!host.PendingReports().empty()) {
        host.Acknowledge(host.PendingReports().back().sequence);
      }
      started.insert(started.end(), host.Started().begin(), host.Started().end());
      startedBefore.insert(startedBefore.end(), host.StartedBefore().begin(),
                           host.StartedBefore().end());
    }
    mTimerHandles.push_back(
      mTimers.ScheduleAfter(mOptions.delay, [this, crashes, started, startedBefore] {
        for (const CrashReport& it : crashes) {
          mRevision += mCrashes.RecordCrash(it, 0) ? 1 : 0;
        }
        for (const ServicePart& it : started) {
          mRevision += mCrashes.RecordStart(it) ? 1 : 0;
        }
        for (const ServicePart& it : startedBefore) {
          mRevision += mCrashes.RecordEarlierStart(it) ? 1 : 0;
        }
      }));
    const QuarantineTable::State state{ .revision = mRevision,
                                        .suspects = mCrashes.Suspects(),
                                        .repeatSuspects = mCrashes.RepeatSuspects(),
                                        .suspectsWithoutStart = mCrashes.SuspectsWithoutStart(),
                                        .quarantined = mCrashes.Quarantined() };
    mTimerHandles.push_back(mTimers.ScheduleAfter(mOptions.delay, [this, state] {
      for (QuarantineTable& it : mHosts) {
        it.Update(state, mTimers.Now());
      }
    }));
  }

  Options mOptions;
  core::Random mRandom;
  test_framework::time::ManualTimerService mTimers;
  std::vector<QuarantineTable> mHosts;
  std::vector<Engine> mEngines;
  CrashAttribution mCrashes;
  std::uint64_t mRevision = 0;
  core::Instant mHalfTime{};
  Counts mCounts;
  std::vector<core::TimerHandle> mTimerHandles;
  core::TimerHandle mArrivals;
  core::TimerHandle mFailures;
  core::TimerHandle mReports;
};

/// At most three requests with a fatal part may be sent later than 3 s after the fifth crash.
constexpr std::size_t kMaxFatalSentLate = 3;

} // namespace

TEST_GROUP(QuarantineReplay){};

/// Guards against requests with a fatal part that crash one engine after the other (BUDGET), and
/// against sound requests that are refused with them (LOST).
TEST(QuarantineReplay, FatalPartStopsReachingEngines)
{
  for (const double share : { 0.01, 0.05, 0.3 }) {
    for (const double sameFirst : { 0.0, 0.5, 1.0 }) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Replay replay({ .fatalShare = share, .firstPartsPerRequest = sameFirst, .seed = seed });
        const Replay::Counts counts = replay.RunFor(30s);
        CHECK(counts.fatalCrashes >= 3);
        CHECK(counts.fatalSentLate <= kMaxFatalSentLate);
        CHECK_EQUAL(1, replay.Crashes().Quarantined().size());
        CHECK_EQUAL(0, counts.soundRefusedLate);
        CHECK(counts.soundRefused * 2 < counts.soundSubmitted);
      }
    }
  }
}

TEST(QuarantineReplay, FatalPartIsFoundAmongOrdinaryCrashes)
{
  for (const double ratio : { 0.1, 0.5 }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Replay replay({ .fatalShare = 0.05, .ordinaryCrashRatio = ratio, .seed = seed });
      const Replay::Counts counts = replay.RunFor(40s);
      CHECK(counts.fatalCrashes >= 3);
      CHECK(counts.fatalSentLate <= kMaxFatalSentLate);
      CHECK_EQUAL(0, counts.soundRefusedLate);
    }
  }
}

TEST(QuarantineReplay, FatalPartAtManyHostsAndEngines)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Replay replay({ .hosts = 194,
                    .engines = 99,
                    .requestsPerSecond = 690,
                    .fatalShare = 0.05,
                    .firstParts = 400,
                    .ordinaryCrashRatio = 0.1,
                    .delay = 150ms,
                    .seed = seed });
    const Replay::Counts counts = replay.RunFor(20s);
    CHECK(counts.fatalCrashes >= 3);
    CHECK(counts.fatalSentLate <= kMaxFatalSentLate);
    CHECK_EQUAL(0, counts.soundRefusedLate);
  }
}

/// Guards against sound requests that are refused because their part, with few requests, is beside
/// the fatal one and near ordinary crashes, too (LOST).
TEST(QuarantineReplay, CompanionOfAFatalPartStaysFreeAmongOrdinaryCrashes)
{
  for (const std::size_t firstParts : { 10, 30 }) {
    for (const double ratio : { 0.3, 0.6 }) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Replay replay({ .requestsPerSecond = firstParts == 10 ? 15.0 : 60.0,
                        .fatalShare = 0.05,
                        .firstParts = firstParts,
                        .ordinaryCrashRatio = ratio,
                        .seed = seed });
        const Replay::Counts counts = replay.RunFor(40s);
        CHECK(counts.fatalSentLate <= kMaxFatalSentLate);
        CHECK_EQUAL(0, counts.soundRefusedLate);
      }
    }
  }
}

/// Engines that fail by themselves, also all at once and again and again, are no reason to refuse
/// any request.
TEST(QuarantineReplay, OrdinaryCrashesQuarantineNothing)
{
  for (const double ratio : { 0.2, 0.6, 1.0 }) {
    for (const std::size_t firstParts : { 1, 5, 400 }) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Replay replay(
          { .fatalShare = 0, .firstParts = firstParts, .ordinaryCrashRatio = ratio, .seed = seed });
        const Replay::Counts counts = replay.RunFor(40s);
        CHECK_EQUAL(0, counts.soundRefused);
      }
    }
  }
}

/// Engines that reset many of their requests quarantine nothing, and don't hide a fatal part.
TEST(QuarantineReplay, ResetRequestsQuarantineNothing)
{
  for (const double fatalShare : { 0.0, 0.05 }) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Replay replay(
        { .fatalShare = fatalShare, .firstParts = 400, .resetRatio = 0.6, .seed = seed });
      const Replay::Counts counts = replay.RunFor(30s);
      CHECK_EQUAL(0, counts.soundRefusedLate);
      CHECK(counts.fatalSentLate <= kMaxFatalSentLate);
      CHECK_EQUAL(fatalShare > 0 ? 1 : 0, replay.Crashes().Quarantined().size());
    }
  }
}
