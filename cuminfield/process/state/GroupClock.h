#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/state.pb.h"

namespace cuminfield::process::state {

/// Logical clock of a group: the latest of the wall clock times in its commands. It is the same on
/// every replica, never goes back, and does not advance while nothing is committed.
class GroupClock
{
public:
  /// Advances the clock to the time of a command; an earlier time has no effect.
  void Advance(core::WallTime aTime);

  /// Returns the Unix epoch before the first command.
  core::WallTime Now() const { return mNow; }

  /// Returns the time of the group's first command.
  core::WallTime FoundedAt() const { return mFoundedAt; }

  /// Returns true once a command has been applied.
  bool IsFounded() const { return mFounded; }

  proto::ClockSnapshot Snapshot() const;
  void Restore(const proto::ClockSnapshot& aSnapshot);

private:
  bool mFounded = false;
  core::WallTime mFoundedAt{};
  core::WallTime mNow{};
};

/// Converts a time to the unit of messages: microseconds since the Unix epoch.
inline std::int64_t ToMicros(core::WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

/// Converts a time from the unit of messages: microseconds since the Unix epoch.
inline core::WallTime FromMicros(std::int64_t aMicros)
{
  return core::WallTime(core::Duration(aMicros));
}

} // namespace cuminfield::process::state
