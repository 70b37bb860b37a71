#include "cuminfield/request/exchange/Exchange.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::request::exchange {

using claims::ClaimReply;
using claims::ClaimVerdict;

namespace {

constexpr std::string_view kRetryHint = "; ask again with the same key";

const char* ShedDetail(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "No room for this tier now; send again after Retry-After.";
    case ShedReason::Deadline:
      return "It could not be begun in time; send again after Retry-After.";
    case ShedReason::NoUpstream:
      return "No upstream of the service is in reach; send again after Retry-After.";
    case ShedReason::NoUpstreamInRegions:
      return "No upstream is in the regions that may serve it; send again after Retry-After.";
    case ShedReason::Evacuated:
      return "The data centres of its upstreams are evacuated; send again after Retry-After.";
    case ShedReason::Shutdown:
      return "This host is stopping; send again through another host.";
    case ShedReason::Quarantined:
      return "A part of the prompt crashes upstreams; send another prompt.";
  }
  return "Send again later.";
}

const char* ShedTitle(ShedReason aReason)
{
  switch (aReason) {
    case ShedReason::Overload:
      return "overload";
    case ShedReason::Deadline:
      return "deadline";
    case ShedReason::NoUpstream:
      return "no upstream";
    case ShedReason::NoUpstreamInRegions:
      return "no upstream in regions";
    case ShedReason::Evacuated:
      return "evacuated";
    case ShedReason::Shutdown:
      return "stopping";
    case ShedReason::Quarantined:
      return "quarantined";
  }
  return "shed";
}

} // namespace

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

void Exchange::Shed(ShedReason aReason, core::Duration aRetryAfter)
{
  CUMINFIELD_INVARIANT("request.shed-only-while-waiting", mState == State::Waiting);
  RespondNotRun({ .status = connection::kStatusUnavailable,
                  .title = ShedTitle(aReason),
                  .detail = ShedDetail(aReason),
                  .retryAfter = aRetryAfter });
}

void Exchange::Abort()
{
  switch (mState) {
    case State::Ended:
      return;
    case State::Waiting:
      mOptions.scheduler.Withdraw(mOptions.request.spec.id);
      Shed(ShedReason::Shutdown, std::chrono::seconds(1));
      return;
    case State::Claiming:
    case State::CommittingDispatch:
    case State::Releasing:
    case State::Calling:
    case State::Following:
      if (mHeadSent) {
        mOptions.caller->Abort();
        End(ExchangeEnd::Aborted);
        return;
      }
      RespondUnknown(connection::kStatusUnavailable, "stopping",
                     "This host is stopping" + std::string(kRetryHint));
      return;
  }
}

void Exchange::OnCallerDisconnected()
{
  if (mState == State::Ended) {
    return;
  }
  mCallerDisconnected = true;
  switch (mState) {
    case State::Waiting:
      mOptions.scheduler.Withdraw(mOptions.request.spec.id);
      RespondNotRun({ .status = connection::kStatusUnavailable, .title = "caller left" });
      return;
    case State::Calling:
      if (mOptions.request.claim) {
        // A retry with the same key will need the response, so let the call finish.
        if (mCall) {
          mCall->Pause(false);
        }
        return;
      }
      mCall.reset();
      CancelAtUpstream();
      FinishAttempt(AttemptOutcome::Cancelled);
      End(ExchangeEnd::CallerDisconnected);
      return;
    case State::Following:
      mCall.reset();
      End(ExchangeEnd::CallerDisconnected);
      return;
    case State::Claiming:
    case State::CommittingDispatch:
    case State::Releasing:
    case State::Ended:
      return; // The reply to the pending claim operation decides how to continue.
  }
}

void Exchange::CancelAtUpstream()
{
  if (!mOptions.request.engine) {
    return;
  }
  // Some engines keep generating after the connection is closed, which wastes capacity.
  mOptions.transport.Notify(mUpstream.address, mUpstream.port,
                            { .id = mStreamId,
                              .method = "DELETE",
                              .target = "/v1/requests/" + mStreamId.Text(),
                              .headers = {},
                              .body = {} });
}

void Exchange::RespondNotRun(Problem aProblem)
{
  CUMINFIELD_INVARIANT("request.not-run-never-after-dispatch", !mMayHaveRun);
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
                                "Another arrival with this key may run" + std::string(kRetryHint);
                            }
                            SendProblem(problem);
                          });
}

void Exchange::RespondUnknown(int aStatus, const std::string& aTitle, const std::string& aDetail)
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
                       aProblem.outcome == Outcome::Unknown || !mMayHaveRun);
  connection::HttpHeaders headers = ToHeaders(aProblem);
  headers.push_back({ .name = std::string(connection::kRequestIdHeader),
                      .value = mOptions.request.spec.id.Text() });
  headers.push_back(
    { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() });
  mSummary.status = aProblem.status;
  mOptions.caller->SendResponse(aProblem.status, headers, ToJson(aProblem));
  const bool notRun = aProblem.outcome == Outcome::NotRun;
  const ExchangeEnd result = notRun ? ExchangeEnd::NotRun : ExchangeEnd::Unknown;
  End(mCallerDisconnected ? ExchangeEnd::CallerDisconnected : result);
}

void Exchange::End(ExchangeEnd aEnd)
{
  mState = State::Ended;
  mTimer.Cancel();
  mCall.reset();
  mSummary.end = aEnd;
  mSummary.duration = mOptions.timers.Now() - mOptions.request.spec.arrival;
  mOptions.observer.OnEnded(mOptions.request, mSummary);
  mOptions.onFinished();
}

} // namespace cuminfield::request::exchange
