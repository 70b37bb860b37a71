#include "cuminfield/process/cluster/RoundPacer.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::cluster;

TEST_GROUP(RoundPacer)
{
  RoundPacer pacer{ {} };
  core::Instant now{ 1000s };

  /// Runs rounds of the given duration on ticks of 50 ms and returns the part of the time they
  /// take.
  double Load(core::Duration aRound, core::Duration aTotal)
  {
    const core::Instant end = now + aTotal;
    core::Duration busy{ 0 };
    while (now < end) {
      if (pacer.IsDue(now, true)) {
        pacer.OnRoundSent(now, now + aRound);
        busy += aRound;
      }
      now += std::max<core::Duration>(50ms, aRound);
    }
    return core::Seconds(busy) / core::Seconds(aTotal);
  }
};

TEST(RoundPacer, ShortRoundsFollowTheBacklog)
{
  pacer.OnRoundSent(now, now + 2ms);
  CHECK_FALSE(pacer.IsDue(now + 30ms, true));
  CHECK(pacer.IsDue(now + 50ms, true));
  CHECK_FALSE(pacer.IsDue(now + 50ms, false));
  CHECK(pacer.IsDue(now + 100ms, false));
}

/// Load pattern: a control host whose machine turns slow, or that takes over the followers of
/// others, so that a round takes many times as long.
TEST(RoundPacer, LongRoundsTakeTheirPartOfTheTimeOnly)
{
  Load(25ms, 2s);
  CHECK(Load(25ms, 4s) <= 0.21);
  // Followers must not hold the host for silent.
  Load(200ms, 4s);
  CHECK(pacer.Interval(true) == 250ms);
  CHECK(pacer.IsSlowed());
  // Fast rounds bring the interval back.
  Load(1ms, 4s);
  CHECK(pacer.Interval(true) == 50ms);
  CHECK_FALSE(pacer.IsSlowed());
}
