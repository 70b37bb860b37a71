#include "cuminfield/process/claims/GroupClaimStorage.h"

#include "cuminfield/process/state/state.pb.h"

#include <memory>
#include <utility>

namespace cuminfield::process::claims {

using request::claims::ClaimKey;
using request::claims::ClaimOutcome;
using request::claims::ClaimRecord;
using request::claims::ClaimReply;
using request::claims::ClaimState;
using request::claims::ClaimTarget;
using request::claims::ClaimVerdict;

namespace {

std::string DigestToBytes(std::uint64_t aDigest)
{
  std::string bytes(sizeof aDigest, '\0');
  for (char& it : bytes) {
    it = static_cast<char>(aDigest & 0xff);
    aDigest >>= 8;
  }
  return bytes;
}

ClaimState ToClaimState(const state::proto::ClaimRecord& aRecord)
{
  if (aRecord.state() == state::proto::CLAIM_STATE_DONE) {
    return ClaimState::Done;
  }
  const bool isDispatched =
    aRecord.state() == state::proto::CLAIM_STATE_CLAIMED && !aRecord.upstream().id().empty();
  return isDispatched ? ClaimState::Dispatched : ClaimState::Waiting;
}

ClaimRecord ToClaimRecord(const state::proto::ClaimRecord& aRecord)
{
  return { .request = core::RequestId(aRecord.request_id()),
           .host = core::HostId(aRecord.host()),
           .attempt = aRecord.attempt(),
           .state = ToClaimState(aRecord),
           .target = { .upstream = core::UpstreamId(aRecord.upstream().id()),
                       .address = aRecord.upstream().address(),
                       .port = static_cast<std::uint16_t>(aRecord.upstream().port()),
                       .supportsResume = aRecord.upstream().resumes() },
           .outcome = { .status = static_cast<int>(aRecord.outcome().status()),
                        .contentType = aRecord.outcome().content_type(),
                        .body = aRecord.outcome().body(),
                        .complete = aRecord.outcome().body_kept() } };
}

ClaimVerdict ToClaimVerdict(state::proto::ClaimVerdict aVerdict, bool aIsRelease)
{
  switch (aVerdict) {
    case state::proto::CLAIM_VERDICT_GRANTED:
    case state::proto::CLAIM_VERDICT_COMPLETED:
      return ClaimVerdict::Granted;
    case state::proto::CLAIM_VERDICT_RELEASED:
      // As the reply to a Claim it means that the claim was granted and has been released since.
      return aIsRelease ? ClaimVerdict::Granted : ClaimVerdict::Stale;
    case state::proto::CLAIM_VERDICT_HELD:
      return ClaimVerdict::Held;
    case state::proto::CLAIM_VERDICT_DIGEST_DIFFERS:
      return ClaimVerdict::DigestDiffers;
    case state::proto::CLAIM_VERDICT_TOO_OLD:
    case state::proto::CLAIM_VERDICT_FROM_FUTURE:
    case state::proto::CLAIM_VERDICT_INVALID:
      return ClaimVerdict::TooOld;
    case state::proto::CLAIM_VERDICT_FULL:
      return ClaimVerdict::Full;
    default:
      return ClaimVerdict::Stale;
  }
}

void WriteTarget(const ClaimTarget& aTarget, state::proto::Upstream& aUpstream)
{
  aUpstream.set_id(aTarget.upstream.Text());
  aUpstream.set_address(aTarget.address);
  aUpstream.set_port(aTarget.port);
  aUpstream.set_resumes(aTarget.supportsResume);
}

core::Result<ClaimReply> ParseClaimReply(const core::Result<std::string>& aResult, bool aIsRelease)
{
  if (!aResult) {
    return aResult.error();
  }
  state::proto::Answer answer;
  if (!answer.ParseFromString(aResult.value()) || !answer.has_claim()) {
    return core::Fail(core::ErrorKind::Internal, "the claim's answer cannot be read; report this");
  }
  ClaimReply reply{ .verdict = ToClaimVerdict(answer.claim().verdict(), aIsRelease),
                    .record = ToClaimRecord(answer.claim().record()) };
  if (reply.verdict == ClaimVerdict::Granted) {
    reply.record.attempt = answer.claim().attempt();
  }
  return reply;
}

core::Result<ClaimReply> ParseLookupReply(const core::Result<std::string>& aResult)
{
  if (!aResult) {
    return aResult.error();
  }
  state::proto::QueryAnswer answer;
  if (!answer.ParseFromString(aResult.value()) || !answer.has_claim()) {
    return core::Fail(core::ErrorKind::Internal, "the claim's answer cannot be read; report this");
  }
  const bool found = answer.claim().found();
  return ClaimReply{ .verdict = found ? ClaimVerdict::Held : ClaimVerdict::NotFound,
                     .record = ToClaimRecord(answer.claim().record()) };
}

} // namespace

GroupClaimStorage::GroupClaimStorage(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void GroupClaimStorage::Claim(const ClaimKey& aKey, std::uint64_t aDigest,
                              const core::RequestId& aRequest, Callback aDone)
{
  state::proto::Command command;
  state::proto::Claim* claim = command.mutable_claim();
  claim->set_workspace(aKey.workspace.Text());
  claim->set_key(aKey.key.Text());
  claim->set_digest(DigestToBytes(aDigest));
  claim->set_request_id(aRequest.Text());
  claim->set_host(mOptions.host.Text());
  Propose(aKey, std::move(command), std::move(aDone));
}

void GroupClaimStorage::Dispatch(const ClaimKey& aKey, const core::RequestId& aRequest,
                                 std::uint64_t aAttempt, const ClaimTarget& aTarget, Callback aDone)
{
  state::proto::Command command;
  state::proto::Retarget* retarget = command.mutable_retarget();
  retarget->set_workspace(aKey.workspace.Text());
  retarget->set_key(aKey.key.Text());
  retarget->set_request_id(aRequest.Text());
  retarget->set_attempt(aAttempt);
  WriteTarget(aTarget, *retarget->mutable_upstream());
  Propose(aKey, std::move(command), std::move(aDone));
}

void GroupClaimStorage::Release(const ClaimKey& aKey, const core::RequestId& aRequest,
                                std::uint64_t aAttempt, Callback aDone)
{
  state::proto::Command command;
  state::proto::Release* release = command.mutable_release();
  release->set_workspace(aKey.workspace.Text());
  release->set_key(aKey.key.Text());
  release->set_request_id(aRequest.Text());
  release->set_attempt(aAttempt);
  Propose(aKey, std::move(command), std::move(aDone));
}

void GroupClaimStorage::Complete(const ClaimKey& aKey, const core::RequestId& aRequest,
                                 std::uint64_t aAttempt, const ClaimOutcome& aOutcome,
                                 Callback aDone)
{
  state::proto::Command command;
  state::proto::Complete* complete = command.mutable_complete();
  complete->set_workspace(aKey.workspace.Text());
  complete->set_key(aKey.key.Text());
  complete->set_request_id(aRequest.Text());
  complete->set_attempt(aAttempt);
  state::proto::Outcome* outcome = complete->mutable_outcome();
  outcome->set_status(static_cast<std::uint32_t>(aOutcome.status));
  outcome->set_content_type(aOutcome.contentType);
  outcome->set_body(aOutcome.body);
  outcome->set_body_kept(aOutcome.complete);
  Propose(aKey, std::move(command), std::move(aDone));
}

void GroupClaimStorage::LookUp(const ClaimKey& aKey, Callback aDone)
{
  log::Group* group = FindGroup(aKey.home);
  if (!group) {
    FailAsync(aKey.home, std::move(aDone));
    return;
  }
  state::proto::Query query;
  query.mutable_claim()->set_workspace(aKey.workspace.Text());
  query.mutable_claim()->set_key(aKey.key.Text());
  group->Query(query.SerializeAsString(), mOptions.settings.operationTimeout,
               [done = std::move(aDone)](const core::Result<std::string>& aResult) {
                 done(ParseLookupReply(aResult));
               });
}

log::Group* GroupClaimStorage::FindGroup(const core::DataCentreId& aHome) const
{
  const auto it = mOptions.groups.find(aHome);
  return it == mOptions.groups.end() ? nullptr : it->second;
}

void GroupClaimStorage::FailAsync(const core::DataCentreId& aHome, Callback aDone)
{
  std::erase_if(mFailureTimers,
                [](const core::TimerHandle& aHandle) { return !aHandle.IsActive(); });
  mFailureTimers.push_back(mOptions.timers.ScheduleAfter(
    core::Duration::zero(), [home = aHome.Text(), done = std::move(aDone)] {
      done(core::Result<ClaimReply>(
        core::Error{ .kind = core::ErrorKind::Unavailable,
                     .message = "no group keeps the claims of " + home +
                                "; add it to section [groups] of every host" }));
    }));
}

void GroupClaimStorage::Propose(const ClaimKey& aKey, state::proto::Command aCommand,
                                Callback aDone)
{
  log::Group* group = FindGroup(aKey.home);
  if (!group) {
    FailAsync(aKey.home, std::move(aDone));
    return;
  }
  aCommand.set_now(mOptions.timers.WallNow().time_since_epoch().count());
  const bool isRelease = aCommand.has_release();
  group->Propose(aCommand.SerializeAsString(), mOptions.settings.operationTimeout,
                 [isRelease, done = std::move(aDone)](const core::Result<std::string>& aResult) {
                   done(ParseClaimReply(aResult, isRelease));
                 });
}

} // namespace cuminfield::process::claims
