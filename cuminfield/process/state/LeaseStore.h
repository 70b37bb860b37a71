#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/state.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// How much faster or slower one clock runs than another, in thousandths, at most.
inline constexpr std::int64_t kClockDriftPerMille = 10;

/// The part of aDuration by which two clocks may come apart meanwhile.
constexpr core::Duration DriftOver(core::Duration aDuration)
{
  constexpr std::int64_t kPerMille = 1000;
  return aDuration * kClockDriftPerMille / kPerMille;
}

/// Named leases of a group, after Gray and Cheriton, "Leases" (1989), with fencing numbers that
/// grow with every grant. The group's clock only decides when a lease may change hands; that two
/// holders never overlap rests on the wait that a grant carries, counted by the new holder's own
/// clock (LeaseHolder), and so not on civil time. Deterministic; driven by the group's log.
class LeaseStore
{
public:
  /// Fixed for the life of a group.
  struct Settings
  {
    core::Duration minDuration = std::chrono::milliseconds(100);
    core::Duration maxDuration = std::chrono::hours(1);
    std::size_t maxNames = 10'000;
  };

  /// aClock is the group's; it must outlive this and be advanced before each call.
  LeaseStore(const GroupClock& aClock, Settings aSettings);

  /// Grants a free or expired lease. A resent Acquire gets its grant again, not a longer one.
  proto::LeaseAnswer Acquire(const proto::AcquireLease& aCommand);

  /// Prolongs the grant in force, even a late one that nobody else has taken.
  proto::LeaseAnswer Renew(const proto::RenewLease& aCommand);

  /// Frees the lease at once for the next holder.
  proto::LeaseAnswer Release(const proto::ReleaseLease& aCommand);

  proto::LeaseFound Lookup(const proto::LeaseLookup& aQuery) const;

  proto::LeaseSnapshot Snapshot() const;
  void Restore(const proto::LeaseSnapshot& aSnapshot);

private:
  bool Valid(const proto::AcquireLease& aCommand) const;
  bool Expired(const proto::LeaseRecord& aRecord) const;
  core::WallTime ExpiresAt(const proto::LeaseRecord& aRecord) const;
  proto::LeaseAnswer Grant(const proto::AcquireLease& aCommand, proto::LeaseRecord& aRecord);
  proto::LeaseRecord* InForce(const std::string& aName, const std::string& aHolder,
                              std::uint64_t aFencing);

  const GroupClock& mClock;
  Settings mSettings;
  std::map<std::string, proto::LeaseRecord> mRecords;
  std::uint64_t mLastFencing = 0;
};

} // namespace cuminfield::process::state
