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

/// Tunables of one request's way through the host.
struct ExchangeSettings
{
  /// Largest answer kept with a claim, for those who ask again.
  core::Bytes maxStoredBody{ 16 * 1024 };
  /// How often the outcome of another arrival is looked for.
  core::Duration followPollInterval = std::chrono::milliseconds(100);
  /// How long it is looked for before the caller is told `unknown`.
  core::Duration followTimeout = std::chrono::seconds(2);
  /// Resumes of one broken stream at its upstream.
  std::uint32_t maxResumes = 3;
  /// Wait before a broken stream is resumed.
  core::Duration resumeDelay = std::chrono::milliseconds(50);
};

/// One request from its arrival to its last byte: claim, wait, dispatch, answer. Holds the two
/// promises that callers rely on: a request is sent at most once unless a try is proved not to
/// have run, and `not-run` is told only where nothing ran. Free of I/O. Lives for a request.
/// Exchange.cpp has its way to the upstream, ExchangeFollow.cpp streams taken up again and the
/// answers of other arrivals, ExchangeAnswer.cpp what the caller is told.
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
    std::function<void()> onFinished; ///< Nothing is left to do; destroy it, but not from inside.
  };

  explicit Exchange(Options aOptions);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Begins: with a key by taking its claim, otherwise at the scheduler.
  void Start();

  /// The scheduler's decision: send to aUpstream.
  void Dispatch(const UpstreamAnnouncement& aUpstream);

  /// The scheduler's decision: turn away.
  void Shed(ShedReason aReason, core::Duration aRetryAfter);

  /// The host ends before the request has: tells the caller what is true.
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
    Waiting,            ///< The scheduler has it.
    CommittingDispatch, ///< The dispatch is being committed.
    Calling,            ///< Sent to its upstream.
    Following,          ///< Another arrival holds the claim: its outcome is looked for.
    Releasing,          ///< The claim is being given up before `not-run` is told.
    Ended,
  };

  // The claim.
  void OnClaimed(const core::Result<claims::ClaimReply>& aReply);
  void OnDispatchCommitted(const core::Result<claims::ClaimReply>& aReply);
  void RecordOutcome(int aStatus);
  void RecordUnknown(const Problem& aProblem);
  void CompleteClaim(const claims::ClaimOutcome& aOutcome);

  // The upstream.
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

  // Another arrival's answer.
  void FollowClaim(const claims::ClaimRecord& aRecord);
  void FollowStream(const claims::ClaimRecord& aRecord);
  void ScheduleClaimLookup();
  void OnClaimLookedUp(const core::Result<claims::ClaimReply>& aReply);

  // The caller.
  void OnCallerDisconnected();
  void CancelAtUpstream();
  void SendHead(int aStatus, const connection::HttpHeaders& aUpstreamHeaders);
  void RespondNotRun(Problem aProblem);
  void RespondUnknown(int aStatus, const std::string& aTitle, const std::string& aDetail);
  void SendProblem(const Problem& aProblem);
  void End(ExchangeEnd aEnd);

  /// A completion that does nothing once this exchange is gone.
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
  bool mMayHaveRun =
    false; ///< A try that may have run was begun; `not-run` may not be told any more.
  std::uint64_t mAttempt = 0;
  UpstreamAnnouncement mUpstream;
  std::unique_ptr<connection::upstream::UpstreamCall> mCall;
  core::RequestId mStreamId; ///< The id under which the upstream knows the answer.
  core::TimerHandle mTimer;
  core::Instant mFollowDeadline{};
  EventStreamParser mStreamParser;
  std::uint64_t mStreamOffset = 0; ///< Events before those that this host reads.
  std::uint32_t mResumeCount = 0;
  bool mIsEventStream = false; ///< The answer is server-sent events.
  int mStatus = 0;
  std::string mContentType;
  std::string mStoredBody; ///< The answer, as long as it is short enough to keep.
  bool mStoredBodyComplete = true;
  core::Instant mDispatchedAt{};
  core::Instant mLastTokenAt{};
  ExchangeSummary mSummary;
};

} // namespace cuminfield::request::exchange
