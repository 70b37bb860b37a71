#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::request::claims {

/// What names a claim: a key is scoped by its workspace and kept in the workspace's home.
struct ClaimKey
{
  core::DataCentreId home;
  core::WorkspaceId workspace;
  core::IdempotencyKey key;
};

/// Where a claimed request was sent.
struct ClaimTarget
{
  core::UpstreamId upstream{};
  std::string address{};
  std::uint16_t port = 0;
  bool resumes = false; ///< The answer's stream can be read there again by request id.
};

/// How a claimed request ended.
struct ClaimOutcome
{
  int status = 0;
  std::string contentType{};
  std::string body{};    ///< The whole answer, if `whole`.
  bool complete = false; ///< False where the answer was too long to keep.
};

/// How far a claimed request has come.
enum class ClaimState
{
  Waiting,    ///< Not sent to any upstream yet.
  Dispatched, ///< Sent; what became of it is not recorded.
  Done,       ///< Ended, with its outcome.
};

/// The record of a key.
struct ClaimRecord
{
  core::RequestId request{}; ///< The arrival that holds the claim.
  core::HostId host{};
  std::uint64_t attempt = 0;
  ClaimState state = ClaimState::Waiting;
  ClaimTarget target{};
  ClaimOutcome outcome{};
};

/// The answer to a step on a claim.
enum class ClaimVerdict
{
  Granted,       ///< The step took effect; this arrival holds the claim.
  Held,          ///< Another arrival holds it; see the record.
  DigestDiffers, ///< The key was used for another request.
  TooOld,        ///< The key is older than what is remembered: it may have run.
  Full,          ///< No room for another claim; this key has none.
  Stale,         ///< This arrival does not hold the claim any more.
  NotFound,      ///< No record of the key.
};

struct ClaimReply
{
  ClaimVerdict verdict = ClaimVerdict::Stale;
  ClaimRecord record{};
};

/// Claims as an exchange needs them. Every step is committed by a majority of the home's voters
/// before its answer comes; steps are idempotent, so a lost answer may be asked for again.
class ClaimStorage
{
public:
  /// Called once, never from inside the step.
  using Callback = std::function<void(core::Result<ClaimReply>)>;

  virtual ~ClaimStorage() = default;

  /// Takes the claim for an arrival. A claim that is still Waiting passes to the new arrival.
  virtual void Claim(const ClaimKey& aKey, std::uint64_t aDigest, const core::RequestId& aRequest,
                     Callback aDone) = 0;

  /// Commits that this arrival is about to be sent to aTarget. Granted again after a try that was
  /// proved not to have run (`aAttempt` is the one that was proved so).
  virtual void Dispatch(const ClaimKey& aKey, const core::RequestId& aRequest,
                        std::uint64_t aAttempt, const ClaimTarget& aTarget, Callback aDone) = 0;

  /// Gives the claim up where nothing ran. Granted: the key is free, and this arrival never runs.
  virtual void Release(const ClaimKey& aKey, const core::RequestId& aRequest,
                       std::uint64_t aAttempt, Callback aDone) = 0;

  /// Records how the request ended; the first outcome stays.
  virtual void Complete(const ClaimKey& aKey, const core::RequestId& aRequest,
                        std::uint64_t aAttempt, const ClaimOutcome& aOutcome, Callback aDone) = 0;

  /// Reads the record. Held with the record, or Absent.
  virtual void LookUp(const ClaimKey& aKey, Callback aDone) = 0;
};

} // namespace cuminfield::request::claims
