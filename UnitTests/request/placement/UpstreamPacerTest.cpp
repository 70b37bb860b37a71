#include "UnitTests/request/placement/PacedHosts.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;
using unit_tests::PacedHosts;

namespace {

/// The bound of the requirements: 11 x 1.5 + 5, per second over all hosts.
constexpr double kBound = 21.5;
const core::UpstreamId& kUpstream = PacedHosts::kUpstream;
constexpr core::Incarnation kIncarnation(1);

void CheckBound(const PacedHosts& aHosts, core::Instant aSince)
{
  CHECK(static_cast<double>(aHosts.MaxArrivalsPerSecond(aSince)) <= kBound);
}

/// All hosts know each other and use the upstream at full speed; then it is out of reach for 3 s.
core::Instant ReturnAfterOutage(PacedHosts& aHosts, std::size_t aCount)
{
  aHosts.SetMembers(0, aCount);
  aHosts.RunFor(12s);
  CHECK_EQUAL(aCount, aHosts.CountUnpaced());
  aHosts.isUp = false;
  aHosts.RunFor(3s);
  aHosts.isUp = true;
  return aHosts.Now();
}

} // namespace

TEST_GROUP(UpstreamPacer)
{
  core::Instant now{ 100s };
  UpstreamPacer pacer{ { .coldOvershoot = 1.5, .coldSlack = 5, .window = {} } };

  void setup() override
  {
    pacer.SetServices({ { core::ServiceId("s"), { .coldPerSecond = 11 } } });
    pacer.SetMembers(5, { 5 }, now);
    Announce(1);
    now += 2s;
  }

  void Announce(std::uint64_t aIncarnation)
  {
    request::UpstreamAnnouncement upstream;
    upstream.id = kUpstream;
    upstream.incarnation = core::Incarnation(aIncarnation);
    upstream.service = core::ServiceId("s");
    upstream.slots = 7;
    pacer.OnAppeared(upstream, now);
  }

  bool Hear(std::uint64_t aSequence, core::Duration aLeft)
  {
    return pacer.OnColdTime(kUpstream, kIncarnation, aSequence, aLeft, now);
  }

  std::size_t Cold()
  {
    return pacer.Count(now).cold;
  }

  /// Heartbeats 1 and 2 tell that the upstream is warm.
  void BecomeWarm()
  {
    Hear(1, 0ms);
    Hear(2, 0ms);
    CHECK_EQUAL(0, Cold());
  }
};

/// Dozens of hosts with backlogs find out that the upstream answers before any heartbeat.
TEST(UpstreamPacer, ReturnOfColdUpstreamKeepsTheBound)
{
  for (const std::size_t count : { 1, 20, 200 }) {
    for (const core::Duration delay : { 0ms, 150ms, 1000ms }) {
      PacedHosts hosts({ .hosts = count, .reportDelay = delay });
      const core::Instant returned = ReturnAfterOutage(hosts, count);
      hosts.coldUntil = returned + 3s;
      hosts.RunFor(3s);
      CheckBound(hosts, returned);
      CHECK(hosts.ArrivalsSince(returned) >= 2);
      hosts.RunFor(6s);
      CHECK_EQUAL(count, hosts.CountUnpaced());
    }
  }
}

/// A pace that outlasts the cold time would leave slots idle.
TEST(UpstreamPacer, UpstreamAtFullSpeedIsSoonFull)
{
  for (const std::size_t count : { 20, 200 }) {
    PacedHosts hosts({ .hosts = count });
    const core::Instant returned = ReturnAfterOutage(hosts, count);
    hosts.coldUntil = returned + 3s;
    hosts.RunFor(3s);
    CHECK(hosts.InFlight() >= 7); // All slots are in use when it becomes warm,
    hosts.RunFor(500ms);
    CHECK_EQUAL(count, hosts.CountUnpaced()); // and half a second later any host may use them.
  }
}

/// Hosts that all send at once would overload an upstream that is slow for its first seconds.
TEST(UpstreamPacer, SlowUpstreamGetsLittleUntilItIsFaster)
{
  PacedHosts hosts({ .hosts = 60 });
  const core::Instant returned = ReturnAfterOutage(hosts, 60);
  hosts.slowness = [&] { return hosts.Now() < returned + 4s ? 10.0 : 1.0; };
  hosts.RunFor(4s);
  CheckBound(hosts, returned);
  CHECK(hosts.InFlight() <= 3);
  hosts.RunFor(5s);
  CHECK(hosts.InFlight() >= 7);
  CHECK_EQUAL(60, hosts.CountUnpaced());
}

/// What was learned before the second failure must not count after it.
TEST(UpstreamPacer, UpstreamThatFailsAgainStartsSlowlyAgain)
{
  PacedHosts hosts({ .hosts = 60 });
  core::Instant returned = ReturnAfterOutage(hosts, 60);
  hosts.RunFor(5s);
  hosts.isUp = false;
  hosts.RunFor(1s);
  hosts.isUp = true;
  returned = hosts.Now();
  hosts.coldUntil = returned + 3s;
  hosts.RunFor(3s);
  CheckBound(hosts, returned);
  hosts.RunFor(6s);
  CHECK_EQUAL(60, hosts.CountUnpaced());
}

/// Without messages the bound must hold as well, but no upstream is excluded for good.
TEST(UpstreamPacer, HostsWithoutMessagesStayWithinTheBound)
{
  PacedHosts hosts({ .hosts = 40 });
  hosts.firstDisconnected = 0;
  hosts.RunFor(3s);
  CHECK_EQUAL(0, hosts.ArrivalsSince(core::Instant())); // Nobody has a list.
  hosts.SetMembers(0, 40);
  const core::Instant since = hosts.Now();
  hosts.RunFor(10s);
  CheckBound(hosts, since);
  CHECK(hosts.ArrivalsSince(since) >= 10);
}

/// Each part has its own list, and so its own first hosts.
TEST(UpstreamPacer, PartsOfPartitionedClusterKeepTheBoundTogether)
{
  PacedHosts hosts({ .hosts = 100 });
  hosts.SetMembers(0, 100);
  hosts.SetMembers(0, 50);
  hosts.SetMembers(50, 100);
  hosts.sendsHeartbeats = false; // Cold for all the time.
  hosts.RunFor(12s);
  CHECK(hosts.MaxArrivalsPerSecond(core::Instant()) <= 21);
  CHECK(hosts.MaxArrivalsPerSecond(core::Instant()) > 10);
}

/// The first lists of hosts that start at once are short: in them most hosts are among the first.
TEST(UpstreamPacer, HostsThatStartAtOnceKeepTheBound)
{
  PacedHosts hosts({ .hosts = 106 });
  hosts.sendsHeartbeats = false;
  for (std::size_t n = 1; n <= 106; ++n) {
    // The list grows by a host each 5 ms; each host has the newest one when it starts, and later.
    hosts.SetMembersAt(n - 1, 0, n);
    hosts.SetMembersAt(n / 2, 0, n);
    hosts.RunFor(5ms);
  }
  hosts.SetMembers(0, 106);
  hosts.RunFor(8s);
  CheckBound(hosts, core::Instant());
  CHECK(hosts.ArrivalsSince(core::Instant()) > 10);
}

/// A heartbeat tells that a warm upstream in full use has turned cold.
TEST(UpstreamPacer, UpstreamThatTurnsColdAgainIsPaced)
{
  PacedHosts hosts({ .hosts = 60 });
  ReturnAfterOutage(hosts, 60);
  hosts.RunFor(6s);
  CHECK_EQUAL(60, hosts.CountUnpaced());
  hosts.coldUntil = hosts.Now() + 5s;
  hosts.RunFor(1300ms); // Until the next heartbeat has arrived.
  const core::Instant known = hosts.Now();
  hosts.RunFor(3s);
  CheckBound(hosts, known);
  CHECK_EQUAL(0, hosts.CountUnpaced());
}

/// A heartbeat sent before the failure says nothing about the state after the return. The host
/// knows an old sequence only, so the latest one of the control host is the mark.
TEST(UpstreamPacer, HeartbeatSentBeforeFailureDoesNotCount)
{
  BecomeWarm();
  pacer.OnReturned(kUpstream, kIncarnation, now);
  CHECK_EQUAL(1, Cold());
  now += 100ms;
  CHECK_FALSE(Hear(90, 0ms)); // The first one after the failure is the mark.
  now += 400ms;
  CHECK_FALSE(Hear(90, 0ms));
  CHECK_EQUAL(91, pacer.AwaitedHeartbeats(9, now).front().fromSequence);
  CHECK_EQUAL(1, Cold());
  CHECK(Hear(91, 0ms));
  CHECK_EQUAL(0, Cold());
}

/// Its heartbeats were all sent after its start.
TEST(UpstreamPacer, FirstHeartbeatOfNewIncarnationCounts)
{
  BecomeWarm();
  Announce(2);
  CHECK_EQUAL(1, Cold());
  CHECK_FALSE(Hear(99, 0ms)); // Of the former incarnation.
  CHECK(pacer.OnColdTime(kUpstream, core::Incarnation(2), 1, 2s, now));
  now += 1900ms;
  CHECK_EQUAL(1, Cold());
  now += 200ms;
  CHECK_EQUAL(0, Cold());
}

/// An older heartbeat that arrives late must not hide that the upstream has turned cold.
TEST(UpstreamPacer, NewestInformationApplies)
{
  BecomeWarm();
  Hear(5, 2s);
  Hear(4, 0ms);
  CHECK_EQUAL(1, Cold());
  pacer.OnColdTimeInResponse(kUpstream, kIncarnation, 0ms, now - 1ms, now);
  CHECK_EQUAL(0, Cold());
  now += 1ms;
  pacer.OnColdTimeInResponse(kUpstream, kIncarnation, 1500ms, now, now);
  Hear(6, 0ms); // Sent before the response, perhaps.
  CHECK_EQUAL(1, Cold());
  now += 1500ms;
  CHECK_EQUAL(0, Cold());
}

/// An upstream that says nothing else must not be excluded, nor paced for good.
TEST(UpstreamPacer, UnreadableColdTimeStandsForTheColdStart)
{
  for (const core::Duration left : { core::Duration(-5ms), core::Duration(601s) }) {
    BecomeWarm();
    Hear(10, left);
    now += 2900ms;
    Hear(11, left);
    CHECK_EQUAL(1, Cold());
    now += 200ms;
    CHECK_EQUAL(0, Cold());
    pacer.OnRemoved(kUpstream, now);
    now += 2min;
    pacer.OnRemoved(kUpstream, now);
    Announce(1);
    now += 300ms;
  }
}

/// It may have failed and returned meanwhile, as may one whose evacuation was revoked.
TEST(UpstreamPacer, UpstreamThatWasNotUsedCountsAsCold)
{
  BecomeWarm();
  pacer.OnRemoved(kUpstream, now);
  Announce(1);
  CHECK_EQUAL(1, Cold());
  Hear(3, 0ms);
  now += 300ms;
  Hear(4, 0ms);
  CHECK_EQUAL(0, Cold());
  pacer.OnReleased(kUpstream, kIncarnation, now);
  CHECK_EQUAL(1, Cold());
  pacer.SetServices({});
  CHECK(pacer.MaySend(kUpstream, 50, now)); // Not of a paced service.
}

/// One failed connection must not keep a host from an upstream that all others use in full.
TEST(UpstreamPacer, SlowStartOfASingleHostEndsWithTheColdTime)
{
  BecomeWarm();
  CHECK_FALSE(pacer.MaySend(kUpstream, 50, now));
  pacer.SetConfirmingHosts(kUpstream, 4); // As many as may be in slow start, too.
  CHECK_FALSE(pacer.MaySend(kUpstream, 50, now));
  pacer.SetConfirmingHosts(kUpstream, 7);
  CHECK(pacer.MaySend(kUpstream, 50, now));
  pacer.OnReturned(kUpstream, kIncarnation, now);
  CHECK_FALSE(pacer.MaySend(kUpstream, 50, now)); // Cold all the same.
}

/// A host that starts must not take every upstream of a running cluster for cold.
TEST(UpstreamPacer, UpstreamInUseBeforeTheHostStartedIsNotPaced)
{
  pacer.OnFoundInUse(kUpstream);
  CHECK_EQUAL(0, Cold());
  CHECK(pacer.MaySend(kUpstream, 50, now));
  pacer.OnReturned(kUpstream, kIncarnation, now);
  pacer.OnFoundInUse(kUpstream);
  CHECK_EQUAL(1, Cold());
}

/// A host that is not in its own list is not counted by the others either.
TEST(UpstreamPacer, HostOutsideItsListSendsNothingToColdUpstream)
{
  pacer.SetMembers(5, { 6, 7 }, now);
  CHECK_FALSE(pacer.MaySend(kUpstream, 0, now));
  pacer.SetMembers(5, { 5, 6 }, now);
  CHECK(pacer.MaySend(kUpstream, 0, now));
}
