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

/// Tunables of one forwarded request.
struct ForwardSettings
{
  /// A plain answer up to this size is held until it is whole, so that one that breaks off can be
  /// had elsewhere.
  core::Bytes maxBufferedResponse{ 256 * 1024 };
  /// A stream whose event goes on for longer than this is broken off: events are passed on whole.
  core::Bytes maxEventSize{ 256 * 1024 };
  /// An idempotent request without any answer after this multiple of its target is tried elsewhere,
  double silenceTimeoutFactor = 2.0;
  /// but not before this.
  core::Duration minSilenceTimeout = std::chrono::milliseconds(400);
  /// A resumable stream that pauses for this multiple of its pause target goes on elsewhere,
  double pauseTimeoutFactor = 4.0;
  /// but not before this.
  core::Duration minPauseTimeout = std::chrono::milliseconds(900);
  /// How long a request that comes before the first catalogue is held; a host that starts knows it
  /// within about a second.
  core::Duration earlyRequestTimeout = std::chrono::milliseconds(1200);
  /// Requests held so at once.
  std::size_t maxEarlyRequests = 400;
  /// Least time left that a try is worth.
  core::Duration minRemainingTime = std::chrono::milliseconds(20);
};

/// One forwarded request from its arrival to its last byte. Sends it on unchanged, and its answer
/// back unchanged; takes an idempotent one to another upstream when a try fails; tells the caller
/// that it has not run only where no upstream can have run it. Free of I/O. Lives for a request.
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
    std::function<void()> onNotRun; ///< It ends, and nothing of it has run.
    std::function<bool()>
      shouldCloseConnection;          ///< True: callers are asked to use another connection.
    std::function<void()> onFinished; ///< Nothing is left to do; destroy it, but not from inside.
  };

  explicit RequestForwarder(Options aOptions);
  ~RequestForwarder() override;
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  void Start();

  /// The scheduler's decisions.
  void Dispatch(const UpstreamAnnouncement& aUpstream);
  void Shed(ShedReason aReason, core::Duration aRetryAfter);

  /// The host ends before the request has.
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
    Waiting, ///< The scheduler has it.
    Calling, ///< Sent to an upstream.
    Ended,
  };

  PlacementBasis MakePlacementBasis();
  void StartAttempt();
  void RecordFirstEvent();
  void ForwardEvents(std::string_view aBytes);
  void ForwardHead();
  bool CanRetry() const;
  void FailAttempt(const std::string& aReason);
  void FinishAttempt(AttemptOutcome aOutcome);
  void RevertAttempt(AttemptOutcome aOutcome, int aStatus);
  void Fail(const ForwardFailure& aFailure);
  void RecordTokenInterval(std::uint64_t aLeast);
  void ArmSilenceTimer();
  void OnSilenceTimeout();
  void OnTimeout();
  void OnCallerDisconnected();
  void SendFailure(const ForwardFailure& aFailure);
  void AbortResponse(const std::string& aReason);
  void End();

  Options mOptions;
  State mState = State::Waiting;
  bool mMayHaveRun = false; ///< Some upstream may have run it.
  bool mHeadSent = false;   ///< The caller has an answer's head.
  UpstreamAnnouncement mUpstream;
  std::unique_ptr<connection::upstream::UpstreamCall> mCall;
  std::uint32_t mAttempts = 0; ///< Tries that may have run.
  int mStatus = 0;
  connection::HttpHeaders mHeaders; ///< For the caller, of the first try that was answered.
  bool mIsEventStream = false;      ///< The answer is server-sent events.
  std::string mBufferedBody;        ///< A plain answer, until it is whole.
  exchange::EventStreamParser mEventStream;
  std::uint64_t mEarlierEvents = 0; ///< Events of earlier tries.
  core::Instant mAttemptStartedAt{};
  std::optional<core::Duration> mAttemptFirstEventLatency;
  core::Instant mIntervalStartedAt{};     ///< The pace is measured from here,
  std::uint64_t mIntervalStartEvents = 0; ///< after so many events.
  std::uint32_t mIntervalCount = 0;       ///< Of the try, whose pace was measured.
  core::Instant mLastEventAt{};
  core::TimerHandle mTimeoutTimer;
  core::TimerHandle mSilenceTimer;
  ForwardSummary mSummary;
};

} // namespace cuminfield::request::forward
