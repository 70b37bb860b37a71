#include "cuminfield/process/log/GroupServer.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::log {

GroupServer::GroupServer(GroupServerOptions aOptions)
  : mGroup(std::move(aOptions.group))
  , mSelf(std::move(aOptions.self))
  , mLog(aOptions.log)
  , mStateMachine(aOptions.stateMachine)
  , mSend(std::move(aOptions.send))
{
}

void GroupServer::Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage,
                          core::Instant aNow)
{
  if (aMessage.has_probe()) {
    SendNotice(aFrom);
    return;
  }
  if (!aMessage.has_request()) {
    return;
  }
  const proto::GroupRequest& request = aMessage.request();
  const RequestKey requestKey(aFrom, request.id());
  if (request.query()) {
    HandleQuery(requestKey, request.payload(), aNow);
  } else {
    HandleProposal(requestKey, request.payload(), aNow);
  }
}

void GroupServer::HandleProposal(const RequestKey& aRequest, const std::string& aCommand,
                                 core::Instant aNow)
{
  if (mProposedRequests.contains(aRequest)) {
    return;
  }
  const auto position = mLog.Propose(aCommand, aNow);
  if (!position) {
    ReplyRejected(aRequest);
    return;
  }
  mPendingProposals.emplace(*position, aRequest);
  mProposedRequests.insert(aRequest);
}

void GroupServer::HandleQuery(const RequestKey& aRequest, const std::string& aQuery,
                              core::Instant aNow)
{
  if (!mLog.RequestRead(mNextReadId, aNow)) {
    ReplyRejected(aRequest);
    return;
  }
  mPendingReads.emplace(mNextReadId, PendingRead{ .request = aRequest, .query = aQuery });
  ++mNextReadId;
}

void GroupServer::Apply(const proto::Entry& aEntry)
{
  CUMINFIELD_INVARIANT("log.apply-in-order", aEntry.index() == mAppliedIndex + 1);
  mAppliedIndex = aEntry.index();
  std::string result;
  if (aEntry.has_command()) {
    result = mStateMachine.Apply(core::LogIndex(mAppliedIndex), aEntry.command());
  }
  CompleteProposals(aEntry, result);
}

void GroupServer::CompleteProposals(const proto::Entry& aEntry, const std::string& aResult)
{
  // Leaders of several terms may have proposed at this index; only one of the entries was
  // committed.
  while (!mPendingProposals.empty() &&
         mPendingProposals.begin()->first.index.Value() <= aEntry.index()) {
    const auto proposal = mPendingProposals.extract(mPendingProposals.begin());
    mProposedRequests.erase(proposal.mapped());
    if (proposal.key().term.Value() == aEntry.term()) {
      ReplyResult(proposal.mapped(), aResult);
    } else {
      ReplyRejected(proposal.mapped());
    }
  }
}

void GroupServer::Restore(const proto::Snapshot& aSnapshot)
{
  CUMINFIELD_INVARIANT("log.apply-in-order", aSnapshot.index() >= mAppliedIndex);
  mAppliedIndex = aSnapshot.index();
  mStateMachine.Restore(aSnapshot.state());
  while (!mPendingProposals.empty() &&
         mPendingProposals.begin()->first.index.Value() <= mAppliedIndex) {
    const auto proposal = mPendingProposals.extract(mPendingProposals.begin());
    mProposedRequests.erase(proposal.mapped());
    ReplyUnknown(proposal.mapped()); // The snapshot does not show whether the command was applied.
  }
}

void GroupServer::CompleteReads()
{
  for (const std::uint64_t id : mLog.TakeConfirmedReads()) {
    const auto node = mPendingReads.extract(id);
    ReplyResult(node.mapped().request, mStateMachine.Query(node.mapped().query));
  }
  for (const std::uint64_t id : mLog.TakeFailedReads()) {
    const auto node = mPendingReads.extract(id);
    ReplyRejected(node.mapped().request);
  }
}

void GroupServer::ReplyResult(const RequestKey& aRequest, const std::string& aResult)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aRequest.second);
  message.mutable_reply()->set_answer(aResult);
  mSend(aRequest.first, message);
}

void GroupServer::ReplyRejected(const RequestKey& aRequest)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aRequest.second);
  message.mutable_reply()->set_refused(true);
  mSend(aRequest.first, message);
}

void GroupServer::ReplyUnknown(const RequestKey& aRequest)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aRequest.second);
  message.mutable_reply()->set_unknown(true);
  mSend(aRequest.first, message);
}

void GroupServer::SendNotice(const core::HostId& aTo)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_notice()->set_leader(mLog.Leader().Text());
  message.mutable_notice()->set_term(mLog.CurrentTerm().Value());
  mSend(aTo, message);
}

} // namespace cuminfield::process::log
