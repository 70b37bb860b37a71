#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/UuidV7.h"
#include "cuminfield/process/state/state.pb.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// Stores the claims of non-idempotent requests in one data centre: which attempt of which request
/// may be dispatched, and its outcome. A host dispatches only after GRANTED, once per granted
/// attempt. Deterministic; driven by the group's log. See docs/design/Claims.md.
class ClaimStore
{
public:
  /// Fixed for the lifetime of a group: replicas with different settings would diverge.
  struct Settings
  {
    /// Keys older than this are rejected and their records dropped.
    core::Duration retention = std::chrono::hours(24);
    /// Keys further ahead of the group's clock than this are rejected.
    core::Duration futureAllowance = std::chrono::minutes(5);
    /// Keys that predate the group's founding by more than this are rejected.
    core::Duration foundingSkew = std::chrono::seconds(5);
    /// Number of records from which on new keys are rejected.
    std::size_t maxRecords = 200'000;
    /// Memory of all records without bodies; new request ids that would exceed it are rejected.
    core::Bytes maxRecordBytes{ 64 * 1024 * 1024 };
    /// Memory of all bodies; a body that would exceed it is not stored.
    core::Bytes maxTotalBodyBytes{ 64 * 1024 * 1024 };
    /// Size of the largest body that is stored for repeated requests.
    core::Bytes maxBodySize{ 16 * 1024 };
    /// Maximum number of request ids of one key.
    int maxGrantsPerKey = 1000;
    /// Maximum number of expired records that one command drops.
    std::size_t maxDropsPerCommand = 64;
  };

  /// aClock is the group's clock. It must outlive the store and be advanced before each call.
  ClaimStore(const GroupClock& aClock, Settings aSettings);

  /// Grants a new attempt or returns the reason for rejecting it. A resent Claim gets the attempt
  /// that it was granted before. A key whose request has no upstream yet passes to the new request.
  proto::ClaimAnswer Claim(const proto::Claim& aCommand);

  /// Grants the next attempt, at the given upstream, to the request that holds the key.
  proto::ClaimAnswer Retarget(const proto::Retarget& aCommand);

  /// Releases the key and bars this request id from it for good, even if its Claim is applied
  /// later. Returns RELEASED only if no other request holds the key.
  proto::ClaimAnswer Release(const proto::Release& aCommand);

  /// Stores the outcome of the current attempt. The first outcome wins.
  proto::ClaimAnswer Complete(const proto::Complete& aCommand);

  proto::ClaimFound LookUp(const proto::ClaimLookup& aQuery) const;

  /// Drops a bounded number of records whose keys are older than MinKeyTime().
  void DropExpired();

  /// Time of the oldest key that may be granted. Never decreases.
  core::WallTime MinKeyTime() const;

  std::size_t RecordCount() const { return mRecords.size(); }

  proto::ClaimSnapshot Snapshot() const;
  void Restore(const proto::ClaimSnapshot& aSnapshot);

private:
  /// Keys sort by their timestamps, so the oldest record comes first.
  struct ClaimId
  {
    std::string key;
    std::string workspace;

    auto operator<=>(const ClaimId&) const = default;
  };

  using Records = std::map<ClaimId, proto::ClaimRecord>;

  /// Sets aId if the key is well formed, not too old and not too far in the future; otherwise sets
  /// the verdict of aAnswer. Returns true if the key is valid.
  bool CheckKey(const std::string& aWorkspace, const std::string& aKey, ClaimId& aId,
                proto::ClaimAnswer& aAnswer) const;
  proto::ClaimRecord* Find(const ClaimId& aId);
  proto::ClaimRecord& Insert(const ClaimId& aId);
  bool HasRoom(const proto::ClaimRecord* aRecord, std::size_t aBytes) const;
  proto::ClaimAnswer HandleResentClaim(const proto::Claim& aCommand, proto::ClaimRecord& aRecord);
  proto::ClaimAnswer GrantAttempt(const proto::Claim& aCommand, const ClaimId& aId);
  proto::ClaimAnswer ReleaseBeforeClaim(const proto::Release& aCommand, const ClaimId& aId);
  void AddGrant(proto::ClaimRecord& aRecord, const std::string& aRequestId, std::uint64_t aAttempt);
  void StoreOutcome(const proto::Outcome& aOutcome, proto::ClaimRecord& aRecord);
  void DropRecord(Records::iterator aIt);

  const GroupClock& mClock;
  Settings mSettings;
  Records mRecords;
  std::size_t mRecordBytes = 0; ///< Memory of all records without bodies.
  std::size_t mBodyBytes = 0;   ///< Memory of all stored bodies.
};

} // namespace cuminfield::process::state
