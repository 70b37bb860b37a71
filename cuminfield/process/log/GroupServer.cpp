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
  const RequestKey asker(aFrom, request.id());
  if (request.query()) {
    HandleQuery(asker, request.payload(), aNow);
  } else {
    HandleProposal(asker, request.payload(), aNow);
  }
}

void GroupServer::HandleProposal(const RequestKey& aAsker, const std::string& aCommand,
                                 core::Instant aNow)
{
  if (mProposedRequests.contains(aAsker)) {
    return;
  }
  const auto position = mLog.Propose(aCommand, aNow);
  if (!position) {
    ReplyRejected(aAsker);
    return;
  }
  mPendingProposals.emplace(*position, aAsker);
  mProposedRequests.insert(aAsker);
}

void GroupServer::HandleQuery(const RequestKey& aAsker, const std::string& aQuery,
                              core::Instant aNow)
{
  if (!mLog.RequestRead(mNextReadId, aNow)) {
    ReplyRejected(aAsker);
    return;
  }
  mPendingReads.emplace(mNextReadId, PendingRead{ .request = aAsker, .query = aQuery });
  ++mNextReadId;
}

void GroupServer::Apply(const proto::Entry& aEntry)
{
  CUMINFIELD_INVARIANT("log.apply-in-order", aEntry.index() == mAppliedIndex + 1);
  mAppliedIndex = aEntry.index();
  std::string answer;
  if (aEntry.has_command()) {
    answer = mStateMachine.Apply(core::LogIndex(mAppliedIndex), aEntry.command());
  }
  CompleteProposals(aEntry, answer);
}

void GroupServer::CompleteProposals(const proto::Entry& aEntry, const std::string& aAnswer)
{
  // Several terms may have proposed at this index; only one entry was committed there.
  while (!mPendingProposals.empty() &&
         mPendingProposals.begin()->first.index.Value() <= aEntry.index()) {
    const auto proposal = mPendingProposals.extract(mPendingProposals.begin());
    mProposedRequests.erase(proposal.mapped());
    if (proposal.key().term.Value() == aEntry.term()) {
      ReplyResult(proposal.mapped(), aAnswer);
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
    ReplyUnknown(proposal.mapped()); // The snapshot does not tell.
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

void GroupServer::ReplyResult(const RequestKey& aAsker, const std::string& aAnswer)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aAsker.second);
  message.mutable_reply()->set_answer(aAnswer);
  mSend(aAsker.first, message);
}

void GroupServer::ReplyRejected(const RequestKey& aAsker)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aAsker.second);
  message.mutable_reply()->set_refused(true);
  mSend(aAsker.first, message);
}

void GroupServer::ReplyUnknown(const RequestKey& aAsker)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aAsker.second);
  message.mutable_reply()->set_unknown(true);
  mSend(aAsker.first, message);
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
