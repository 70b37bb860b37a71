#include "cuminfield/request/forward/Forward.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::forward {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";

/// A stream's pace is measured over so many events: a second or less, so that an engine that turns
/// slow is noticed while its streams still run.
constexpr std::uint64_t kPaceEvents = 8;

const char* Reason(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "overload";
    case ShedReason::Deadline:
      return "deadline";
    case ShedReason::NoUpstream:
      return "no-upstream";
    case ShedReason::Shutdown:
      return "stopping";
  }
  return "overload";
}

} // namespace

Forward::Forward(Options aOptions)
  : mOptions(std::move(aOptions))
{
  mOptions.caller->onGone = [this] { OnCallerGone(); };
  mOptions.caller->onBacklog = [this](bool aBacklog) {
    if (mCall) {
      mCall->Pause(aBacklog);
    }
  };
}

Forward::~Forward()
{
  mOptions.caller->onGone = nullptr;
  mOptions.caller->onBacklog = nullptr;
}

void Forward::Start()
{
  const ForwardRequest& request = mOptions.request;
  const core::Instant now = mOptions.timers.Now();
  mTimeout = mOptions.timers.After(std::max(request.timeout - now, core::Duration::zero()),
                                   [this] { OnTimeout(); });
  mOptions.scheduler.Submit(request.spec);
}

void Forward::Dispatch(const UpstreamAnnouncement& aUpstream)
{
  CUMINFIELD_INVARIANT("forward.dispatch-only-while-waiting", mState == State::Waiting);
  mUpstream = aUpstream;
  mSummary.upstream = aUpstream.id;
  mOptions.observer.OnPlaced(mOptions.request, aUpstream, Basis());
  Call();
}

PlacementBasis Forward::Basis()
{
  const core::Instant now = mOptions.timers.Now();
  PlacementBasis basis{ .waited = now - mOptions.request.spec.arrival,
                        .waiting = mOptions.scheduler.Waiting() };
  if (const placement::BoardEntry* entry = mOptions.scheduler.Board().Find(mUpstream.id)) {
    basis.own = entry->own;
    basis.others = entry->others;
    basis.othersAge = now - entry->othersAt;
  }
  return basis;
}

void Forward::Call()
{
  const ForwardRequest& request = mOptions.request;
  const core::Instant now = mOptions.timers.Now();
  mState = State::Calling;
  mSentAt = now;
  mTryFirst.reset();
  mHeld.clear();
  ++mTries;
  ++mSummary.tries;
  const core::Duration left = std::min(request.callerDeadline, request.timeout) - now;
  const std::string after = mEventsBefore + mEvents.Events() > 0 ? mEvents.LastId() : std::string();
  connection::upstream::UpstreamRequest call{ .id = request.spec.id,
                                              .method = request.raw.method,
                                              .target = request.raw.target,
                                              .headers = mOptions.codec.ToUpstream(
                                                request, mUpstream, left, after),
                                              .body = request.raw.body,
                                              .freshConnection = !request.spec.mayRepeat };
  mSent = true;
  mCall = mOptions.transport.Start(mUpstream.address, mUpstream.port, std::move(call), *this);
  ArmSilence();
}

void Forward::ArmSilence()
{
  const ForwardRequest& request = mOptions.request;
  if (!MayTryElsewhere()) {
    mSilence.Cancel();
    return;
  }
  const ForwardSettings& settings = mOptions.settings;
  const core::Duration limit =
    mTryFirst ? std::max(core::Scaled(request.spec.tokenGapTarget, settings.pauseTargets),
                         settings.pauseAtLeast)
              : std::max(core::Scaled(request.spec.firstTokenTarget, settings.silentTargets),
                         settings.silentAtLeast);
  mSilence = mOptions.timers.After(limit, [this] { OnSilence(); });
}

void Forward::OnSilence()
{
  if (mState != State::Calling || !MayTryElsewhere()) {
    return;
  }
  FailTry("silent");
}

bool Forward::MayTryElsewhere() const
{
  const ForwardRequest& request = mOptions.request;
  const bool goesOn = !mHeadSent || (request.resumable && mEvented && !mEvents.LastId().empty());
  const core::Duration left = request.timeout - mOptions.timers.Now();
  return request.spec.mayRepeat && goesOn && mTries < request.maxTries &&
         left > mOptions.settings.leastLeft;
}

void Forward::OnHead(int aStatus, const connection::HttpHeaders& aHeaders)
{
  if (const auto load = mOptions.codec.Load(aHeaders)) {
    mOptions.scheduler.Load({ .id = mUpstream.id,
                              .incarnation = {},
                              .running = load->running,
                              .waiting = load->waiting });
  }
  if (mOptions.codec.SaysNotRun(aStatus, aHeaders)) {
    TakeBackTry(TryOutcome::Refused, aStatus);
    if (mOptions.codec.SaysOther(aStatus, aHeaders)) {
      mOptions.scheduler.UpstreamGone(mUpstream.id);
    }
    mOptions.scheduler.Finished(mOptions.request.spec.id, TryOutcome::Refused);
    return;
  }
  mStatus = aStatus;
  if (aStatus >= connection::kStatusInternalError && MayTryElsewhere() &&
      mOptions.scheduler.TakeRetry(mOptions.request.spec.service, mTries)) {
    mCall.reset();
    mSilence.Cancel();
    RequestSpec spec = mOptions.request.spec;
    FinishTry(TryOutcome::Failed);
    mState = State::Waiting;
    spec.avoid = mUpstream.id;
    mOptions.scheduler.Submit(std::move(spec));
    return;
  }
  if (mHeadSent) {
    if (aStatus != connection::kStatusOk) {
      BreakOff("not-resumed");
    }
    return;
  }
  mHeaders = mOptions.codec.ToCaller(aHeaders);
  mEvented =
    connection::FindHeader(aHeaders, connection::kContentTypeHeader).starts_with(kEventStreamType);
}

void Forward::NoteFirst()
{
  if (mTryFirst) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  mTryFirst = now - mSentAt;
  mPacedAt = now;
  mPacedEvents = mEvents.Events();
  mStretches = 0;
  if (!mSummary.first) {
    mSummary.first = now - mOptions.request.spec.arrival;
    mLastAt = now;
  }
  mOptions.scheduler.FirstToken(mOptions.request.spec.id);
}

void Forward::OnBody(std::string_view aBytes)
{
  if (mEvented) {
    TakeEvents(aBytes);
    return;
  }
  if (mHeadSent) {
    mOptions.caller->SendBody(aBytes);
    return;
  }
  mHeld.append(aBytes);
  if (static_cast<std::int64_t>(mHeld.size()) > mOptions.settings.heldAnswer.value) {
    PassHead();
    mOptions.caller->SendBody(mHeld);
    mHeld.clear();
  }
}

void Forward::TakeEvents(std::string_view aBytes)
{
  const std::uint64_t before = mEvents.Events();
  const std::string_view whole = mEvents.Take(aBytes);
  if (static_cast<std::int64_t>(mEvents.PartialBytes()) > mOptions.settings.maxEvent.value) {
    FailTry("event-without-end");
    return;
  }
  if (whole.empty()) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  NoteFirst();
  if (mEvents.Events() > before) {
    mSummary.worstGap = std::max(mSummary.worstGap, now - mLastAt);
    mLastAt = now;
    mOptions.scheduler.Token(mOptions.request.spec.id);
    NotePace(kPaceEvents);
  }
  PassHead();
  mOptions.caller->SendBody(whole);
  ArmSilence();
}

void Forward::NotePace(std::uint64_t aLeast)
{
  const std::uint64_t events = mEvents.Events() - mPacedEvents;
  if (events < aLeast) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  const double tokens = static_cast<double>(events) * mOptions.request.spec.eventTokens;
  const double tokenMs = core::Milliseconds(now - mPacedAt) / tokens;
  mOptions.scheduler.Paced(mUpstream.id, tokenMs);
  mOptions.observer.OnPaced(mOptions.request, mUpstream,
                            { .stretch = mStretches++, .tokenMs = tokenMs });
  mPacedAt = now;
  mPacedEvents = mEvents.Events();
}

void Forward::PassHead()
{
  if (std::exchange(mHeadSent, true)) {
    return;
  }
  if (mOptions.closing()) {
    mHeaders.push_back({ .name = "Connection", .value = "close" });
  }
  mSummary.status = mStatus;
  mOptions.caller->SendHead(mStatus, mHeaders);
}

void Forward::OnEnd()
{
  mCall.reset();
  mSilence.Cancel();
  if (mEvented && (mEvents.Partial() || mEvents.Events() == 0)) {
    FailTry("stream-cut");
    return;
  }
  NoteFirst();
  if (mEvented) {
    NotePace(1);
  }
  const bool failed = mStatus >= connection::kStatusInternalError;
  const bool rejected = mStatus >= connection::kStatusBadRequest;
  FinishTry(failed ? TryOutcome::Failed
                   : (rejected ? TryOutcome::RejectedInput : TryOutcome::Succeeded));
  mSummary.whole = true;
  if (mEvented || mHeadSent) {
    PassHead();
    mOptions.caller->End();
  } else {
    if (mOptions.closing()) {
      mHeaders.push_back({ .name = "Connection", .value = "close" });
    }
    mSummary.status = mStatus;
    mOptions.caller->SendWhole(mStatus, mHeaders, mHeld);
  }
  End();
}

void Forward::FinishTry(TryOutcome aOutcome)
{
  mOptions.observer.OnTry(
    mOptions.request,
    { .upstream = mUpstream, .outcome = aOutcome, .status = mStatus, .first = mTryFirst });
  mOptions.scheduler.Finished(mOptions.request.spec.id, aOutcome);
}

void Forward::OnFailed(const connection::upstream::UpstreamFailure& aFailure)
{
  if (!aFailure.mayHaveRun) {
    TakeBackTry(TryOutcome::Unreachable, 0);
    mOptions.scheduler.Finished(mOptions.request.spec.id, TryOutcome::Unreachable);
    return;
  }
  FailTry(aFailure.error.message);
}

void Forward::TakeBackTry(TryOutcome aOutcome, int aStatus)
{
  mCall.reset();
  mSilence.Cancel();
  --mTries;
  mSent = mTries > 0;
  mState = State::Waiting;
  mOptions.observer.OnTry(
    mOptions.request,
    { .upstream = mUpstream, .outcome = aOutcome, .status = aStatus, .first = std::nullopt });
}

void Forward::FailTry(const std::string& aReason)
{
  mCall.reset();
  mSilence.Cancel();
  const bool again =
    MayTryElsewhere() && mOptions.scheduler.TakeRetry(mOptions.request.spec.service, mTries);
  RequestSpec spec = mOptions.request.spec;
  mStatus = 0;
  FinishTry(TryOutcome::Failed);
  if (again) {
    mState = State::Waiting;
    mEvents.DropPartial();
    mEventsBefore = mEvents.Events();
    spec.avoid = mUpstream.id;
    spec.resumed = mHeadSent;
    mOptions.scheduler.Submit(std::move(spec));
    return;
  }
  Fail({ .status = connection::kStatusBadGateway, .reason = aReason, .retryAfter = std::nullopt });
}

void Forward::Shed(ShedReason aReason, core::Duration aRetryAfter)
{
  if (mSent) {
    // An earlier try may have run: that must not be denied.
    Fail({ .status = connection::kStatusBadGateway,
           .reason = Reason(aReason),
           .retryAfter = std::nullopt });
    return;
  }
  Fail({ .status = connection::kStatusUnavailable,
         .reason = Reason(aReason),
         .retryAfter = aRetryAfter });
}

void Forward::OnTimeout()
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
  FinishTry(TryOutcome::Failed);
  Fail({ .status = connection::kStatusGatewayTimeout,
         .reason = "timeout",
         .retryAfter = std::nullopt });
}

void Forward::OnCallerGone()
{
  if (mState == State::Ended) {
    return;
  }
  mSummary.callerLeft = true;
  if (mState == State::Waiting) {
    mOptions.scheduler.Withdraw(mOptions.request.spec.id);
  } else {
    // Closing the connection makes the upstream stop its work.
    mCall.reset();
    FinishTry(TryOutcome::Cancelled);
  }
  End();
}

void Forward::CutOff()
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
  FinishTry(TryOutcome::Cancelled);
  Fail({ .status = connection::kStatusBadGateway, .reason = "stopping", .retryAfter = {} });
}

void Forward::Fail(const ForwardFailure& aFailure)
{
  if (mHeadSent) {
    BreakOff(aFailure.reason);
    return;
  }
  Answer(aFailure);
}

void Forward::Answer(const ForwardFailure& aFailure)
{
  CUMINFIELD_INVARIANT("forward.not-run-never-after-dispatch",
                       aFailure.status != connection::kStatusUnavailable || !mSent);
  if (!mSent) {
    mOptions.onNotRun();
  }
  connection::HttpHeaders headers = mOptions.codec.OwnAnswer(mOptions.request.spec.id, aFailure);
  if (mOptions.closing()) {
    headers.push_back({ .name = "Connection", .value = "close" });
  }
  mSummary.status = aFailure.status;
  mSummary.reason = aFailure.reason;
  mOptions.caller->SendWhole(aFailure.status, headers, aFailure.reason + "\n");
  End();
}

void Forward::BreakOff(const std::string& aReason)
{
  mSummary.reason = aReason;
  mOptions.caller->Abort();
  End();
}

void Forward::End()
{
  mState = State::Ended;
  mTimeout.Cancel();
  mSilence.Cancel();
  mCall.reset();
  mSummary.total = mOptions.timers.Now() - mOptions.request.spec.arrival;
  mSummary.events = mEvents.Events();
  mOptions.observer.OnEnded(mOptions.request, mSummary);
  mOptions.onFinished();
}

} // namespace cuminfield::request::forward
