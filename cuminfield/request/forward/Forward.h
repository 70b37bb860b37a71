#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/connection/upstream/UpstreamTransport.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/exchange/EventStream.h"
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
  core::Bytes heldAnswer{ 256 * 1024 };
  /// A stream whose event goes on for longer than this is broken off: events are passed on whole.
  core::Bytes maxEvent{ 256 * 1024 };
  /// An idempotent request without any answer after this multiple of its target is tried elsewhere,
  double silentTargets = 2.0;
  /// but not before this.
  core::Duration silentAtLeast = std::chrono::milliseconds(400);
  /// A resumable stream that pauses for this multiple of its pause target goes on elsewhere,
  double pauseTargets = 4.0;
  /// but not before this.
  core::Duration pauseAtLeast = std::chrono::milliseconds(900);
  /// How long a request that comes before the first catalogue is held; a host that starts knows it
  /// within about a second.
  core::Duration holdEarly = std::chrono::milliseconds(1200);
  /// Requests held so at once.
  std::size_t maxEarly = 400;
  /// Least time left that a try is worth.
  core::Duration leastLeft = std::chrono::milliseconds(20);
};

/// One forwarded request from its arrival to its last byte. Sends it on unchanged, and its answer
/// back unchanged; takes an idempotent one to another upstream when a try fails; tells the caller
/// that it has not run only where no upstream can have run it. Free of I/O. Lives for a request.
class Forward : public connection::upstream::UpstreamCallListener
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
    std::function<void()> onNotRun;   ///< It ends, and nothing of it has run.
    std::function<bool()> closing;    ///< True: callers are asked to use another connection.
    std::function<void()> onFinished; ///< Nothing is left to do; destroy it, but not from inside.
  };

  explicit Forward(Options aOptions);
  ~Forward() override;
  Forward(const Forward&) = delete;
  Forward& operator=(const Forward&) = delete;

  void Start();

  /// The scheduler's decisions.
  void Dispatch(const UpstreamAnnouncement& aUpstream);
  void Shed(ShedReason aReason, core::Duration aRetryAfter);

  /// The host ends before the request has.
  void CutOff();

  const ForwardRequest& Request() const { return mOptions.request; }
  bool Ended() const { return mState == State::Ended; }

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

  PlacementBasis Basis();
  void Call();
  void NoteFirst();
  void TakeEvents(std::string_view aBytes);
  void PassHead();
  bool MayTryElsewhere() const;
  void FailTry(const std::string& aReason);
  void FinishTry(TryOutcome aOutcome);
  void TakeBackTry(TryOutcome aOutcome, int aStatus);
  void Fail(const ForwardFailure& aFailure);
  void NotePace(std::uint64_t aLeast);
  void ArmSilence();
  void OnSilence();
  void OnTimeout();
  void OnCallerGone();
  void Answer(const ForwardFailure& aFailure);
  void BreakOff(const std::string& aReason);
  void End();

  Options mOptions;
  State mState = State::Waiting;
  bool mSent = false;     ///< Some upstream may have run it.
  bool mHeadSent = false; ///< The caller has an answer's head.
  UpstreamAnnouncement mUpstream;
  std::unique_ptr<connection::upstream::UpstreamCall> mCall;
  std::uint32_t mTries = 0; ///< Tries that may have run.
  int mStatus = 0;
  connection::HttpHeaders mHeaders; ///< For the caller, of the first try that was answered.
  bool mEvented = false;            ///< The answer is server-sent events.
  std::string mHeld;                ///< A plain answer, until it is whole.
  exchange::EventStream mEvents;
  std::uint64_t mEventsBefore = 0; ///< Events of earlier tries.
  core::Instant mSentAt{};
  std::optional<core::Duration> mTryFirst;
  core::Instant mPacedAt{};       ///< The pace is measured from here,
  std::uint64_t mPacedEvents = 0; ///< after so many events.
  std::uint32_t mStretches = 0;   ///< Of the try, whose pace was measured.
  core::Instant mLastAt{};
  core::TimerHandle mTimeout;
  core::TimerHandle mSilence;
  ForwardSummary mSummary;
};

} // namespace cuminfield::request::forward
