#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/state.pb.h"

namespace cuminfield::process::state {

/// A group's own time: the latest of the civil times that its commands carried. Every replica has
/// the same, it never falls, and it stands still while nothing is committed.
class GroupClock
{
public:
  /// Takes the time of a command; an earlier one changes nothing.
  void Advance(core::WallTime aTime);

  /// The group's time; the epoch before the first command.
  core::WallTime Now() const { return mNow; }

  /// Time of the group's first command.
  core::WallTime FoundedAt() const { return mFoundedAt; }

  /// True once a command was seen.
  bool Founded() const { return mFounded; }

  proto::ClockSnapshot Snapshot() const;
  void Restore(const proto::ClockSnapshot& aSnapshot);

private:
  bool mFounded = false;
  core::WallTime mFoundedAt{};
  core::WallTime mNow{};
};

/// A time as messages carry it: microseconds since the Unix epoch.
inline std::int64_t ToMicros(core::WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

/// The time that a message carries.
inline core::WallTime FromMicros(std::int64_t aMicros)
{
  return core::WallTime(core::Duration(aMicros));
}

} // namespace cuminfield::process::state
