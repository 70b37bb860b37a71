#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/connection/upstream/UpstreamTransport.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/claims/ClaimStorage.h"
#include "cuminfield/request/exchange/EventStreamParser.h"
#include "cuminfield/request/exchange/ExchangeObserver.h"
#include "cuminfield/request/exchange/IncomingRequest.h"
#include "cuminfield/request/exchange/Problem.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Settings of Exchange.
struct ExchangeSettings
{
  /// Largest response body stored with a claim for retries with the same key.
  core::Bytes maxStoredBody{ 16 * 1024 };
  /// Interval between lookups of another arrival's outcome.
  core::Duration followPollInterval = std::chrono::milliseconds(100);
  /// Time after which the lookups stop and the caller gets `unknown`.
  core::Duration followTimeout = std::chrono::seconds(2);
  /// Maximum number of times that an interrupted stream is resumed from its upstream.
  std::uint32_t maxResumes = 3;
  /// Delay before an interrupted stream is resumed.
  core::Duration resumeDelay = std::chrono::milliseconds(50);
};

/// Handles one request from arrival to the last response byte: claim, queue, dispatch, respond.
/// Guarantees that a request is sent at most once unless an attempt provably did not run, and that
/// `not-run` is returned only if nothing ran. Does no I/O itself. Exchange.cpp handles the claim
/// and the upstream call, ExchangeFollow.cpp resumed streams and outcomes of other arrivals,
/// ExchangeAnswer.cpp the responses to the caller.
class Exchange : public connection::upstream::UpstreamCallListener
{
public:
  struct Options
  {
    ExchangeSettings settings{};
    core::HostId host;
    core::TimerService& timers;
    Scheduler& scheduler;
    claims::ClaimStorage& claims;
    connection::upstream::UpstreamTransport& transport;
    ExchangeObserver& observer;
    std::shared_ptr<connection::caller::CallerChannel> caller;
    IncomingRequest request;
    /// Called when the exchange has ended. Destroy it, but not from inside this call.
    std::function<void()> onFinished;
  };

  explicit Exchange(Options aOptions);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Acquires the claim if the request has a key, otherwise submits the request to the scheduler.
  void Start();

  /// Sends the request to aUpstream, as decided by the scheduler.
  void Dispatch(const UpstreamAnnouncement& aUpstream);

  /// Rejects the request, as decided by the scheduler.
  void Shed(ShedReason aReason, core::Duration aRetryAfter);

  /// Ends the request at host shutdown and sends the caller an outcome that is true at this point.
  void Abort();

  const IncomingRequest& Request() const { return mOptions.request; }

  void OnHead(int aStatus, const connection::HttpHeaders& aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd() override;
  void OnFailed(const connection::upstream::UpstreamFailure& aFailure) override;

private:
  enum class State
  {
    Claiming,           ///< The claim is being committed.
    Waiting,            ///< Queued in the scheduler.
    CommittingDispatch, ///< The dispatch is being committed.
    Calling,            ///< Sent to the upstream.
    Following,          ///< Another arrival holds the claim; its outcome is being polled.
    Releasing,          ///< The claim is being released before `not-run` is returned.
    Ended,
  };

  // Claim.
  void OnClaimed(const core::Result<claims::ClaimReply>& aReply);
  void OnDispatchCommitted(const core::Result<claims::ClaimReply>& aReply);
  void RecordOutcome(int aStatus);
  void RecordUnknown(const Problem& aProblem);
  void CompleteClaim(const claims::ClaimOutcome& aOutcome);

  // Upstream call.
  void CallUpstream();
  void HandleStreamBytes(std::string_view aBytes);
  void HandleBodyBytes(std::string_view aBytes);
  void CountToken();
  bool CanResume() const;
  void Resume();
  void ReadStream(const std::string& aAddress, std::uint16_t aPort, std::uint64_t aOffset);
  void FinishAttempt(AttemptOutcome aOutcome);
  void Succeed();
  void FailAfterDispatch(const std::string& aDetail);

  // Outcome of another arrival.
  void FollowClaim(const claims::ClaimRecord& aRecord);
  void FollowStream(const claims::ClaimRecord& aRecord);
  void ScheduleClaimLookup();
  void OnClaimLookedUp(const core::Result<claims::ClaimReply>& aReply);

  // Response to the caller.
  void OnCallerDisconnected();
  void CancelAtUpstream();
  void SendHead(int aStatus, const connection::HttpHeaders& aUpstreamHeaders);
  void RespondNotRun(Problem aProblem);
  void RespondUnknown(int aStatus, const std::string& aTitle, const std::string& aDetail);
  void SendProblem(const Problem& aProblem);
  void End(ExchangeEnd aEnd);

  /// Returns a callback that does nothing once this exchange has been destroyed.
  template<typename Method>
  claims::ClaimStorage::Callback GuardCallback(Method aMethod)
  {
    return [this, alive = mAlive, aMethod](const core::Result<claims::ClaimReply>& aReply) {
      if (*alive) {
        (this->*aMethod)(aReply);
      }
    };
  }

  Options mOptions;
  State mState = State::Claiming;
  std::shared_ptr<bool> mAlive;
  bool mCallerDisconnected = false;
  bool mHeadSent = false;
  /// An attempt that may have run was started, so `not-run` is no longer allowed.
  bool mMayHaveRun = false;
  std::uint64_t mAttempt = 0;
  UpstreamAnnouncement mUpstream;
  std::unique_ptr<connection::upstream::UpstreamCall> mCall;
  core::RequestId mStreamId; ///< Id under which the upstream stores the response.
  core::TimerHandle mTimer;
  core::Instant mFollowDeadline{};
  EventStreamParser mStreamParser;
  /// Events of the stream before those that mStreamParser receives.
  std::uint64_t mStreamOffset = 0;
  std::uint32_t mResumeCount = 0;
  bool mIsEventStream = false; ///< The response is a stream of server-sent events.
  int mStatus = 0;
  std::string mContentType;
  std::string mStoredBody; ///< The response body, unless it is too long to store.
  bool mStoredBodyComplete = true;
  core::Instant mDispatchedAt{};
  core::Instant mLastTokenAt{};
  ExchangeSummary mSummary;
};

} // namespace cuminfield::request::exchange
