#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/TimedKey.h"
#include "cuminfield/process/state/state.pb.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// Claims of non-idempotent requests in one data centre: which attempt of which request may be
/// dispatched, and what came of it. A host dispatches only after GRANTED, once per granted attempt.
/// See docs/design/Claims.md. Deterministic; driven by the group's log.
class ClaimStore
{
public:
  /// Fixed for the life of a group: replicas with different settings would diverge.
  struct Settings
  {
    /// Keys older than this are refused and their records dropped.
    core::Duration retention = std::chrono::hours(24);
    /// Keys further ahead of the group's clock are refused.
    core::Duration futureAllowance = std::chrono::minutes(5);
    /// Keys older than the group's founding by more than this are refused.
    core::Duration foundingSkew = std::chrono::seconds(5);
    /// Records above which new keys are refused.
    std::size_t maxRecords = 200'000;
    /// Weight of records, without bodies, above which new request ids are refused.
    core::Bytes maxBytes{ 64 * 1024 * 1024 };
    /// Weight of all bodies above which no further one is kept.
    core::Bytes maxBodyBytes{ 64 * 1024 * 1024 };
    /// Largest body that is kept for a repeated request.
    core::Bytes maxBody{ 16 * 1024 };
    /// Most request ids of one key.
    int maxGrants = 1000;
    /// Expired records dropped by one command.
    std::size_t dropsPerCommand = 64;
  };

  /// aClock is the group's; it must outlive this and be advanced before each call.
  ClaimStore(const GroupClock& aClock, Settings aSettings);

  /// Grants a new attempt, or says why not. A resent Claim gets the attempt it was granted.
  proto::ClaimAnswer Claim(const proto::Claim& aCommand);

  /// Grants the next attempt to the request that holds the key.
  proto::ClaimAnswer Retarget(const proto::Retarget& aCommand);

  /// Gives the key up for this request id for good, whether its Claim was applied or is yet to be.
  proto::ClaimAnswer Release(const proto::Release& aCommand);

  /// Keeps the outcome of the attempt in force; the first one wins.
  proto::ClaimAnswer Complete(const proto::Complete& aCommand);

  /// What is known about a key.
  proto::ClaimFound Lookup(const proto::ClaimLookup& aQuery) const;

  /// Drops a bounded number of records whose keys are older than Floor().
  void DropExpired();

  /// Keys made earlier are never granted; never falls.
  core::WallTime Floor() const;

  std::size_t Count() const { return mRecords.size(); }

  proto::ClaimSnapshot Snapshot() const;
  void Restore(const proto::ClaimSnapshot& aSnapshot);

private:
  /// Keys sort as their times, so that the oldest record is the first.
  struct ClaimId
  {
    std::string key;
    std::string workspace;

    auto operator<=>(const ClaimId&) const = default;
  };

  using Records = std::map<ClaimId, proto::ClaimRecord>;

  /// The record's id when the key is well formed, young enough and not from the future; else the
  /// verdict is set.
  bool CheckKey(const std::string& aWorkspace, const std::string& aKey, ClaimId& aId,
                proto::ClaimAnswer& aAnswer) const;
  proto::ClaimRecord* Find(const ClaimId& aId);
  proto::ClaimRecord& Insert(const ClaimId& aId);
  bool HasRoom(const proto::ClaimRecord* aRecord, std::size_t aBytes) const;
  proto::ClaimAnswer ClaimAgain(const proto::Claim& aCommand, proto::ClaimRecord& aRecord);
  proto::ClaimAnswer GrantNew(const proto::Claim& aCommand, const ClaimId& aId);
  proto::ClaimAnswer ReleaseUnseen(const proto::Release& aCommand, const ClaimId& aId);
  void AddGrant(proto::ClaimRecord& aRecord, const std::string& aRequest, std::uint64_t aAttempt);
  void KeepOutcome(const proto::Outcome& aOutcome, proto::ClaimRecord& aRecord);
  void Drop(Records::iterator aIt);

  const GroupClock& mClock;
  Settings mSettings;
  Records mRecords;
  std::size_t mBytes = 0;     ///< Weight of all records without bodies.
  std::size_t mBodyBytes = 0; ///< Weight of all kept bodies.
};

} // namespace cuminfield::process::state
