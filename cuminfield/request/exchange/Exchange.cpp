#include "cuminfield/request/exchange/Exchange.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::exchange {

using claims::ClaimReply;
using claims::ClaimState;
using claims::ClaimVerdict;

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";
constexpr std::string_view kRetryHint = "; ask again with the same key";

bool IsNotRunResponse(int aStatus, const connection::HttpHeaders& aHeaders)
{
  return aStatus == connection::kStatusUnavailable &&
         connection::FindHeader(aHeaders, connection::kOutcomeHeader) == "not-run";
}

} // namespace

Exchange::Exchange(Options aOptions)
  : mOptions(std::move(aOptions))
  , mAlive(std::make_shared<bool>(true))
{
  mStreamId = mOptions.request.spec.id;
  mOptions.caller->onDisconnected = [this] { OnCallerDisconnected(); };
  mOptions.caller->onBacklog = [this](bool aBacklog) {
    if (mCall) {
      mCall->Pause(aBacklog);
    }
  };
}

Exchange::~Exchange()
{
  *mAlive = false;
  mOptions.caller->onDisconnected = nullptr;
  mOptions.caller->onBacklog = nullptr;
}

void Exchange::Start()
{
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    mState = State::Waiting;
    mOptions.scheduler.Submit(request.spec);
    return;
  }
  mOptions.claims.Claim(*request.claim, request.digest, request.spec.id,
                        GuardCallback(&Exchange::OnClaimed));
}

void Exchange::OnClaimed(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::Claiming) {
    return;
  }
  if (!aReply) {
    // An earlier arrival with this key may have run and cannot be checked now, so never `not-run`.
    RespondUnknown(connection::kStatusUnavailable, "claims out of reach",
                   aReply.error().message + std::string(kRetryHint));
    return;
  }
  const ClaimReply& reply = aReply.value();
  mAttempt = reply.record.attempt;
  switch (reply.verdict) {
    case ClaimVerdict::Granted:
      if (mCallerDisconnected) {
        RespondNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
        return;
      }
      mState = State::Waiting;
      mOptions.scheduler.Submit(mOptions.request.spec);
      return;
    case ClaimVerdict::DigestDiffers:
      SendProblem({ .status = connection::kStatusUnprocessable,
                    .title = "key used for another request",
                    .detail = "This key was sent with other content before; use a new key.",
                    .outcome = Outcome::NotRun });
      return;
    case ClaimVerdict::Full:
      SendProblem({ .status = connection::kStatusUnavailable,
                    .title = "claims are full",
                    .detail = "No room to remember another key; send again after Retry-After.",
                    .outcome = Outcome::NotRun,
                    .retryAfter = std::chrono::seconds(5) });
      return;
    case ClaimVerdict::TooOld:
      RespondUnknown(connection::kStatusConflict, "key too old",
                     "The key is older than what is remembered and never runs (again); check what "
                     "became of the first request before using a new key.");
      return;
    case ClaimVerdict::Held:
    case ClaimVerdict::Stale:
    case ClaimVerdict::NotFound:
      mState = State::Following;
      mFollowDeadline = mOptions.timers.Now() + mOptions.settings.followTimeout;
      FollowClaim(reply.record);
      return;
  }
}

void Exchange::Dispatch(const UpstreamAnnouncement& aUpstream)
{
  CUMINFIELD_INVARIANT("request.dispatched-only-while-waiting", mState == State::Waiting);
  CUMINFIELD_INVARIANT("request.one-dispatch-unless-refused", !mMayHaveRun);
  mUpstream = aUpstream;
  mSummary.upstream = aUpstream;
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    CallUpstream();
    return;
  }
  mState = State::CommittingDispatch;
  const claims::ClaimTarget target{ .upstream = aUpstream.id,
                                    .address = aUpstream.address,
                                    .port = aUpstream.port,
                                    .supportsResume = aUpstream.supportsResume };
  mOptions.claims.Dispatch(*request.claim, request.spec.id, mAttempt, target,
                           GuardCallback(&Exchange::OnDispatchCommitted));
}

void Exchange::OnDispatchCommitted(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::CommittingDispatch) {
    return;
  }
  if (!aReply) {
    // Without a commit there is no dispatch. The claim may have been committed nevertheless, so
    // release it.
    FinishAttempt(AttemptOutcome::Cancelled);
    RespondNotRun({ .status = connection::kStatusUnavailable,
                    .title = "claims out of reach",
                    .detail = aReply.error().message + std::string(kRetryHint),
                    .retryAfter = std::chrono::seconds(1) });
    return;
  }
  if (aReply.value().verdict != ClaimVerdict::Granted) {
    // A later arrival took over the claim while this one was waiting.
    FinishAttempt(AttemptOutcome::Cancelled);
    mState = State::Following;
    mFollowDeadline = mOptions.timers.Now() + mOptions.settings.followTimeout;
    ScheduleClaimLookup();
    return;
  }
  mAttempt = aReply.value().record.attempt;
  if (mCallerDisconnected) {
    FinishAttempt(AttemptOutcome::Cancelled);
    RespondNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
    return;
  }
  CallUpstream();
}

void Exchange::CallUpstream()
{
  mState = State::Calling;
  mMayHaveRun = true;
  mDispatchedAt = mOptions.timers.Now();
  const IncomingRequest& request = mOptions.request;
  connection::upstream::UpstreamRequest call{ .id = request.spec.id,
                                              .method = request.raw.method,
                                              .target = request.raw.target,
                                              .headers = {},
                                              .body = request.raw.body,
                                              .freshConnection = !request.spec.retryable };
  for (const std::string_view name :
       { connection::kContentTypeHeader, connection::kIdempotencyKeyHeader }) {
    const std::string_view value = connection::FindHeader(request.raw.headers, name);
    if (!value.empty()) {
      call.headers.push_back({ .name = std::string(name), .value = std::string(value) });
    }
  }
  mCall = mOptions.transport.Start(mUpstream.address, mUpstream.port, std::move(call), *this);
}

void Exchange::OnHead(int aStatus, const connection::HttpHeaders& aHeaders)
{
  mStatus = aStatus;
  mContentType = connection::FindHeader(aHeaders, connection::kContentTypeHeader);
  mIsEventStream = mContentType.starts_with(kEventStreamType);
  if (mState == State::Following || mResumeCount > 0) {
    if (aStatus != connection::kStatusOk || !mIsEventStream) {
      mCall.reset();
      FailAfterDispatch("the upstream does not know the stream any more" + std::string(kRetryHint));
      return;
    }
    SendHead(aStatus, aHeaders);
    return;
  }
  if (IsNotRunResponse(aStatus, aHeaders)) {
    // The upstream rejected the request without running it, so another attempt is allowed.
    mCall.reset();
    mMayHaveRun = false;
    mState = State::Waiting;
    FinishAttempt(AttemptOutcome::Refused);
    return;
  }
  if (aStatus >= connection::kStatusInternalError) {
    mCall.reset();
    FailAfterDispatch("the upstream failed with status " + std::to_string(aStatus) +
                      std::string(kRetryHint));
    return;
  }
  SendHead(aStatus, aHeaders);
}

void Exchange::OnBody(std::string_view aBytes)
{
  mSummary.responseBytes += aBytes.size();
  if (mIsEventStream) {
    HandleStreamBytes(aBytes);
  } else {
    HandleBodyBytes(aBytes);
  }
}

void Exchange::HandleStreamBytes(std::string_view aBytes)
{
  const std::uint64_t before = mStreamParser.EventCount();
  const std::string_view complete = mStreamParser.Consume(aBytes);
  for (std::uint64_t n = before; n < mStreamParser.EventCount(); ++n) {
    CountToken();
  }
  mOptions.caller->SendBody(complete);
  if (mStreamParser.HasFault()) {
    OnFailed(
      { .mayHaveRun = true,
        .error = { .kind = core::ErrorKind::Unavailable,
                   .message = "the upstream sent bytes that are not the stream's next event" +
                              std::string(kRetryHint) } });
  }
}

void Exchange::HandleBodyBytes(std::string_view aBytes)
{
  if (!mSummary.firstTokenLatency) {
    CountToken();
  }
  if (mOptions.request.claim && mStoredBodyComplete) {
    const auto size = static_cast<std::int64_t>(mStoredBody.size() + aBytes.size());
    mStoredBodyComplete = size <= mOptions.settings.maxStoredBody.value;
    if (mStoredBodyComplete) {
      mStoredBody.append(aBytes);
    } else {
      mStoredBody.clear();
    }
  }
  mOptions.caller->SendBody(aBytes);
}

void Exchange::CountToken()
{
  const core::Instant now = mOptions.timers.Now();
  ++mSummary.tokens;
  if (!mSummary.firstTokenLatency) {
    mSummary.firstTokenLatency = now - mOptions.request.spec.arrival;
    mSummary.upstreamFirstTokenLatency = now - mDispatchedAt;
    if (mState == State::Calling) {
      mOptions.scheduler.OnFirstToken(mOptions.request.spec.id);
    }
  } else {
    mSummary.maxTokenGap = std::max(mSummary.maxTokenGap, now - mLastTokenAt);
    if (mState == State::Calling) {
      mOptions.scheduler.OnToken(mOptions.request.spec.id);
    }
  }
  mLastTokenAt = now;
}

void Exchange::OnEnd()
{
  mCall.reset();
  if (mIsEventStream && !mStreamParser.IsDone()) {
    if (mState == State::Following) {
      ScheduleClaimLookup();
      return;
    }
    if (CanResume()) {
      Resume();
      return;
    }
    FailAfterDispatch("the upstream ended the stream before it was whole" +
                      std::string(kRetryHint));
    return;
  }
  Succeed();
}

void Exchange::Succeed()
{
  if (mSummary.tokens > 1) {
    const auto gapCount = static_cast<std::int64_t>(mSummary.tokens - 1);
    const core::Duration streamingTime =
      mLastTokenAt - mOptions.request.spec.arrival - *mSummary.firstTokenLatency;
    mSummary.meanTokenGap = streamingTime / gapCount;
  }
  if (mState == State::Calling) {
    RecordOutcome(mStatus);
    const bool rejected = mStatus >= connection::kStatusBadRequest;
    FinishAttempt(rejected ? AttemptOutcome::RejectedInput : AttemptOutcome::Succeeded);
  }
  mSummary.status = mStatus;
  mOptions.caller->End();
  End(mCallerDisconnected ? ExchangeEnd::CallerDisconnected : ExchangeEnd::Completed);
}

void Exchange::RecordOutcome(int aStatus)
{
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    return;
  }
  const bool complete = !mIsEventStream && mStoredBodyComplete;
  const claims::ClaimOutcome outcome{ .status = aStatus,
                                      .contentType = mContentType,
                                      .body = complete ? mStoredBody : std::string(),
                                      .complete = complete };
  CompleteClaim(outcome);
}

void Exchange::RecordUnknown(const Problem& aProblem)
{
  // A stream may still be resumed from its upstream. Nothing more can be learned about other calls,
  // so retries with the same key get this response at once.
  const bool mayBeResumed = mOptions.request.stream && mUpstream.supportsResume;
  if (!mOptions.request.claim || mayBeResumed) {
    return;
  }
  CompleteClaim({ .status = aProblem.status,
                  .contentType = std::string(kProblemContentType),
                  .body = ToJson(aProblem),
                  .complete = true });
}

void Exchange::CompleteClaim(const claims::ClaimOutcome& aOutcome)
{
  // The caller need not wait for the commit: the claim itself already prevents a second run.
  const IncomingRequest& request = mOptions.request;
  mOptions.claims.Complete(*request.claim, request.spec.id, mAttempt, aOutcome,
                           [](const core::Result<ClaimReply>&) {});
}

void Exchange::OnFailed(const connection::upstream::UpstreamFailure& aFailure)
{
  mCall.reset();
  if (mState == State::Following) {
    ScheduleClaimLookup();
    return;
  }
  if (!aFailure.mayHaveRun && mResumeCount == 0) {
    mMayHaveRun = false;
    mState = State::Waiting;
    FinishAttempt(AttemptOutcome::Refused);
    return;
  }
  if (CanResume()) {
    Resume();
    return;
  }
  FailAfterDispatch(aFailure.error.message);
}

void Exchange::FinishAttempt(AttemptOutcome aOutcome)
{
  mSummary.attemptOutcome = aOutcome;
  mOptions.scheduler.OnAttemptEnded(mOptions.request.spec.id, aOutcome);
}

void Exchange::FailAfterDispatch(const std::string& aDetail)
{
  if (mState == State::Calling) {
    FinishAttempt(mCallerDisconnected ? AttemptOutcome::Cancelled : AttemptOutcome::Failed);
    RecordUnknown({ .status = connection::kStatusBadGateway,
                    .title = "upstream failed",
                    .detail = aDetail,
                    .outcome = Outcome::Unknown });
  }
  if (mHeadSent) {
    mOptions.caller->Abort();
    End(mCallerDisconnected ? ExchangeEnd::CallerDisconnected : ExchangeEnd::Aborted);
    return;
  }
  RespondUnknown(connection::kStatusBadGateway, "upstream failed", aDetail);
}

} // namespace cuminfield::request::exchange
