#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/connection/upstream/UpstreamTransport.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/exchange/EventStreamParser.h"
#include "cuminfield/request/forward/ForwardCodec.h"
#include "cuminfield/request/forward/ForwardObserver.h"
#include "cuminfield/request/placement/PlacementScheduler.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::request::forward {

/// Settings of RequestForwarder and ForwardTable.
struct ForwardSettings
{
  /// A plain response up to this size is buffered until it is complete, so that the request can be
  /// retried at another upstream if the response is aborted.
  core::Bytes maxBufferedResponse{ 256 * 1024 };
  /// A stream with a larger event is aborted, since only complete events are forwarded.
  core::Bytes maxEventSize{ 256 * 1024 };
  /// An idempotent request without any response is retried at another upstream after this multiple
  /// of its first event target, but not before minSilenceTimeout.
  double silenceTimeoutFactor = 2.0;
  core::Duration minSilenceTimeout = std::chrono::milliseconds(400);
  /// A stalled resumable stream is continued at another upstream after this multiple of its token
  /// gap target, but not before minPauseTimeout.
  double pauseTimeoutFactor = 4.0;
  core::Duration minPauseTimeout = std::chrono::milliseconds(900);
  /// How long a request that arrives before the first catalogue is held; a starting host receives
  /// the catalogue within about a second.
  core::Duration earlyRequestTimeout = std::chrono::milliseconds(1200);
  /// Maximum number of requests held before the first catalogue.
  std::size_t maxEarlyRequests = 400;
  /// Minimum remaining time for which another attempt is made.
  core::Duration minRemainingTime = std::chrono::milliseconds(20);
};

/// Forwards one request to an upstream and the response to the caller, both unchanged. Retries an
/// idempotent request at another upstream when an attempt fails. Reports `not-run` to the caller
/// only if no upstream can have run the request. Does no I/O. Lives from the request's arrival to
/// the last byte of the response.
class RequestForwarder : public connection::upstream::UpstreamCallListener
{
public:
  struct Options
  {
    ForwardSettings settings{};
    core::TimerService& timers;
    placement::PlacementScheduler& scheduler;
    connection::upstream::UpstreamTransport& transport;
    const ForwardCodec& codec;
    ForwardObserver& observer;
    std::shared_ptr<connection::caller::CallerChannel> caller;
    ForwardRequest request;
    /// Called when the request fails without any part of it having run.
    std::function<void()> onNotRun;
    /// True if callers are to be asked to use another connection.
    std::function<bool()> shouldCloseConnection;
    /// Called at the end. The forwarder may be destroyed, but not from inside this call.
    std::function<void()> onFinished;
  };

  explicit RequestForwarder(Options aOptions);
  ~RequestForwarder() override;
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  void Start();

  /// Carries out the scheduler's decision.
  void Dispatch(const UpstreamAnnouncement& aUpstream);
  void Shed(ShedReason aReason, core::Duration aRetryAfter);

  /// Ends the request if it is quarantined and its attempt hasn't begun to answer: the upstream
  /// drops it with its connection, before it crashes.
  void AbortIfQuarantined(const quarantine::QuarantineTable& aQuarantine);

  /// Ends the request because the host stops.
  void Abort();

  const ForwardRequest& Request() const { return mOptions.request; }
  bool IsEnded() const { return mState == State::Ended; }

  void OnHead(int aStatus, const connection::HttpHeaders& aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd() override;
  void OnFailed(const connection::upstream::UpstreamFailure& aFailure) override;

private:
  enum class State
  {
    Waiting, ///< For the scheduler's decision, or for the end after the last attempt.
    Calling, ///< Sent to an upstream.
    Ended,
  };

  PlacementBasis MakePlacementBasis();
  void StartAttempt();
  void HandleNotice(int aStatus, const connection::HttpHeaders& aHeaders);
  void HandleColdTime(int aStatus, const connection::HttpHeaders& aHeaders);
  /// True if a response continues the stream whose head was sent to the caller.
  bool IsContinuation(int aStatus, const connection::HttpHeaders& aHeaders) const;
  void RecordFirstEvent();
  void ForwardEvents(std::string_view aBytes);
  void ForwardHead();
  bool CanRetry() const;
  /// Ends the attempt and queues the request for another upstream; the retry has been taken.
  void RetryElsewhere(AttemptOutcome aOutcome, const std::string& aReason);
  /// Ends an attempt whose response broke off.
  void FailAttempt(const std::string& aReason);
  /// Tells the scheduler and the observer that the attempt has ended. Every attempt ends here or in
  /// RevertAttempt().
  void FinishAttempt(AttemptOutcome aOutcome, std::string aReason = {});
  void RevertAttempt(AttemptOutcome aOutcome, int aStatus);
  void Fail(const ForwardFailure& aFailure);
  void RecordTokenInterval(std::uint64_t aMinEvents);
  void ArmSilenceTimer();
  void OnSilenceTimeout();
  void OnTimeout();
  void OnCallerDisconnected();
  void SendFailure(const ForwardFailure& aFailure);
  void AbortResponse(const std::string& aReason);
  void End();

  Options mOptions;
  State mState = State::Waiting;
  bool mMayHaveRun = false; ///< An upstream may have run the request.
  bool mHeadSent = false;   ///< The response head was sent to the caller.
  UpstreamAnnouncement mUpstream;
  std::unique_ptr<connection::upstream::UpstreamCall> mCall;
  std::uint32_t mAttempts = 0; ///< Attempts that may have run.
  int mStatus = 0;
  connection::HttpHeaders mHeaders; ///< For the caller, from the first response.
  bool mIsEventStream = false;      ///< The response consists of server-sent events.
  bool mIsSealed = false;           ///< The first response bore its upstream's seal.
  std::string mBufferedBody;        ///< Of a plain response until it is complete.
  exchange::EventStreamParser mEventStream;
  std::uint64_t mEarlierEvents = 0; ///< Events of earlier attempts.
  /// The connection of an earlier attempt may be in use again. A second copy of that response on it
  /// would bear the id of this request.
  bool mEarlierResponseEnded = false;
  core::Instant mAttemptStartedAt{};
  std::optional<core::Duration> mAttemptFirstEventLatency;
  core::Instant mIntervalStartedAt{};     ///< Start of the current sample.
  std::uint64_t mIntervalStartEvents = 0; ///< Event count at the start of the sample.
  std::uint32_t mIntervalCount = 0;       ///< Token interval samples of this attempt.
  core::Instant mLastEventAt{};
  core::TimerHandle mTimeoutTimer;
  core::TimerHandle mSilenceTimer;
  ForwardSummary mSummary;
};

} // namespace cuminfield::request::forward
