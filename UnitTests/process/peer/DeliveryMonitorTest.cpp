#include "cuminfield/process/peer/DeliveryMonitor.h"
#include "cuminfield/core/StallDetector.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::peer;

namespace {

constexpr core::Duration kTimeout = 1200ms;
constexpr core::Duration kStep = 5ms;
constexpr core::Duration kCheckPeriod = 250ms;

/// Users allow 4 s without acknowledgement in calm; half of it is left for an election.
constexpr core::Duration kFoundWithin = 2s;

/// A batch on its way.
struct Batch
{
  core::Instant arrivesAt;
  ReceivedBatch content;
};

/// One of two hosts. Each sends to the other on a stream of its own.
struct SimulatedHost
{
  // The load pattern.
  core::Duration sendInterval{ 150ms }; ///< Zero: it has nothing to send.
  core::Duration latency{ 5ms };        ///< Of what it sends.
  core::Duration openingTime{ 0 };      ///< Until a new stream carries the first batch.
  bool acknowledges = true;             ///< False: a version that does not.
  core::Instant frozenUntil{};
  std::uint32_t silentUpTo = 0; ///< Streams up to this number deliver nothing.

  DeliveryMonitor monitor{ { .timeout = kTimeout } };
  core::StallDetector stalls{ kCheckPeriod * 2 };
  std::uint32_t stream = 0;
  std::uint64_t batches = 0; ///< Sent on this stream.
  core::Instant openAt{};
  core::Instant nextSend{};
  core::Instant nextCheck{};
  std::deque<Batch> arriving; ///< From the other host.

  // What happened.
  int acknowledgements = 0; ///< Batches without frames.
  int undelivered = 0;
  int silent = 0;

  int Replaced() const { return undelivered + silent; }
};

} // namespace

TEST_GROUP(DeliveryMonitor)
{
  core::Instant now{ 1000s };
  std::uint32_t lastStream = 100;
  SimulatedHost left;
  SimulatedHost right;

  void setup() override
  {
    OpenStream(left);
    OpenStream(right);
  }

  void OpenStream(SimulatedHost & aHost)
  {
    aHost.stream = ++lastStream;
    aHost.batches = 0;
    aHost.openAt = now + aHost.openingTime;
    aHost.monitor.OnStreamOpened(aHost.stream, kTimeout, now);
  }

  void Send(SimulatedHost & aFrom, SimulatedHost & aTo, bool aHasFrames)
  {
    ReceivedBatch batch{ .position = { .stream = aFrom.stream, .batches = ++aFrom.batches },
                         .hasFrames = aHasFrames,
                         .acknowledged = {} };
    if (aFrom.acknowledges) {
      batch.acknowledged = aFrom.monitor.Received();
    }
    if (aHasFrames) {
      aFrom.monitor.OnQueued(now);
    }
    aFrom.monitor.OnSent(now);
    aFrom.monitor.OnWritten(now);
    if (aFrom.stream > aFrom.silentUpTo) {
      aTo.arriving.push_back(
        { .arrivesAt = std::max(now, aFrom.openAt) + aFrom.latency, .content = batch });
    }
  }

  void Check(SimulatedHost & aHost, SimulatedHost & aOther)
  {
    aHost.monitor.ExcuseStall(aHost.stalls.Update(now), now);
    const auto fault = aHost.monitor.Judge(now);
    if (fault) {
      ++(*fault == StreamFault::Silent ? aHost.silent : aHost.undelivered);
      OpenStream(aHost);
    } else if (aHost.acknowledges && aHost.monitor.IsAcknowledgementDue(now)) {
      ++aHost.acknowledgements;
      Send(aHost, aOther, false);
    }
  }

  /// A host that stood still sends and checks before it reads: the harshest order.
  void Step(SimulatedHost & aHost, SimulatedHost & aOther)
  {
    if (now < aHost.frozenUntil) {
      return;
    }
    if (aHost.sendInterval.count() > 0 && now >= aHost.nextSend) {
      aHost.nextSend = now + aHost.sendInterval;
      Send(aHost, aOther, true);
    }
    if (now >= aHost.nextCheck) {
      aHost.nextCheck = now + kCheckPeriod;
      Check(aHost, aOther);
    }
    while (!aHost.arriving.empty() && aHost.arriving.front().arrivesAt <= now) {
      aHost.monitor.OnReceived(aHost.arriving.front().content, now);
      aHost.arriving.pop_front();
    }
  }

  void RunFor(core::Duration aDuration)
  {
    for (const core::Instant end = now + aDuration; now < end; now += kStep) {
      Step(left, right);
      Step(right, left);
    }
  }

  /// The stream of aHost goes silent; new ones work.
  void Silence(SimulatedHost & aHost)
  {
    aHost.silentUpTo = aHost.stream;
  }

  void CheckNothingWasReplaced() const
  {
    LONGS_EQUAL(0, left.Replaced());
    LONGS_EQUAL(0, right.Replaced());
  }
};

TEST(DeliveryMonitor, KeepsStreamsThatDeliver)
{
  RunFor(60s);
  CheckNothingWasReplaced();
  LONGS_EQUAL(0, left.acknowledgements + right.acknowledgements);
}

// A host whose stream was silent was satisfied as long as the peer was heard.
TEST(DeliveryMonitor, FindsOneSilentDirectionThoughThePeerIsHeard)
{
  RunFor(10s);
  Silence(left);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
  RunFor(10s);
  LONGS_EQUAL(1, left.Replaced());
}

TEST(DeliveryMonitor, FindsAStreamThatDeliversNothingFromItsStart)
{
  Silence(left);
  RunFor(2 * kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
}

// Streams to an overloaded peer were replaced before they could open, again and again.
TEST(DeliveryMonitor, StreamToASilentPeerHasTheTimeToOpenThatItWasGiven)
{
  DeliveryMonitor monitor({ .timeout = kTimeout });
  monitor.OnStreamOpened(1, 2 * kTimeout, now);
  for (const core::Instant end = now + 2 * kTimeout; now <= end; now += kStep) {
    monitor.OnQueued(now);
    CHECK_FALSE(monitor.Judge(now).has_value());
  }
  CHECK(monitor.Judge(now) == StreamFault::Silent);
}

TEST(DeliveryMonitor, TimeToOpenDoesNotCountAsSilenceOfThePeer)
{
  DeliveryMonitor monitor({ .timeout = kTimeout });
  monitor.OnStreamOpened(1, 2 * kTimeout, now);
  monitor.OnQueued(now);
  now += 2 * kTimeout;
  monitor.OnWritten(now);
  for (const core::Instant end = now + kTimeout; now <= end; now += kStep) {
    monitor.OnQueued(now);
    CHECK_FALSE(monitor.Judge(now).has_value());
  }
  CHECK(monitor.Judge(now) == StreamFault::Silent);
}

TEST(DeliveryMonitor, FindsThatTheLastBatchWasNotDelivered)
{
  left.sendInterval = 0ms;
  RunFor(10s);
  Send(left, right, true);
  Silence(left);
  Send(left, right, true);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
}

TEST(DeliveryMonitor, FindsTwoSilentDirections)
{
  RunFor(10s);
  Silence(left);
  Silence(right);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.silent);
  LONGS_EQUAL(1, right.silent);
  RunFor(10s);
  LONGS_EQUAL(2, left.Replaced() + right.Replaced());
}

/// Load pattern: a slow link that delivers everything, 400 ms late in each direction.
TEST(DeliveryMonitor, KeepsTheStreamsOfASlowLink)
{
  left.latency = 400ms;
  right.latency = 400ms;
  RunFor(60s);
  CheckNothingWasReplaced();
}

TEST(DeliveryMonitor, LeavesANewStreamOfASlowLinkTheTimeToOpen)
{
  left.latency = 400ms;
  right.latency = 400ms;
  RunFor(10s);
  left.openingTime = 800ms;
  Silence(left);
  RunFor(20s);
  LONGS_EQUAL(1, left.Replaced());
}

/// Load pattern: one host has nothing to send, over a slow link.
TEST(DeliveryMonitor, KeepsTheStreamToAPeerThatHasNothingToSend)
{
  left.latency = 400ms;
  right.latency = 400ms;
  right.sendInterval = 0ms;
  RunFor(60s);
  CheckNothingWasReplaced();
  LONGS_EQUAL(0, left.acknowledgements);
  CHECK(right.acknowledgements <= 60s / (kTimeout / 2));
}

TEST(DeliveryMonitor, FindsASilentStreamToAPeerThatHasNothingToSend)
{
  right.sendInterval = 0ms;
  RunFor(10s);
  Silence(left);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.Replaced());
}

/// Load pattern: a peer that sends rarely, and not within the timeout.
TEST(DeliveryMonitor, KeepsTheStreamToAPeerThatSendsRarely)
{
  right.sendInterval = 5s;
  RunFor(60s);
  CheckNothingWasReplaced();
}

TEST(DeliveryMonitor, AnIdlePairSendsNothing)
{
  left.sendInterval = 0ms;
  right.sendInterval = 0ms;
  RunFor(1s);
  Send(left, right, true);
  RunFor(60s);
  CheckNothingWasReplaced();
  LONGS_EQUAL(0, left.acknowledgements);
  LONGS_EQUAL(1, right.acknowledgements);
}

/// Load pattern: a batch every 5 ms. What follows an acknowledged batch must not hide a silence.
TEST(DeliveryMonitor, FindsASilentStreamInHeavyTraffic)
{
  left.sendInterval = kStep;
  right.sendInterval = kStep;
  left.latency = 50ms;
  right.latency = 50ms;
  RunFor(60s);
  CheckNothingWasReplaced();
  Silence(left);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
}

/// Load pattern: this host's process stands still, again and again, for longer than the timeout.
TEST(DeliveryMonitor, TimeInWhichThisHostStoodStillDoesNotCount)
{
  for (int n = 0; n < 20; ++n) {
    RunFor(2s + n * kStep);
    left.frozenUntil = now + 3s;
    RunFor(3s);
  }
  RunFor(5s);
  LONGS_EQUAL(0, left.Replaced());
}

/// Load pattern: the peer's process stands still, and sends before it reads when it runs again.
TEST(DeliveryMonitor, APeerThatStoodStillIsNotTakenForDeaf)
{
  for (int n = 0; n < 20; ++n) {
    RunFor(2s + n * kStep);
    right.frozenUntil = now + 3s;
    RunFor(3s);
  }
  RunFor(5s);
  LONGS_EQUAL(0, left.undelivered);
  LONGS_EQUAL(0, right.Replaced());
}

/// Load pattern: the peer's process stands still, again and again, for nearly the timeout. It then
/// sends before it reads.
TEST(DeliveryMonitor, APeerThatStandsStillForAMomentIsNotTakenForDeaf)
{
  left.latency = 100ms;
  right.latency = 100ms;
  for (int n = 0; n < 100; ++n) {
    RunFor(2s + n * kStep);
    right.frozenUntil = now + 1100ms;
    RunFor(1100ms);
  }
  LONGS_EQUAL(0, left.undelivered);
}

TEST(DeliveryMonitor, FindsThatARestartedPeerDoesNotReceive)
{
  RunFor(10s);
  // Without a reset, as when the peer's machine is gone and another takes its address.
  Silence(left);
  right.monitor = DeliveryMonitor({ .timeout = kTimeout });
  OpenStream(right);
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
}

TEST(DeliveryMonitor, AcknowledgementsOfAFormerStreamDoNotCount)
{
  RunFor(10s);
  // This host starts anew; the peer acknowledges the stream of its former life.
  left.monitor = DeliveryMonitor({ .timeout = kTimeout });
  OpenStream(left);
  Silence(left);
  RunFor(2 * kFoundWithin);
  LONGS_EQUAL(1, left.undelivered);
}

TEST(DeliveryMonitor, APeerOfAVersionThatDoesNotAcknowledgeIsJudgedByItsSilence)
{
  right.acknowledges = false;
  RunFor(10s);
  Silence(left);
  RunFor(10s);
  LONGS_EQUAL(0, left.Replaced());
  right.sendInterval = 0ms;
  RunFor(kFoundWithin);
  LONGS_EQUAL(1, left.silent);
}

TEST(DeliveryMonitor, TheTimeOfALargeBatchBeginsWhenItIsWritten)
{
  RunFor(10s);
  left.sendInterval = 0ms;
  RunFor(1s);
  // The batch is passed to the stream, which takes it after 10 s only.
  left.monitor.OnSent(now);
  RunFor(10s);
  Send(left, right, true);
  RunFor(1s);
  CheckNothingWasReplaced();
}
