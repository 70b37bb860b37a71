#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::request::claims {

/// Identifies a claim. Keys are scoped by workspace and stored in the workspace's home data centre.
struct ClaimKey
{
  core::DataCentreId home;
  core::WorkspaceId workspace;
  core::IdempotencyKey key;
};

/// Upstream that a claimed request was dispatched to.
struct ClaimTarget
{
  core::UpstreamId upstream{};
  std::string address{};
  std::uint16_t port = 0;
  bool supportsResume =
    false; ///< The response stream can be read again from this upstream by request id.
};

/// How a claimed request ended.
struct ClaimOutcome
{
  int status = 0;
  std::string contentType{};
  std::string body{};    ///< The complete response body, if `complete`.
  bool complete = false; ///< False if the response was too long to store.
};

/// Progress of a claimed request.
enum class ClaimState
{
  Waiting,    ///< Not dispatched to any upstream yet.
  Dispatched, ///< Dispatched; no outcome is recorded.
  Done,       ///< Ended, with its outcome.
};

/// The stored record of a key.
struct ClaimRecord
{
  core::RequestId request{}; ///< The arrival that holds the claim.
  core::HostId host{};
  std::uint64_t attempt = 0;
  ClaimState state = ClaimState::Waiting;
  ClaimTarget target{};
  ClaimOutcome outcome{};
};

/// Result of a claim operation.
enum class ClaimVerdict
{
  Granted,       ///< The operation took effect; this arrival holds the claim.
  Held,          ///< Another arrival holds the claim; see the record.
  DigestDiffers, ///< The key was used for a different request.
  TooOld,        ///< The key is older than the retained records, so its request may have run.
  Full,          ///< There is no room for another claim, and this key has none.
  Stale,         ///< This arrival no longer holds the claim.
  NotFound,      ///< The key has no record.
};

struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::Stale;
  ClaimRecord record{};
};

/// Claim operations used by an exchange. Each operation is committed by a majority of the home's
/// voters before its reply arrives. Operations are idempotent, so one whose reply was lost can be
/// repeated.
class ClaimStorage
{
public:
  /// Called exactly once, never from inside the operation.
  using Callback = std::function<void(core::Result<ClaimReply>)>;

  virtual ~ClaimStorage() = default;

  /// Acquires the claim for an arrival. A claim that is still Waiting passes to the new arrival.
  virtual void Claim(const ClaimKey& aKey, std::uint64_t aDigest, const core::RequestId& aRequest,
                     Callback aCallback) = 0;

  /// Commits that this arrival is about to be sent to aTarget. Granted again after an attempt that
  /// provably did not run; `aAttempt` is the number of that attempt.
  virtual void Dispatch(const ClaimKey& aKey, const core::RequestId& aRequest,
                        std::uint64_t aAttempt, const ClaimTarget& aTarget, Callback aCallback) = 0;

  /// Releases the claim if nothing ran. If Granted, the key is free and this arrival will never
  /// run.
  virtual void Release(const ClaimKey& aKey, const core::RequestId& aRequest,
                       std::uint64_t aAttempt, Callback aCallback) = 0;

  /// Records how the request ended. The first recorded outcome is final.
  virtual void Complete(const ClaimKey& aKey, const core::RequestId& aRequest,
                        std::uint64_t aAttempt, const ClaimOutcome& aOutcome,
                        Callback aCallback) = 0;

  /// Reads the record. Replies Held with the record, or NotFound.
  virtual void LookUp(const ClaimKey& aKey, Callback aCallback) = 0;
};

} // namespace cuminfield::request::claims
