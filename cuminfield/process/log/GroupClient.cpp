#include "cuminfield/process/log/GroupClient.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

GroupClient::GroupClient(GroupClientOptions aOptions)
  : mGroup(std::move(aOptions.group))
  , mSelf(std::move(aOptions.self))
  , mVoters(std::move(aOptions.voters))
  , mTimers(aOptions.timers)
  , mSend(std::move(aOptions.send))
  , mSettings(aOptions.settings)
  , mNextId(static_cast<std::uint64_t>(mTimers.WallNow().time_since_epoch().count()))
{
}

void GroupClient::Submit(bool aQuery, std::string aPayload, core::Duration aTimeout,
                         Group::Completion aDone)
{
  Request request;
  request.isQuery = aQuery;
  request.payload = std::move(aPayload);
  request.deadline = mTimers.Now() + aTimeout;
  request.done = std::move(aDone);
  mRequests.emplace(mNextId, std::move(request));
  ++mNextId;
  ScheduleSend();
}

void GroupClient::ScheduleSend()
{
  if (!mTickTimer.IsActive()) {
    mTickTimer = mTimers.ScheduleEvery(mSettings.tickInterval, [this] { Tick(); });
  }
  if (!mSendTimer.IsActive()) {
    mSendTimer = mTimers.ScheduleAfter(core::Duration::zero(), [this] {
      if (mLeaderConfirmed) {
        SendPendingRequests();
      } else {
        ProbeVoters();
      }
    });
  }
}

void GroupClient::Tick()
{
  ExpireRequests();
  if (mRequests.empty()) {
    mTickTimer.Cancel();
    return;
  }
  for (const auto& [id, request] : mRequests) {
    if (request.awaitingReply && mTimers.Now() - request.sentAt >= mSettings.resendTimeout) {
      // The leader may have failed: find out who leads before sending again.
      mLeaderConfirmed = false;
    }
  }
  if (mLeaderConfirmed) {
    SendPendingRequests();
  } else {
    ProbeVoters();
  }
}

void GroupClient::ExpireRequests()
{
  std::vector<Request> expired;
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    if (it->second.deadline > mTimers.Now()) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second));
    it = mRequests.erase(it);
  }
  // Completions run after the loop because they may submit the next request.
  for (const Request& it : expired) {
    FailRequest(it);
  }
}

void GroupClient::FailRequest(const Request& aRequest)
{
  if (aRequest.mayBeApplied || aRequest.awaitingReply) {
    aRequest.done(core::Fail(core::ErrorKind::Timeout,
                             "group " + mGroup.Text() +
                               " did not answer in time and may have taken the request up; ask "
                               "for the outcome before sending it again"));
    return;
  }
  aRequest.done(core::Fail(core::ErrorKind::Unavailable,
                           "group " + mGroup.Text() +
                             " has no leader in reach, so nothing took effect; check that a "
                             "majority of its voters runs and is connected, then try again"));
}

void GroupClient::SendPendingRequests()
{
  for (auto& [id, request] : mRequests) {
    const bool resendDue = mTimers.Now() - request.sentAt >= mSettings.resendTimeout;
    if (!request.awaitingReply || request.sentTo != mLeader || resendDue) {
      SendRequest(id, request);
    }
  }
}

void GroupClient::SendRequest(std::uint64_t aId, Request& aRequest)
{
  aRequest.awaitingReply = true;
  // A link may duplicate or delay a message, so a copy may be applied even after a rejection.
  aRequest.mayBeApplied = aRequest.mayBeApplied || (mLeader != mSelf && !aRequest.isQuery);
  aRequest.sentTo = mLeader;
  aRequest.sentAt = mTimers.Now();
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_request()->set_id(aId);
  message.mutable_request()->set_query(aRequest.isQuery);
  message.mutable_request()->set_payload(aRequest.payload);
  mSend(mLeader, message);
}

void GroupClient::AddVoters(const Configuration& aVoters)
{
  for (const Member& it : aVoters.voters) {
    if (std::find(mVoters.begin(), mVoters.end(), it.host) == mVoters.end()) {
      mVoters.push_back(it.host);
    }
  }
}

void GroupClient::ProbeVoters()
{
  for (const core::HostId& host : mVoters) {
    if (host != mSelf) {
      ProbeHost(host);
    }
  }
  // Another host may have named a leader that is none of the voters known here.
  const bool isVoter = std::find(mVoters.begin(), mVoters.end(), mLeader) != mVoters.end();
  if (!mLeader.IsEmpty() && mLeader != mSelf && !isVoter) {
    ProbeHost(mLeader);
  }
}

void GroupClient::ProbeHost(const core::HostId& aHost)
{
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_probe();
  mSend(aHost, message);
}

void GroupClient::Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage)
{
  if (aMessage.has_reply()) {
    HandleReply(aFrom, aMessage.reply());
  } else if (aMessage.has_notice()) {
    HandleNotice(aFrom, aMessage.notice());
  }
}

void GroupClient::ConfirmLeader(const core::HostId& aLeader, core::Term aTerm)
{
  if (aTerm < mTerm) {
    return;
  }
  if (aLeader != mLeader) {
    mLeaderConfirmed = false;
  }
  mTerm = aTerm;
  mLeader = aLeader;
  const bool wasConfirmed = std::exchange(mLeaderConfirmed, true);
  if (!wasConfirmed && !mRequests.empty()) {
    ScheduleSend();
  }
}

void GroupClient::HandleNotice(const core::HostId& aFrom, const proto::LeaderNotice& aNotice)
{
  const core::HostId leader(aNotice.leader());
  if (leader.IsEmpty()) {
    return;
  }
  if (leader == aFrom) {
    ConfirmLeader(leader, core::Term(aNotice.term()));
    return;
  }
  if (!mLeaderConfirmed && core::Term(aNotice.term()) >= mTerm) {
    mLeader = leader; // Only a hint: ProbeVoters() asks that host itself.
  }
}

void GroupClient::HandleReply(const core::HostId& aFrom, const proto::GroupReply& aReply)
{
  const auto it = mRequests.find(aReply.id());
  if (it == mRequests.end()) {
    return;
  }
  if (aReply.refused() || aReply.unknown()) {
    it->second.mayBeApplied = it->second.mayBeApplied || aReply.unknown();
    if (it->second.sentTo == aFrom) {
      it->second.awaitingReply = false;
      mLeaderConfirmed = mLeaderConfirmed && mLeader != aFrom;
    }
    return;
  }
  const Group::Completion done = std::move(it->second.done);
  mRequests.erase(it);
  done(std::string(aReply.answer()));
}

} // namespace cuminfield::process::log
