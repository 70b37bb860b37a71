#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/state.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// Maximum difference in rate between two clocks.
inline constexpr std::int64_t kMaxClockDriftPerMille = 10;

/// Returns the maximum drift between two clocks over aDuration.
constexpr core::Duration MaxClockDrift(core::Duration aDuration)
{
  constexpr std::int64_t kPerMille = 1000;
  return aDuration * kMaxClockDriftPerMille / kPerMille;
}

/// Stores the named leases of a group, after Gray and Cheriton, "Leases" (1989), with fencing
/// numbers that increase with every grant. The group's clock only decides when a lease may pass to
/// another holder. Two holders never overlap because a new holder waits, by its own monotonic clock
/// (LeaseHolder), for the time given in its grant; this does not depend on wall clock time.
/// Deterministic; driven by the group's log.
class LeaseStore
{
public:
  /// Fixed for the lifetime of a group.
  struct Settings
  {
    core::Duration minDuration = std::chrono::milliseconds(100);
    core::Duration maxDuration = std::chrono::hours(1);
    std::size_t maxLeases = 10'000;
  };

  /// aClock is the group's clock. It must outlive the store and be advanced before each call.
  LeaseStore(const GroupClock& aClock, Settings aSettings);

  /// Grants a free or expired lease. A resent Acquire gets the same grant again without extending
  /// it.
  proto::LeaseAnswer Acquire(const proto::AcquireLease& aCommand);

  /// Extends the current grant, even an expired one if no other holder has acquired the lease.
  proto::LeaseAnswer Renew(const proto::RenewLease& aCommand);

  /// Makes the lease available to the next holder at once.
  proto::LeaseAnswer Release(const proto::ReleaseLease& aCommand);

  proto::LeaseFound LookUp(const proto::LeaseLookup& aQuery) const;

  proto::LeaseSnapshot Snapshot() const;
  void Restore(const proto::LeaseSnapshot& aSnapshot);

private:
  bool IsValid(const proto::AcquireLease& aCommand) const;
  bool IsExpired(const proto::LeaseRecord& aRecord) const;
  core::WallTime ExpiryTime(const proto::LeaseRecord& aRecord) const;
  proto::LeaseAnswer Grant(const proto::AcquireLease& aCommand, proto::LeaseRecord& aRecord);
  proto::LeaseRecord* FindCurrentGrant(const std::string& aName, const std::string& aHolder,
                                       std::uint64_t aFencing);

  const GroupClock& mClock;
  Settings mSettings;
  std::map<std::string, proto::LeaseRecord> mRecords;
  std::uint64_t mLastFencing = 0;
};

} // namespace cuminfield::process::state
