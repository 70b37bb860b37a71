#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/request/placement/PlacementScheduler.h"
#include "cuminfield/request/placement/UpstreamTable.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

/// How UpstreamTable tells its pacer what it sees of an upstream.
TEST_GROUP(PacedUpstreamTable)
{
  core::Random random{ 5 };
  UpstreamTable table{ UpstreamTableSettings{}, core::DataCentreId("here"), random };
  core::Instant now{ 100s };
  const core::UpstreamId id{ "u" };

  void setup() override
  {
    table.SetPacedServices({ { core::ServiceId("s"), { .coldPerSecond = 11 } } });
    table.Pacer().SetMembers(5, { 5 }, now);
    UpstreamAnnouncement upstream;
    upstream.id = id;
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.slots = 10;
    upstream.isEngine = true;
    table.AddOrUpdateUpstream(upstream, now);
    Hear(1);
    now += 2s;
    Hear(2);
    now += 4s;
    CHECK(Choose()); // The slow start is over.
    CHECK_FALSE(IsPaced());
  }

  void Hear(std::uint64_t aSequence)
  {
    table.RecordColdTime(id, core::Incarnation(1), aSequence, 0ms, now);
  }

  static RequestSpec MakeSpec()
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    spec.deadline = core::Instant(1000s);
    spec.needsEngine = true;
    return spec;
  }

  UpstreamEntry* Choose()
  {
    return table.Choose(MakeSpec(), {}, Urgency::Top, UpstreamTable::SlotFilter::Any, now);
  }

  bool IsPaced()
  {
    return table.Pacer().Count(now).cold + table.Pacer().Count(now).inSlowStart > 0;
  }

  void EndAttempt(AttemptOutcome aOutcome)
  {
    UpstreamEntry& entry = *table.Find(id);
    table.RecordDispatch(entry, MakeSpec(), now);
    table.RecordAttemptEnd(entry, MakeSpec(), aOutcome, false, now);
  }
};

/// A sound upstream under the pace would lose most of its work for seconds.
TEST(PacedUpstreamTable, SingleFailuresAreNoReturn)
{
  EndAttempt(AttemptOutcome::Failed);
  EndAttempt(AttemptOutcome::BrokenOff);
  EndAttempt(AttemptOutcome::Succeeded);
  EndAttempt(AttemptOutcome::Refused);
  EndAttempt(AttemptOutcome::Cancelled);
  CHECK_FALSE(IsPaced());
}

TEST(PacedUpstreamTable, UnreachableUpstreamCountsAsCold)
{
  EndAttempt(AttemptOutcome::Unreachable);
  now += 1100ms;
  Hear(50);
  CHECK_EQUAL(1, table.Pacer().Count(now).cold);
  CHECK_EQUAL(1, table.LocalObservations(*table.Find(id), now).suspectingHosts);
  UpstreamEntry* entry = Choose();
  CHECK(entry);
  table.RecordDispatch(*entry, MakeSpec(), now);
  CHECK_FALSE(Choose()); // One request per second.
  // Otherwise hosts that may not send would suspect it for good.
  Hear(51);
  CHECK_EQUAL(0, table.Pacer().Count(now).cold);
  CHECK_EQUAL(0, table.LocalObservations(*table.Find(id), now).suspectingHosts);
}

/// A heartbeat that may be older than a response must not leave the upstream without a check.
TEST(PacedUpstreamTable, ColdTimeThatOnlyExtendsIsChecked)
{
  table.RecordColdTimeInResponse(id, core::Incarnation(1), 0ms, now, now);
  CHECK(Choose());
  CHECK_FALSE(IsPaced());
  table.RecordColdTime(id, core::Incarnation(1), 3, 2s, now);
  CHECK_EQUAL(1, table.Pacer().Count(now).cold);
  CHECK(Choose());
  table.RecordDispatch(*table.Find(id), MakeSpec(), now);
  CHECK_FALSE(Choose());
}

/// Streams that break off one after the other may be all that a host sees of a restart.
TEST(PacedUpstreamTable, RepeatedBreakOffsCountAsReturn)
{
  EndAttempt(AttemptOutcome::BrokenOff);
  EndAttempt(AttemptOutcome::BrokenOff);
  CHECK_FALSE(IsPaced());
  EndAttempt(AttemptOutcome::BrokenOff);
  CHECK(IsPaced());
}

/// A host that has not used the upstream itself learns of the outage from others.
TEST(PacedUpstreamTable, SuspectedUpstreamCountsAsColdUntilLaterHeartbeat)
{
  table.SetRemoteReachability(id, 3, 1, now);
  CHECK_EQUAL(1, table.Pacer().Count(now).cold);
  now += 500ms;
  table.SetRemoteReachability(id, 1, 3, now);
  Hear(70);
  now += 1200ms;
  CHECK_EQUAL(1, table.Pacer().Count(now).cold);
  Hear(71);
  CHECK_EQUAL(0, table.Pacer().Count(now).cold);
}

/// A long prompt at an engine that serves others is silent as well.
TEST(PacedUpstreamTable, SilentUpstreamCountsAsColdUnlessOthersConfirmIt)
{
  table.RecordDispatch(*table.Find(id), MakeSpec(), now);
  now += 1s;
  table.SetRemoteReachability(id, 0, 2, now);
  table.LocalObservations(*table.Find(id), now);
  CHECK_FALSE(IsPaced());
  table.SetRemoteReachability(id, 0, 0, now);
  table.LocalObservations(*table.Find(id), now);
  CHECK_EQUAL(1, table.Pacer().Count(now).cold);
}

/// A service whose responses take longer than the nominal time would never leave slow start.
TEST(PacedUpstreamTable, ResponsesAreComparedWithThoseOfTheService)
{
  const auto answer = [&] {
    table.RecordFirstEvent(*table.Find(id), MakeSpec(), 400ms, 40ms, now);
    now += 10ms;
  };
  for (int n = 0; n < 100; ++n) {
    answer();
  }
  table.ReleaseUpstreams({ id }, now);
  for (int n = 0; n < 3; ++n) {
    answer();
  }
  const auto sums = table.LocalPacedAnswers(*table.Find(id), now);
  DOUBLES_EQUAL(3, sums.good, 0.1);
  DOUBLES_EQUAL(0, sums.bad, 0);
}

namespace {

/// Time goes on with each reading of the clock, as in a process that runs.
class RunningTimerService : public test_framework::time::ManualTimerService
{
public:
  core::Instant Now() const override { return ManualTimerService::Now() + ++mReadings * 1us; }

private:
  mutable std::int64_t mReadings = 0;
};

class DispatchCounter : public SchedulerListener
{
public:
  void OnDispatch(const core::RequestId&, const UpstreamAnnouncement&) override { ++dispatched; }
  void OnShed(const core::RequestId&, ShedReason, core::Duration) override {}

  int dispatched = 0;
};

class OneVersion : public VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

} // namespace

/// Fault: the cold time of an upstream ended between two readings of the clock for one placement.
/// The dispatch was recorded with the earlier one, for which nothing had been granted, and the
/// invariant `pace.cold-send-allowed` ended the process.
TEST(PacedUpstreamTable, ColdTimeMayEndWhileARequestIsPlaced)
{
  const OneVersion versions;
  for (int remaining = 1; remaining <= 40; ++remaining) {
    RunningTimerService timers;
    DispatchCounter listener;
    PlacementScheduler scheduler({ .settings = {},
                                   .timers = timers,
                                   .random = random,
                                   .listener = listener,
                                   .versions = versions,
                                   .dataCentre = core::DataCentreId("here") });
    UpstreamTable& upstreams = scheduler.Upstreams();
    upstreams.SetPacedServices({ { core::ServiceId("s"), { .coldPerSecond = 11 } } });
    // This host may not send to cold upstreams: it is in no list.
    upstreams.Pacer().SetMembers(5, { 6 }, timers.Now());
    UpstreamAnnouncement upstream = table.Find(id)->upstream;
    scheduler.AddOrUpdateUpstream(upstream);
    upstreams.RecordColdTime(id, core::Incarnation(1), 1, 0ms, timers.Now());
    timers.Advance(2s);
    // Many other hosts use it, so there is no slow start after the cold time.
    upstreams.SetRemoteReachability(id, 0, 50, timers.Now());
    upstreams.RecordColdTime(id, core::Incarnation(1), 2, remaining * 1us, timers.Now());
    RequestSpec spec = MakeSpec();
    spec.id = core::RequestId("r");
    spec.deadline = timers.Now() + 10s;
    spec.firstTokenTarget = 1s;
    scheduler.Submit(spec);
    timers.Advance(1s);
    CHECK_EQUAL(1, listener.dispatched);
  }
}
