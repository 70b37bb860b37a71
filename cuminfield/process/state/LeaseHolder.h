#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

namespace cuminfield::process::state {

/// A holder's own view of one lease, by its monotonic clock. It believes in the lease only from
/// before it sent the request for it until the duration, less the clocks' drift, has passed; and
/// never before it has waited out earlier holders. Check Holds() again right before each effect: a
/// process that was stopped between check and effect finds its lease gone. For effects on upstreams
/// that refuse old fencing numbers, send Fencing() along. Sends nothing itself.
class LeaseHolder
{
public:
  /// aDuration is the one that requests carry.
  explicit LeaseHolder(core::Duration aDuration);

  /// An Acquire that was sent at aSentAt was granted; aWait is the answer's, counted from aNow.
  void Granted(core::FencingNumber aFencing, core::Duration aWait, core::Instant aSentAt,
               core::Instant aNow);

  /// A Renew of aFencing that was sent at aSentAt was answered RENEWED.
  void Renewed(core::FencingNumber aFencing, core::Instant aSentAt);

  /// The lease was released, is about to be, or an answer was STALE: believe in it no longer.
  void Lost();

  /// True while no other holder can act under this lease.
  bool Holds(core::Instant aNow) const;

  /// True once earlier holders are waited out; Renew and Release say so.
  bool Waited(core::Instant aNow) const;

  /// True when a grant exists and a third of its time has passed since it was last sent for.
  bool RenewalDue(core::Instant aNow) const;

  /// Number of the grant; orders carry it.
  core::FencingNumber Fencing() const { return mFencing; }

  /// What requests ask for.
  core::Duration Period() const { return mDuration; }

private:
  core::Duration Term() const;

  core::Duration mDuration;
  core::FencingNumber mFencing;
  bool mGranted = false;
  core::Instant mFrom{};   ///< Earlier holders are waited out.
  core::Instant mSentAt{}; ///< The latest request that was answered was sent.
};

} // namespace cuminfield::process::state
