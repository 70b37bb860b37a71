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
constexpr std::string_view kAskAgain = "; ask again with the same key";

bool SaysNotRun(int aStatus, const connection::HttpHeaders& aHeaders)
{
  return aStatus == connection::kStatusUnavailable &&
         connection::FindHeader(aHeaders, connection::kOutcomeHeader) == "not-run";
}

const char* Explain(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "No room for this tier now; send again after Retry-After.";
    case ShedReason::Deadline:
      return "It could not be begun in time; send again after Retry-After.";
    case ShedReason::NoUpstream:
      return "No upstream of the service is in reach; send again after Retry-After.";
    case ShedReason::Shutdown:
      return "This host is stopping; send again through another host.";
  }
  return "Send again later.";
}

const char* Title(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "overload";
    case ShedReason::Deadline:
      return "deadline";
    case ShedReason::NoUpstream:
      return "no upstream";
    case ShedReason::Shutdown:
      return "stopping";
  }
  return "shed";
}

} // namespace

Exchange::Exchange(Options aOptions)
  : mOptions(std::move(aOptions))
  , mAlive(std::make_shared<bool>(true))
{
  mStreamId = mOptions.request.spec.id;
  mOptions.caller->onGone = [this] { OnCallerGone(); };
  mOptions.caller->onBacklog = [this](bool aBacklog) {
    if (mCall) {
      mCall->Pause(aBacklog);
    }
  };
}

Exchange::~Exchange()
{
  *mAlive = false;
  mOptions.caller->onGone = nullptr;
  mOptions.caller->onBacklog = nullptr;
}

template<typename Method>
claims::ClaimKeeper::Done Exchange::Guarded(Method aMethod)
{
  return [this, alive = mAlive, aMethod](const core::Result<ClaimReply>& aReply) {
    if (*alive) {
      (this->*aMethod)(aReply);
    }
  };
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
                        Guarded(&Exchange::OnClaimed));
}

void Exchange::OnClaimed(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::Claiming) {
    return;
  }
  if (!aReply) {
    // An earlier arrival with this key may have run, which cannot be asked now: never `not-run`.
    TellUnknown(connection::kStatusUnavailable, "claims out of reach",
                aReply.error().message + std::string(kAskAgain));
    return;
  }
  const ClaimReply& reply = aReply.value();
  mAttempt = reply.record.attempt;
  switch (reply.verdict) {
    case ClaimVerdict::Granted:
      if (mCallerGone) {
        TellNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
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
      TellUnknown(connection::kStatusConflict, "key too old",
                  "The key is older than what is remembered and never runs (again); check what "
                  "became of the first request before using a new key.");
      return;
    case ClaimVerdict::Held:
    case ClaimVerdict::Stale:
    case ClaimVerdict::Absent:
      mState = State::Following;
      mFollowEnd = mOptions.timers.Now() + mOptions.settings.followLimit;
      Follow(reply.record);
      return;
  }
}

void Exchange::Dispatch(const UpstreamAnnouncement& aUpstream)
{
  CUMINFIELD_INVARIANT("request.dispatched-only-while-waiting", mState == State::Waiting);
  CUMINFIELD_INVARIANT("request.one-dispatch-unless-refused", !mSent);
  mUpstream = aUpstream;
  mSummary.upstream = aUpstream;
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    Call();
    return;
  }
  mState = State::Binding;
  const claims::ClaimTarget target{ .upstream = aUpstream.id,
                                    .address = aUpstream.address,
                                    .port = aUpstream.port,
                                    .resumes = aUpstream.resumes };
  mOptions.claims.Dispatch(*request.claim, request.spec.id, mAttempt, target,
                           Guarded(&Exchange::OnBound));
}

void Exchange::OnBound(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::Binding) {
    return;
  }
  if (!aReply) {
    // No commit, no dispatch. The claim may have been committed all the same: give it up.
    FinishTry(TryOutcome::Cancelled);
    TellNotRun({ .status = connection::kStatusUnavailable,
                 .title = "claims out of reach",
                 .detail = aReply.error().message + std::string(kAskAgain),
                 .retryAfter = std::chrono::seconds(1) });
    return;
  }
  if (aReply.value().verdict != ClaimVerdict::Granted) {
    // A later arrival took the claim over while this one waited.
    FinishTry(TryOutcome::Cancelled);
    mState = State::Following;
    mFollowEnd = mOptions.timers.Now() + mOptions.settings.followLimit;
    LookLater();
    return;
  }
  mAttempt = aReply.value().record.attempt;
  if (mCallerGone) {
    FinishTry(TryOutcome::Cancelled);
    TellNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
    return;
  }
  Call();
}

void Exchange::Call()
{
  mState = State::Calling;
  mSent = true;
  mSentAt = mOptions.timers.Now();
  const IncomingRequest& request = mOptions.request;
  connection::upstream::UpstreamRequest call{ .id = request.spec.id,
                                              .method = request.raw.method,
                                              .target = request.raw.target,
                                              .headers = {},
                                              .body = request.raw.body,
                                              .freshConnection = !request.spec.mayRepeat };
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
  mEventStream = mContentType.starts_with(kEventStreamType);
  if (mState == State::Following || mResumes > 0) {
    if (aStatus != connection::kStatusOk) {
      mCall.reset();
      FailAfterDispatch("the upstream does not know the stream any more" + std::string(kAskAgain));
      return;
    }
    SendHead(aStatus, aHeaders);
    return;
  }
  if (SaysNotRun(aStatus, aHeaders)) {
    // The upstream refused it: the try did not run, and another one may be made.
    mCall.reset();
    mSent = false;
    mState = State::Waiting;
    FinishTry(TryOutcome::Refused);
    return;
  }
  if (aStatus >= connection::kStatusInternalError) {
    mCall.reset();
    FailAfterDispatch("the upstream failed with status " + std::to_string(aStatus) +
                      std::string(kAskAgain));
    return;
  }
  SendHead(aStatus, aHeaders);
}

void Exchange::SendHead(int aStatus, const connection::HttpHeaders& aUpstreamHeaders)
{
  if (std::exchange(mHeadSent, true)) {
    return;
  }
  connection::HttpHeaders headers{
    { .name = std::string(connection::kRequestIdHeader), .value = mOptions.request.spec.id.Text() },
    { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() },
    { .name = std::string(connection::kUpstreamHeader), .value = mUpstream.id.Text() },
  };
  if (!mContentType.empty()) {
    headers.push_back(
      { .name = std::string(connection::kContentTypeHeader), .value = mContentType });
  }
  const std::string_view length = connection::FindHeader(aUpstreamHeaders, "Content-Length");
  if (!length.empty()) {
    headers.push_back({ .name = "Content-Length", .value = std::string(length) });
  }
  mOptions.caller->SendHead(aStatus, headers);
}

void Exchange::OnBody(std::string_view aBytes)
{
  mSummary.answerBytes += aBytes.size();
  if (mEventStream) {
    HandleStreamBytes(aBytes);
  } else {
    HandlePlainBytes(aBytes);
  }
}

void Exchange::HandleStreamBytes(std::string_view aBytes)
{
  const std::uint64_t before = mEvents.Events();
  const std::string_view whole = mEvents.Take(aBytes);
  for (std::uint64_t n = before; n < mEvents.Events(); ++n) {
    CountToken();
  }
  mOptions.caller->SendBody(whole);
}

void Exchange::HandlePlainBytes(std::string_view aBytes)
{
  if (!mSummary.firstToken) {
    CountToken();
  }
  if (mOptions.request.claim && mKeptWhole) {
    const auto size = static_cast<std::int64_t>(mKept.size() + aBytes.size());
    mKeptWhole = size <= mOptions.settings.keptAnswer.value;
    if (mKeptWhole) {
      mKept.append(aBytes);
    } else {
      mKept.clear();
    }
  }
  mOptions.caller->SendBody(aBytes);
}

void Exchange::CountToken()
{
  const core::Instant now = mOptions.timers.Now();
  ++mSummary.tokens;
  if (!mSummary.firstToken) {
    mSummary.firstToken = now - mOptions.request.spec.arrival;
    mSummary.upstreamFirstToken = now - mSentAt;
    if (mState == State::Calling) {
      mOptions.scheduler.FirstToken(mOptions.request.spec.id);
    }
  } else {
    mSummary.worstGap = std::max(mSummary.worstGap, now - mLastTokenAt);
    if (mState == State::Calling) {
      mOptions.scheduler.Token(mOptions.request.spec.id);
    }
  }
  mLastTokenAt = now;
}

void Exchange::OnEnd()
{
  mCall.reset();
  if (mEventStream && !mEvents.Done()) {
    if (mState == State::Following) {
      LookLater();
      return;
    }
    if (CanResume()) {
      Resume();
      return;
    }
    FailAfterDispatch("the upstream ended the stream before it was whole" + std::string(kAskAgain));
    return;
  }
  Succeed();
}

void Exchange::Succeed()
{
  if (mSummary.tokens > 1) {
    const auto gaps = static_cast<std::int64_t>(mSummary.tokens - 1);
    const core::Duration answering =
      mLastTokenAt - mOptions.request.spec.arrival - *mSummary.firstToken;
    mSummary.meanGap = answering / gaps;
  }
  if (mState == State::Calling) {
    RecordOutcome(mStatus);
    const bool rejected = mStatus >= connection::kStatusBadRequest;
    FinishTry(rejected ? TryOutcome::RejectedInput : TryOutcome::Succeeded);
  }
  mSummary.status = mStatus;
  mOptions.caller->End();
  End(mCallerGone ? ExchangeEnd::Left : ExchangeEnd::Answered);
}

void Exchange::RecordOutcome(int aStatus)
{
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    return;
  }
  const bool whole = !mEventStream && mKeptWhole;
  const claims::ClaimOutcome outcome{ .status = aStatus,
                                      .contentType = mContentType,
                                      .body = whole ? mKept : std::string(),
                                      .whole = whole };
  Complete(outcome);
}

void Exchange::KeepUnknown(const Problem& aProblem)
{
  // A stream may yet be read again at its upstream; of a plain call nothing more can be learned, so
  // those who ask again are told the same at once.
  const bool mayBeResumed = mOptions.request.stream && mUpstream.resumes;
  if (!mOptions.request.claim || mayBeResumed) {
    return;
  }
  Complete({ .status = aProblem.status,
             .contentType = "application/problem+json",
             .body = ToJson(aProblem),
             .whole = true });
}

void Exchange::Complete(const claims::ClaimOutcome& aOutcome)
{
  // The caller need not wait for it: the claim alone already keeps the request from running again.
  const IncomingRequest& request = mOptions.request;
  mOptions.claims.Complete(*request.claim, request.spec.id, mAttempt, aOutcome,
                           [](const core::Result<ClaimReply>&) {});
}

void Exchange::OnFailed(const connection::upstream::UpstreamFailure& aFailure)
{
  mCall.reset();
  if (mState == State::Following) {
    LookLater();
    return;
  }
  if (!aFailure.mayHaveRun && mResumes == 0) {
    mSent = false;
    mState = State::Waiting;
    FinishTry(TryOutcome::Refused);
    return;
  }
  if (CanResume()) {
    Resume();
    return;
  }
  FailAfterDispatch(aFailure.error.message);
}

bool Exchange::CanResume() const
{
  return mState == State::Calling && mOptions.request.stream && mUpstream.resumes &&
         mResumes < mOptions.settings.maxResumes && !mCallerGone;
}

void Exchange::Resume()
{
  ++mResumes;
  mTimer = mOptions.timers.After(mOptions.settings.resumeDelay, [this] {
    const std::uint64_t offset = mSkipped + mEvents.Events();
    mSkipped = offset;
    mEvents = EventStream();
    connection::upstream::UpstreamRequest call{
      .id = mStreamId,
      .method = "GET",
      .target = "/v1/requests/" + mStreamId.Text() + "/stream?offset=" + std::to_string(offset),
      .headers = {},
      .body = {},
    };
    mCall = mOptions.transport.Start(mUpstream.address, mUpstream.port, std::move(call), *this);
  });
}

void Exchange::FinishTry(TryOutcome aOutcome)
{
  mSummary.tryOutcome = aOutcome;
  mOptions.scheduler.Finished(mOptions.request.spec.id, aOutcome);
}

void Exchange::FailAfterDispatch(const std::string& aDetail)
{
  if (mState == State::Calling) {
    FinishTry(mCallerGone ? TryOutcome::Cancelled : TryOutcome::Failed);
    KeepUnknown({ .status = connection::kStatusBadGateway,
                  .title = "upstream failed",
                  .detail = aDetail,
                  .outcome = Outcome::Unknown });
  }
  if (mHeadSent) {
    mOptions.caller->Abort();
    End(mCallerGone ? ExchangeEnd::Left : ExchangeEnd::Broken);
    return;
  }
  TellUnknown(connection::kStatusBadGateway, "upstream failed", aDetail);
}

void Exchange::Follow(const claims::ClaimRecord& aRecord)
{
  mSummary.followed = true;
  if (aRecord.state == ClaimState::Done && aRecord.outcome.whole) {
    mSummary.status = aRecord.outcome.status;
    mOptions.caller->SendWhole(
      aRecord.outcome.status,
      { { .name = std::string(connection::kContentTypeHeader),
          .value = aRecord.outcome.contentType },
        { .name = std::string(connection::kRequestIdHeader), .value = aRecord.request.Text() },
        { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() },
        { .name = std::string(connection::kUpstreamHeader),
          .value = aRecord.target.upstream.Text() } },
      aRecord.outcome.body);
    End(mCallerGone ? ExchangeEnd::Left : ExchangeEnd::Answered);
    return;
  }
  const bool sent = aRecord.state != ClaimState::Waiting;
  if (sent && aRecord.target.resumes && mOptions.request.stream) {
    FollowStream(aRecord);
    return;
  }
  if (aRecord.state == ClaimState::Done) {
    TellUnknown(connection::kStatusConflict, "answer not kept",
                "The request ran, but its answer is too long to be given again; use a new key only "
                "if running it again does no harm.");
    return;
  }
  LookLater();
}

void Exchange::FollowStream(const claims::ClaimRecord& aRecord)
{
  mStreamId = aRecord.request;
  mUpstream.id = aRecord.target.upstream;
  const std::uint64_t offset =
    mHeadSent ? mSkipped + mEvents.Events() : mOptions.request.resumeOffset.value_or(0);
  mSkipped = offset;
  mEvents = EventStream();
  connection::upstream::UpstreamRequest call{
    .id = mStreamId,
    .method = "GET",
    .target = "/v1/requests/" + mStreamId.Text() + "/stream?offset=" + std::to_string(offset),
    .headers = {},
    .body = {},
  };
  mSentAt = mOptions.timers.Now();
  mCall =
    mOptions.transport.Start(aRecord.target.address, aRecord.target.port, std::move(call), *this);
}

void Exchange::LookLater()
{
  if (mCallerGone) {
    End(ExchangeEnd::Left);
    return;
  }
  if (mOptions.timers.Now() >= mFollowEnd) {
    if (mHeadSent) {
      mOptions.caller->Abort();
      End(ExchangeEnd::Broken);
      return;
    }
    TellUnknown(connection::kStatusGatewayTimeout, "outcome not known yet",
                "An earlier request with this key was sent and has no recorded outcome" +
                  std::string(kAskAgain));
    return;
  }
  mTimer = mOptions.timers.After(mOptions.settings.followPeriod, [this] {
    mOptions.claims.Look(*mOptions.request.claim, Guarded(&Exchange::OnLooked));
  });
}

void Exchange::OnLooked(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::Following) {
    return;
  }
  if (!aReply || aReply.value().verdict == ClaimVerdict::Absent) {
    LookLater();
    return;
  }
  Follow(aReply.value().record);
}

void Exchange::Shed(ShedReason aReason, core::Duration aRetryAfter)
{
  CUMINFIELD_INVARIANT("request.shed-only-while-waiting", mState == State::Waiting);
  TellNotRun({ .status = connection::kStatusUnavailable,
               .title = Title(aReason),
               .detail = Explain(aReason),
               .retryAfter = aRetryAfter });
}

void Exchange::CutOff()
{
  switch (mState) {
    case State::Ended:
      return;
    case State::Waiting:
      mOptions.scheduler.Withdraw(mOptions.request.spec.id);
      Shed(ShedReason::Shutdown, std::chrono::seconds(1));
      return;
    case State::Claiming:
    case State::Binding:
    case State::Releasing:
    case State::Calling:
    case State::Following:
      if (mHeadSent) {
        mOptions.caller->Abort();
        End(ExchangeEnd::Broken);
        return;
      }
      TellUnknown(connection::kStatusUnavailable, "stopping",
                  "This host is stopping" + std::string(kAskAgain));
      return;
  }
}

void Exchange::OnCallerGone()
{
  if (mState == State::Ended) {
    return;
  }
  mCallerGone = true;
  switch (mState) {
    case State::Waiting:
      mOptions.scheduler.Withdraw(mOptions.request.spec.id);
      TellNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
      return;
    case State::Calling:
      if (mOptions.request.claim) {
        // Whoever asks again with the key wants the answer: it goes on to its end.
        if (mCall) {
          mCall->Pause(false);
        }
        return;
      }
      mCall.reset();
      CancelAtUpstream();
      FinishTry(TryOutcome::Cancelled);
      End(ExchangeEnd::Left);
      return;
    case State::Following:
      mCall.reset();
      End(ExchangeEnd::Left);
      return;
    case State::Claiming:
    case State::Binding:
    case State::Releasing:
    case State::Ended:
      return; // The commit under way decides.
  }
}

void Exchange::CancelAtUpstream()
{
  if (!mOptions.request.engine) {
    return;
  }
  // Closing the connection does not stop every engine: work for nobody is waste.
  mOptions.transport.Notify(mUpstream.address, mUpstream.port,
                            { .id = mStreamId,
                              .method = "DELETE",
                              .target = "/v1/requests/" + mStreamId.Text(),
                              .headers = {},
                              .body = {} });
}

void Exchange::TellNotRun(Problem aProblem)
{
  CUMINFIELD_INVARIANT("request.not-run-never-after-dispatch", !mSent);
  aProblem.outcome = Outcome::NotRun;
  const IncomingRequest& request = mOptions.request;
  if (!request.claim) {
    SendProblem(aProblem);
    return;
  }
  // Only a committed release proves that no other arrival with this key has run.
  mState = State::Releasing;
  mOptions.claims.Release(*request.claim, request.spec.id, mAttempt,
                          [this, alive = mAlive, problem = std::move(aProblem)](
                            const core::Result<ClaimReply>& aReply) mutable {
                            if (!*alive || mState != State::Releasing) {
                              return;
                            }
                            if (!aReply || aReply.value().verdict != ClaimVerdict::Granted) {
                              problem.outcome = Outcome::Unknown;
                              problem.detail =
                                "Another arrival with this key may run" + std::string(kAskAgain);
                            }
                            SendProblem(problem);
                          });
}

void Exchange::TellUnknown(int aStatus, const std::string& aTitle, const std::string& aDetail)
{
  SendProblem({ .status = aStatus,
                .title = aTitle,
                .detail = aDetail,
                .outcome = Outcome::Unknown,
                .retryAfter = std::chrono::seconds(1) });
}

void Exchange::SendProblem(const Problem& aProblem)
{
  CUMINFIELD_INVARIANT("request.not-run-never-after-dispatch",
                       aProblem.outcome == Outcome::Unknown || !mSent);
  connection::HttpHeaders headers = ToHeaders(aProblem);
  headers.push_back({ .name = std::string(connection::kRequestIdHeader),
                      .value = mOptions.request.spec.id.Text() });
  headers.push_back(
    { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() });
  mSummary.status = aProblem.status;
  mOptions.caller->SendWhole(aProblem.status, headers, ToJson(aProblem));
  const bool notRun = aProblem.outcome == Outcome::NotRun;
  const ExchangeEnd told = notRun ? ExchangeEnd::NotRun : ExchangeEnd::Unknown;
  End(mCallerGone ? ExchangeEnd::Left : told);
}

void Exchange::End(ExchangeEnd aEnd)
{
  mState = State::Ended;
  mTimer.Cancel();
  mCall.reset();
  mSummary.end = aEnd;
  mSummary.total = mOptions.timers.Now() - mOptions.request.spec.arrival;
  mOptions.observer.OnEnded(mOptions.request, mSummary);
  mOptions.onFinished();
}

} // namespace cuminfield::request::exchange
