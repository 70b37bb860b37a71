#include "cuminfield/request/exchange/Exchange.h"

#include <utility>

namespace cuminfield::request::exchange {

using claims::ClaimReply;
using claims::ClaimState;
using claims::ClaimVerdict;

namespace {
constexpr std::string_view kRetryHint = "; ask again with the same key";
} // namespace

bool Exchange::CanResume() const
{
  return mState == State::Calling && mOptions.request.stream && mUpstream.supportsResume &&
         mResumeCount < mOptions.settings.maxResumes && !mCallerDisconnected;
}

void Exchange::Resume()
{
  ++mResumeCount;
  mTimer = mOptions.timers.ScheduleAfter(mOptions.settings.resumeDelay, [this] {
    ReadStream(mUpstream.address, mUpstream.port, mStreamOffset + mStreamParser.EventCount());
  });
}

void Exchange::ReadStream(const std::string& aAddress, std::uint16_t aPort, std::uint64_t aOffset)
{
  if (mHeadSent) {
    mStreamParser.BeginContinuation();
  } else {
    mStreamOffset = aOffset;
    mStreamParser = EventStreamParser();
  }
  connection::upstream::UpstreamRequest call{
    .id = mStreamId,
    .method = "GET",
    .target = "/v1/requests/" + mStreamId.Text() + "/stream?offset=" + std::to_string(aOffset),
    .headers = {},
    .body = {},
    // A kept connection may bring a second copy of an earlier response with this id.
    .freshConnection = true,
  };
  mCall = mOptions.transport.Start(aAddress, aPort, std::move(call), *this);
}

void Exchange::FollowClaim(const claims::ClaimRecord& aRecord)
{
  mSummary.followed = true;
  if (aRecord.state == ClaimState::Done && aRecord.outcome.complete) {
    mSummary.status = aRecord.outcome.status;
    mOptions.caller->SendResponse(
      aRecord.outcome.status,
      { { .name = std::string(connection::kContentTypeHeader),
          .value = aRecord.outcome.contentType },
        { .name = std::string(connection::kRequestIdHeader), .value = aRecord.request.Text() },
        { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() },
        { .name = std::string(connection::kUpstreamHeader),
          .value = aRecord.target.upstream.Text() } },
      aRecord.outcome.body);
    const bool isUnknown = aRecord.outcome.contentType == kProblemContentType;
    const ExchangeEnd result = isUnknown ? ExchangeEnd::Unknown : ExchangeEnd::Completed;
    End(mCallerDisconnected ? ExchangeEnd::CallerDisconnected : result);
    return;
  }
  const bool isDispatched = aRecord.state != ClaimState::Waiting;
  if (isDispatched && aRecord.target.supportsResume && mOptions.request.stream) {
    FollowStream(aRecord);
    return;
  }
  if (aRecord.state == ClaimState::Done) {
    RespondUnknown(
      connection::kStatusConflict, "answer not kept",
      "The request ran, but its answer is too long to be given again; use a new key only "
      "if running it again does no harm.");
    return;
  }
  ScheduleClaimLookup();
}

void Exchange::FollowStream(const claims::ClaimRecord& aRecord)
{
  mStreamId = aRecord.request;
  mUpstream.id = aRecord.target.upstream;
  const std::uint64_t offset = mHeadSent ? mStreamOffset + mStreamParser.EventCount()
                                         : mOptions.request.resumeOffset.value_or(0);
  mDispatchedAt = mOptions.timers.Now();
  ReadStream(aRecord.target.address, aRecord.target.port, offset);
}

void Exchange::ScheduleClaimLookup()
{
  if (mCallerDisconnected) {
    End(ExchangeEnd::CallerDisconnected);
    return;
  }
  if (mOptions.timers.Now() >= mFollowDeadline) {
    if (mHeadSent) {
      mOptions.caller->Abort();
      End(ExchangeEnd::Aborted);
      return;
    }
    RespondUnknown(connection::kStatusGatewayTimeout, "outcome not known yet",
                   "An earlier request with this key was sent and has no recorded outcome" +
                     std::string(kRetryHint));
    return;
  }
  mTimer = mOptions.timers.ScheduleAfter(mOptions.settings.followPollInterval, [this] {
    mOptions.claims.LookUp(*mOptions.request.claim, GuardCallback(&Exchange::OnClaimLookedUp));
  });
}

void Exchange::OnClaimLookedUp(const core::Result<ClaimReply>& aReply)
{
  if (mState != State::Following) {
    return;
  }
  if (!aReply || aReply.value().verdict == ClaimVerdict::NotFound) {
    ScheduleClaimLookup();
    return;
  }
  FollowClaim(aReply.value().record);
}

} // namespace cuminfield::request::exchange
