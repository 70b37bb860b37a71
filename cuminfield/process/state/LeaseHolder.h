#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

namespace cuminfield::process::state {

/// Tracks one lease on the side of its holder, by the holder's monotonic clock. The lease is valid
/// for its duration less the maximum clock drift, counted from the time at which the request was
/// sent, and not before all earlier holders' leases have run out. Check IsHeld() again right before
/// each effect: a process that was suspended between the check and the effect finds its lease
/// expired. For effects on upstreams that reject old fencing numbers, send Fencing() along. Sends
/// no requests itself.
class LeaseHolder
{
public:
  /// aDuration is the lease duration that the requests ask for.
  explicit LeaseHolder(core::Duration aDuration);

  /// Handles a granted Acquire that was sent at aSentAt. aWait is the wait in the answer, counted
  /// from aNow.
  void OnGranted(core::FencingNumber aFencing, core::Duration aWait, core::Instant aSentAt,
                 core::Instant aNow);

  /// Handles the answer RENEWED to a Renew of aFencing that was sent at aSentAt.
  void OnRenewed(core::FencingNumber aFencing, core::Instant aSentAt);

  /// Invalidates the lease. Call it before or after releasing the lease and when an answer is
  /// STALE.
  void OnLost();

  /// Returns true while no other holder can act under this lease.
  bool IsHeld(core::Instant aNow) const;

  /// Returns true once earlier holders' leases have run out. Renew and Release report it.
  bool IsWaitOver(core::Instant aNow) const;

  /// Returns true if the lease is granted and a third of its valid duration has passed since the
  /// last successful request was sent.
  bool IsRenewalDue(core::Instant aNow) const;

  /// Returns the fencing number of the grant, which commands carry.
  core::FencingNumber Fencing() const { return mFencing; }

  /// Returns the duration that the requests ask for.
  core::Duration LeaseDuration() const { return mDuration; }

private:
  core::Duration ValidDuration() const;

  core::Duration mDuration;
  core::FencingNumber mFencing;
  bool mGranted = false;
  core::Instant mValidFrom{};         ///< Time at which earlier holders' leases have run out.
  core::Instant mLastRequestSentAt{}; ///< Time at which the latest successful request was sent.
};

} // namespace cuminfield::process::state
