#include "cuminfield/request/forward/RequestForwarder.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::forward {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";

/// Events per sample of the token interval: a second or less, so that an engine that slows down is
/// detected while its streams still run.
constexpr std::uint64_t kTokenIntervalEvents = 8;

const char* ReasonText(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "overload";
    case ShedReason::Deadline:
      return "deadline";
    case ShedReason::NoUpstream:
      return "no-upstream";
    case ShedReason::NoUpstreamInRegions:
      return "no-upstream-in-regions";
    case ShedReason::Evacuated:
      return "evacuated";
    case ShedReason::Shutdown:
      return "stopping";
    case ShedReason::Quarantined:
      return "quarantined";
  }
  return "overload";
}

/// Outcome of an attempt that the upstream answered in full with this status.
AttemptOutcome OutcomeOf(int aStatus)
{
  if (aStatus >= connection::kStatusInternalError) {
    return AttemptOutcome::Failed;
  }
  return aStatus >= connection::kStatusBadRequest ? AttemptOutcome::RejectedInput
                                                  : AttemptOutcome::Succeeded;
}

bool IsEventStream(const connection::HttpHeaders& aHeaders)
{
  return connection::FindHeader(aHeaders, connection::kContentTypeHeader)
    .starts_with(kEventStreamType);
}

} // namespace

RequestForwarder::RequestForwarder(Options aOptions)
  : mOptions(std::move(aOptions))
{
  mOptions.caller->onDisconnected = [this] { OnCallerDisconnected(); };
  mOptions.caller->onBacklog = [this](bool aBacklog) {
    if (mCall) {
      mCall->Pause(aBacklog);
    }
  };
}

RequestForwarder::~RequestForwarder()
{
  mOptions.caller->onDisconnected = nullptr;
  mOptions.caller->onBacklog = nullptr;
}

void RequestForwarder::Start()
{
  const ForwardRequest& request = mOptions.request;
  const core::Instant now = mOptions.timers.Now();
  mTimeoutTimer = mOptions.timers.ScheduleAfter(
    std::max(request.timeout - now, core::Duration::zero()), [this] { OnTimeout(); });
  mOptions.scheduler.Submit(request.spec);
}

void RequestForwarder::Dispatch(const UpstreamAnnouncement& aUpstream)
{
  CUMINFIELD_INVARIANT("forward.dispatch-only-while-waiting", mState == State::Waiting);
  mUpstream = aUpstream;
  mSummary.upstream = aUpstream.id;
  mOptions.observer.OnDispatched(mOptions.request, aUpstream, MakePlacementBasis());
  StartAttempt();
}

PlacementBasis RequestForwarder::MakePlacementBasis()
{
  const core::Instant now = mOptions.timers.Now();
  PlacementBasis basis{ .waitTime = now - mOptions.request.spec.arrival,
                        .queuedRequests = mOptions.scheduler.QueueSize() };
  if (const placement::UpstreamEntry* entry = mOptions.scheduler.Upstreams().Find(mUpstream.id)) {
    basis.localInFlight = entry->localInFlight;
    basis.remoteInFlight = entry->remoteInFlight;
    basis.remoteAge = now - entry->remoteReceivedAt;
  }
  return basis;
}

void RequestForwarder::StartAttempt()
{
  const ForwardRequest& request = mOptions.request;
  const core::Instant now = mOptions.timers.Now();
  CUMINFIELD_INVARIANT("forward.upstream-in-allowed-regions",
                       mOptions.scheduler.MayServe(request.spec, mUpstream));
  CUMINFIELD_INVARIANT("forward.upstream-not-evacuated",
                       !mOptions.scheduler.Upstreams().IsEvacuated(mUpstream.dataCentre));
  mState = State::Calling;
  mAttemptStartedAt = now;
  mAttemptFirstEventLatency.reset();
  mBufferedBody.clear();
  ++mAttempts;
  ++mSummary.attempts;
  const core::Duration remaining = std::min(request.callerDeadline, request.timeout) - now;
  const std::string lastEventId =
    mEarlierEvents + mEventStream.EventCount() > 0 ? mEventStream.LastEventId() : std::string();
  const bool freshConnection = !request.spec.retryable || mEarlierResponseEnded;
  connection::upstream::UpstreamRequest call{ .id = request.spec.id,
                                              .method = request.callerRequest.method,
                                              .target = request.callerRequest.target,
                                              .headers = mOptions.codec.MakeUpstreamHeaders(
                                                request, mUpstream, remaining, lastEventId),
                                              .body = request.callerRequest.body,
                                              .freshConnection = freshConnection };
  mMayHaveRun = true;
  mCall = mOptions.transport.Start(mUpstream.address, mUpstream.port, std::move(call), *this);
  ArmSilenceTimer();
}

void RequestForwarder::ArmSilenceTimer()
{
  const ForwardRequest& request = mOptions.request;
  if (!CanRetry()) {
    mSilenceTimer.Cancel();
    return;
  }
  const ForwardSettings& settings = mOptions.settings;
  const core::Duration limit =
    mAttemptFirstEventLatency
      ? std::max(core::Scaled(request.spec.tokenGapTarget, settings.pauseTimeoutFactor),
                 settings.minPauseTimeout)
      : std::max(core::Scaled(request.spec.firstTokenTarget, settings.silenceTimeoutFactor),
                 settings.minSilenceTimeout);
  mSilenceTimer = mOptions.timers.ScheduleAfter(limit, [this] { OnSilenceTimeout(); });
}

void RequestForwarder::OnSilenceTimeout()
{
  if (mState != State::Calling || !CanRetry()) {
    return;
  }
  if (!mOptions.scheduler.TryTakeRetry(mOptions.request.spec.service, mAttempts)) {
    // Silence is no failure: with no retry left, the upstream may still respond.
    ArmSilenceTimer();
    return;
  }
  mStatus = 0;
  RetryElsewhere(AttemptOutcome::Failed, "silent");
}

bool RequestForwarder::CanRetry() const
{
  const ForwardRequest& request = mOptions.request;
  const bool canContinue =
    !mHeadSent || (request.resumable && mIsEventStream && mEventStream.CanBeContinued());
  const core::Duration remaining = request.timeout - mOptions.timers.Now();
  return request.spec.retryable && canContinue && mAttempts < request.maxAttempts &&
         remaining > mOptions.settings.minRemainingTime;
}

void RequestForwarder::OnHead(int aStatus, const connection::HttpHeaders& aHeaders)
{
  if (const auto load = mOptions.codec.ParseLoad(aHeaders)) {
    mOptions.scheduler.OnLoadReport({ .id = mUpstream.id,
                                      .incarnation = {},
                                      .running = load->running,
                                      .waiting = load->waiting,
                                      .hasRequests = load->hasRequests,
                                      .speedPercent = load->speedPercent });
  }
  HandleNotice(aStatus, aHeaders);
  HandleColdTime(aStatus, aHeaders);
  if (mOptions.codec.IsNotRunResponse(aStatus, aHeaders)) {
    RevertAttempt(AttemptOutcome::Refused, aStatus);
    if (mOptions.codec.IsWrongUpstreamResponse(aStatus, aHeaders)) {
      mOptions.scheduler.RemoveUpstream(mUpstream.id);
    }
    mOptions.scheduler.OnAttemptEnded(mOptions.request.spec.id, AttemptOutcome::Refused);
    return;
  }
  mStatus = aStatus;
  const bool isWrongPart = mHeadSent && !IsContinuation(aStatus, aHeaders);
  const bool hasFailed = aStatus >= connection::kStatusInternalError ||
                         (isWrongPart && aStatus < connection::kStatusBadRequest);
  const std::string reason = isWrongPart ? "not-resumed" : "";
  if (hasFailed && CanRetry() &&
      mOptions.scheduler.TryTakeRetry(mOptions.request.spec.service, mAttempts)) {
    RetryElsewhere(AttemptOutcome::Failed, reason);
    return;
  }
  if (isWrongPart) {
    FinishAttempt(hasFailed ? AttemptOutcome::Failed : OutcomeOf(aStatus), reason);
    AbortResponse(reason);
    return;
  }
  if (!mOptions.request.spec.retryable && mOptions.codec.IsNotRunStatus(aStatus)) {
    // The upstream doesn't say that the request has not run.
    mCall.reset();
    FinishAttempt(OutcomeOf(aStatus), "unmarked-refusal");
    Fail({ .status = connection::kStatusBadGateway,
           .reason = "unmarked-refusal",
           .retryAfter = std::nullopt });
    return;
  }
  if (mHeadSent) {
    return;
  }
  mHeaders = mOptions.codec.MakeCallerHeaders(aHeaders);
  mIsEventStream = IsEventStream(aHeaders);
  mIsSealed = mOptions.codec.IsSealed(aHeaders);
}

bool RequestForwarder::IsContinuation(int aStatus, const connection::HttpHeaders& aHeaders) const
{
  return aStatus == connection::kStatusOk && IsEventStream(aHeaders) &&
         mOptions.codec.IsSealed(aHeaders) == mIsSealed;
}

void RequestForwarder::HandleNotice(int aStatus, const connection::HttpHeaders& aHeaders)
{
  const UpstreamNotice notice = mOptions.codec.ParseNotice(aStatus, aHeaders);
  // Another upstream at the address speaks for itself only.
  if (notice.IsEmpty() || mOptions.codec.IsWrongUpstreamResponse(aStatus, aHeaders)) {
    return;
  }
  if (mOptions.scheduler.OnUpstreamNotice(mUpstream, notice)) {
    mOptions.observer.OnUpstreamNotice(mUpstream, notice);
  }
}

void RequestForwarder::HandleColdTime(int aStatus, const connection::HttpHeaders& aHeaders)
{
  const auto left = mOptions.codec.ParseColdTime(aHeaders);
  if (left && !mOptions.codec.IsWrongUpstreamResponse(aStatus, aHeaders)) {
    mOptions.scheduler.OnColdTime(mUpstream, *left, mAttemptStartedAt);
  }
}

void RequestForwarder::RecordFirstEvent()
{
  if (mAttemptFirstEventLatency) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  mAttemptFirstEventLatency = now - mAttemptStartedAt;
  mIntervalStartedAt = now;
  mIntervalStartEvents = mEventStream.EventCount();
  mIntervalCount = 0;
  if (!mSummary.firstEventLatency) {
    mSummary.firstEventLatency = now - mOptions.request.spec.arrival;
    mLastEventAt = now;
  }
  mOptions.scheduler.OnFirstToken(mOptions.request.spec.id);
}

void RequestForwarder::OnBody(std::string_view aBytes)
{
  if (mIsEventStream) {
    ForwardEvents(aBytes);
    return;
  }
  if (mHeadSent) {
    mOptions.caller->SendBody(aBytes);
    return;
  }
  mBufferedBody.append(aBytes);
  if (static_cast<std::int64_t>(mBufferedBody.size()) >
      mOptions.settings.maxBufferedResponse.value) {
    ForwardHead();
    mOptions.caller->SendBody(mBufferedBody);
    mBufferedBody.clear();
  }
}

void RequestForwarder::ForwardEvents(std::string_view aBytes)
{
  const std::uint64_t eventsBefore = mEventStream.EventCount();
  const std::string_view completeEvents = mEventStream.Consume(aBytes);
  if (!completeEvents.empty()) {
    const core::Instant now = mOptions.timers.Now();
    RecordFirstEvent();
    if (mEventStream.EventCount() > eventsBefore) {
      mSummary.maxEventGap = std::max(mSummary.maxEventGap, now - mLastEventAt);
      mLastEventAt = now;
      mOptions.scheduler.OnToken(mOptions.request.spec.id);
      RecordTokenInterval(kTokenIntervalEvents);
    }
    ForwardHead();
    mOptions.caller->SendBody(completeEvents);
    ArmSilenceTimer();
  }
  if (mEventStream.HasFault()) {
    FailAttempt("not-the-next-event");
  } else if (static_cast<std::int64_t>(mEventStream.PartialEventBytes()) >
             mOptions.settings.maxEventSize.value) {
    FailAttempt("event-without-end");
  }
}

void RequestForwarder::RecordTokenInterval(std::uint64_t aMinEvents)
{
  const std::uint64_t events = mEventStream.EventCount() - mIntervalStartEvents;
  if (events < aMinEvents) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  const double tokens = static_cast<double>(events) * mOptions.request.spec.tokensPerEvent;
  const double intervalMs = core::Milliseconds(now - mIntervalStartedAt) / tokens;
  mOptions.scheduler.RecordTokenInterval(mUpstream.id, intervalMs);
  mOptions.observer.OnTokenInterval(mOptions.request, mUpstream,
                                    { .index = mIntervalCount++, .tokenIntervalMs = intervalMs });
  mIntervalStartedAt = now;
  mIntervalStartEvents = mEventStream.EventCount();
}

void RequestForwarder::ForwardHead()
{
  if (std::exchange(mHeadSent, true)) {
    return;
  }
  if (mOptions.shouldCloseConnection()) {
    mHeaders.push_back({ .name = "Connection", .value = "close" });
  }
  mSummary.status = mStatus;
  mOptions.caller->SendHead(mStatus, mHeaders);
}

void RequestForwarder::OnEnd()
{
  mCall.reset();
  mSilenceTimer.Cancel();
  const bool isEmpty = mEventStream.EventCount() == mEarlierEvents && !mEventStream.IsDone();
  if (mIsEventStream && (mEventStream.HasPartialEvent() || isEmpty)) {
    mEarlierResponseEnded = true;
    FailAttempt("stream-cut");
    return;
  }
  RecordFirstEvent();
  if (mIsEventStream) {
    RecordTokenInterval(1);
  }
  FinishAttempt(OutcomeOf(mStatus));
  mSummary.isComplete = true;
  if (mIsEventStream || mHeadSent) {
    ForwardHead();
    mOptions.caller->End();
  } else {
    if (mOptions.shouldCloseConnection()) {
      mHeaders.push_back({ .name = "Connection", .value = "close" });
    }
    mSummary.status = mStatus;
    mOptions.caller->SendResponse(mStatus, mHeaders, mBufferedBody);
  }
  End();
}

void RequestForwarder::FinishAttempt(AttemptOutcome aOutcome, std::string aReason)
{
  mState = State::Waiting;
  mOptions.observer.OnAttemptEnded(mOptions.request,
                                   { .upstream = mUpstream,
                                     .outcome = aOutcome,
                                     .status = mStatus,
                                     .firstEventLatency = mAttemptFirstEventLatency,
                                     .reason = std::move(aReason) });
  mOptions.scheduler.OnAttemptEnded(mOptions.request.spec.id, aOutcome);
}

void RequestForwarder::OnFailed(const connection::upstream::UpstreamFailure& aFailure)
{
  if (!aFailure.mayHaveRun) {
    RevertAttempt(AttemptOutcome::Unreachable, 0);
    mOptions.scheduler.OnAttemptEnded(mOptions.request.spec.id, AttemptOutcome::Unreachable);
    return;
  }
  FailAttempt(aFailure.error.message);
}

void RequestForwarder::RevertAttempt(AttemptOutcome aOutcome, int aStatus)
{
  mCall.reset();
  mSilenceTimer.Cancel();
  --mAttempts;
  mMayHaveRun = mAttempts > 0;
  mState = State::Waiting;
  mOptions.observer.OnAttemptEnded(mOptions.request, { .upstream = mUpstream,
                                                       .outcome = aOutcome,
                                                       .status = aStatus,
                                                       .firstEventLatency = std::nullopt,
                                                       .reason = {} });
}

void RequestForwarder::FailAttempt(const std::string& aReason)
{
  mStatus = 0;
  if (CanRetry() && mOptions.scheduler.TryTakeRetry(mOptions.request.spec.service, mAttempts)) {
    RetryElsewhere(AttemptOutcome::BrokenOff, aReason);
    return;
  }
  mCall.reset();
  mSilenceTimer.Cancel();
  FinishAttempt(AttemptOutcome::BrokenOff, aReason);
  Fail({ .status = connection::kStatusBadGateway, .reason = aReason, .retryAfter = std::nullopt });
}

void RequestForwarder::RetryElsewhere(AttemptOutcome aOutcome, const std::string& aReason)
{
  mCall.reset();
  mSilenceTimer.Cancel();
  RequestSpec spec = mOptions.request.spec;
  FinishAttempt(aOutcome, aReason);
  mEventStream.BeginContinuation();
  mEarlierEvents = mEventStream.EventCount();
  spec.avoidUpstream = mUpstream.id;
  spec.resumed = mHeadSent;
  mOptions.scheduler.Submit(std::move(spec));
}

void RequestForwarder::Shed(ShedReason aReason, core::Duration aRetryAfter)
{
  if (mMayHaveRun) {
    // An earlier attempt may have run, so `not-run` must not be reported.
    Fail({ .status = connection::kStatusBadGateway,
           .reason = ReasonText(aReason),
           .retryAfter = std::nullopt });
    return;
  }
  Fail({ .status = connection::kStatusUnavailable,
         .reason = ReasonText(aReason),
         .retryAfter = aRetryAfter });
}

void RequestForwarder::OnTimeout()
{
  if (mState == State::Ended) {
    return;
  }
  if (mState == State::Waiting) {
    mOptions.scheduler.Withdraw(mOptions.request.spec.id);
    Shed(ShedReason::Deadline, core::Duration::zero());
    return;
  }
  mCall.reset();
  mStatus = 0;
  FinishAttempt(AttemptOutcome::Failed, "timeout");
  Fail({ .status = connection::kStatusGatewayTimeout,
         .reason = "timeout",
         .retryAfter = std::nullopt });
}

void RequestForwarder::OnCallerDisconnected()
{
  if (mState == State::Ended) {
    return;
  }
  mSummary.callerDisconnected = true;
  if (mState == State::Waiting) {
    mOptions.scheduler.Withdraw(mOptions.request.spec.id);
  } else {
    // Closing the connection makes the upstream stop processing the request.
    mCall.reset();
    FinishAttempt(AttemptOutcome::Cancelled);
  }
  End();
}

void RequestForwarder::AbortIfQuarantined(const quarantine::QuarantineTable& aQuarantine)
{
  const bool hasBegun = mHeadSent || mAttemptFirstEventLatency;
  if (mState != State::Calling || hasBegun || !aQuarantine.IsQuarantined(mOptions.request.spec)) {
    return;
  }
  mCall.reset();
  FinishAttempt(AttemptOutcome::Cancelled, ReasonText(ShedReason::Quarantined));
  Shed(ShedReason::Quarantined, core::Duration::zero());
}

void RequestForwarder::Abort()
{
  if (mState == State::Ended) {
    return;
  }
  if (mState == State::Waiting) {
    mOptions.scheduler.Withdraw(mOptions.request.spec.id);
    Shed(ShedReason::Shutdown, core::Duration::zero());
    return;
  }
  mCall.reset();
  FinishAttempt(AttemptOutcome::Cancelled);
  Fail({ .status = connection::kStatusBadGateway, .reason = "stopping", .retryAfter = {} });
}

void RequestForwarder::Fail(const ForwardFailure& aFailure)
{
  if (mHeadSent) {
    AbortResponse(aFailure.reason);
    return;
  }
  SendFailure(aFailure);
}

void RequestForwarder::SendFailure(const ForwardFailure& aFailure)
{
  CUMINFIELD_INVARIANT("forward.not-run-never-after-dispatch",
                       aFailure.status != connection::kStatusUnavailable || !mMayHaveRun);
  if (!mMayHaveRun) {
    mOptions.onNotRun();
  }
  connection::HttpHeaders headers =
    mOptions.codec.MakeFailureHeaders(mOptions.request.spec.id, aFailure);
  if (mOptions.shouldCloseConnection()) {
    headers.push_back({ .name = "Connection", .value = "close" });
  }
  mSummary.status = aFailure.status;
  mSummary.reason = aFailure.reason;
  mOptions.caller->SendResponse(aFailure.status, headers, aFailure.reason + "\n");
  End();
}

void RequestForwarder::AbortResponse(const std::string& aReason)
{
  mSummary.reason = aReason;
  mOptions.caller->Abort();
  End();
}

void RequestForwarder::End()
{
  // The scheduler would count an attempt that it is not told of as in flight for ever.
  CUMINFIELD_INVARIANT("forward.attempt-ends-before-request", mState != State::Calling);
  mState = State::Ended;
  mTimeoutTimer.Cancel();
  mSilenceTimer.Cancel();
  mCall.reset();
  mSummary.totalTime = mOptions.timers.Now() - mOptions.request.spec.arrival;
  mSummary.eventCount = mEventStream.EventCount();
  mOptions.observer.OnEnded(mOptions.request, mSummary);
  mOptions.onFinished();
}

} // namespace cuminfield::request::forward
