#include "cuminfield/process/log/GroupServer.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::log {

GroupServer::GroupServer(GroupServerOptions aOptions)
  : mGroup(std::move(aOptions.group))
  , mSelf(std::move(aOptions.self))
  , mLog(aOptions.log)
  , mMachine(aOptions.machine)
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
  const Asker asker(aFrom, request.id());
  if (request.query()) {
    TakeQuery(asker, request.payload(), aNow);
  } else {
    TakeProposal(asker, request.payload(), aNow);
  }
}

void GroupServer::TakeProposal(const Asker& aAsker, const std::string& aCommand, core::Instant aNow)
{
  if (mProposed.contains(aAsker)) {
    return;
  }
  const auto position = mLog.Propose(aCommand, aNow);
  if (!position) {
    Refuse(aAsker);
    return;
  }
  mProposals.emplace(*position, aAsker);
  mProposed.insert(aAsker);
}

void GroupServer::TakeQuery(const Asker& aAsker, const std::string& aQuery, core::Instant aNow)
{
  if (!mLog.RequestRead(mNextRead, aNow)) {
    Refuse(aAsker);
    return;
  }
  mReads.emplace(mNextRead, Read{ .asker = aAsker, .query = aQuery });
  ++mNextRead;
}

void GroupServer::Apply(const proto::Entry& aEntry)
{
  CUMINFIELD_INVARIANT("log.apply-in-order", aEntry.index() == mApplied + 1);
  mApplied = aEntry.index();
  std::string answer;
  if (aEntry.has_command()) {
    answer = mMachine.Apply(core::LogIndex(mApplied), aEntry.command());
  }
  SettleProposals(aEntry, answer);
}

void GroupServer::SettleProposals(const proto::Entry& aEntry, const std::string& aAnswer)
{
  // Several terms may have proposed at this index; only one entry was committed there.
  while (!mProposals.empty() && mProposals.begin()->first.index.Value() <= aEntry.index()) {
    const auto proposal = mProposals.extract(mProposals.begin());
    mProposed.erase(proposal.mapped());
    if (proposal.key().term.Value() == aEntry.term()) {
      Answer(proposal.mapped(), aAnswer);
    } else {
      Refuse(proposal.mapped());
    }
  }
}

void GroupServer::Restore(const proto::Snapshot& aSnapshot)
{
  CUMINFIELD_INVARIANT("log.apply-in-order", aSnapshot.index() >= mApplied);
  mApplied = aSnapshot.index();
  mMachine.Restore(aSnapshot.state());
  while (!mProposals.empty() && mProposals.begin()->first.index.Value() <= mApplied) {
    const auto proposal = mProposals.extract(mProposals.begin());
    mProposed.erase(proposal.mapped());
    ReportUnknown(proposal.mapped()); // The snapshot does not tell.
  }
}

void GroupServer::AnswerReads()
{
  for (const std::uint64_t id : mLog.TakeReads()) {
    const auto node = mReads.extract(id);
    Answer(node.mapped().asker, mMachine.Query(node.mapped().query));
  }
  for (const std::uint64_t id : mLog.TakeFailedReads()) {
    const auto node = mReads.extract(id);
    Refuse(node.mapped().asker);
  }
}

void GroupServer::Answer(const Asker& aAsker, const std::string& aAnswer)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aAsker.second);
  message.mutable_reply()->set_answer(aAnswer);
  mSend(aAsker.first, message);
}

void GroupServer::Refuse(const Asker& aAsker)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_reply()->set_id(aAsker.second);
  message.mutable_reply()->set_refused(true);
  mSend(aAsker.first, message);
}

void GroupServer::ReportUnknown(const Asker& aAsker)
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
