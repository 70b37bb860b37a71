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
  request.query = aQuery;
  request.payload = std::move(aPayload);
  request.deadline = mTimers.Now() + aTimeout;
  request.done = std::move(aDone);
  mRequests.emplace(mNextId, std::move(request));
  ++mNextId;
  Wake();
}

void GroupClient::Wake()
{
  if (!mTick.Active()) {
    mTick = mTimers.Every(mSettings.tick, [this] { Tick(); });
  }
  if (!mSoon.Active()) {
    mSoon = mTimers.After(core::Duration::zero(), [this] {
      if (mConfirmed) {
        Flush();
      } else {
        Probe();
      }
    });
  }
}

void GroupClient::Tick()
{
  Expire();
  if (mRequests.empty()) {
    mTick.Cancel();
    return;
  }
  for (const auto& [id, request] : mRequests) {
    if (request.waiting && mTimers.Now() - request.sentAt >= mSettings.resend) {
      mConfirmed = false; // It may have died: ask before sending again.
    }
  }
  if (mConfirmed) {
    Flush();
  } else {
    Probe();
  }
}

void GroupClient::Expire()
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
  // Only now: a completion may submit the next request.
  for (const Request& it : expired) {
    Fail(it);
  }
}

void GroupClient::Fail(const Request& aRequest)
{
  if (aRequest.uncertain || aRequest.waiting) {
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

void GroupClient::Flush()
{
  for (auto& [id, request] : mRequests) {
    const bool again = mTimers.Now() - request.sentAt >= mSettings.resend;
    if (!request.waiting || request.sentTo != mLeader || again) {
      SendRequest(id, request);
    }
  }
}

void GroupClient::SendRequest(std::uint64_t aId, Request& aRequest)
{
  aRequest.waiting = true;
  // A link may repeat or delay a message, so even a refusal does not call it back.
  aRequest.uncertain = aRequest.uncertain || (mLeader != mSelf && !aRequest.query);
  aRequest.sentTo = mLeader;
  aRequest.sentAt = mTimers.Now();
  proto::GroupMessage message;
  message.set_group(mGroup.Text());
  message.mutable_request()->set_id(aId);
  message.mutable_request()->set_query(aRequest.query);
  message.mutable_request()->set_payload(aRequest.payload);
  mSend(mLeader, message);
}

void GroupClient::SetVoters(const Configuration& aVoters)
{
  for (const Member& it : aVoters.voters) {
    if (std::find(mVoters.begin(), mVoters.end(), it.host) == mVoters.end()) {
      mVoters.push_back(it.host);
    }
  }
}

void GroupClient::Probe()
{
  for (const core::HostId& host : mVoters) {
    if (host != mSelf) {
      ProbeHost(host);
    }
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

void GroupClient::LeaderHeard(const core::HostId& aLeader, core::Term aTerm)
{
  if (aTerm < mTerm) {
    return;
  }
  if (aLeader != mLeader) {
    mConfirmed = false;
  }
  mTerm = aTerm;
  mLeader = aLeader;
  const bool wasConfirmed = std::exchange(mConfirmed, true);
  if (!wasConfirmed && !mRequests.empty()) {
    Wake();
  }
}

void GroupClient::HandleNotice(const core::HostId& aFrom, const proto::LeaderNotice& aNotice)
{
  const core::HostId leader(aNotice.leader());
  if (leader.Empty()) {
    return;
  }
  if (leader == aFrom) {
    LeaderHeard(leader, core::Term(aNotice.term()));
    return;
  }
  if (!mConfirmed && core::Term(aNotice.term()) >= mTerm) {
    mLeader = leader; // A hint only: the probes ask it too.
  }
}

void GroupClient::HandleReply(const core::HostId& aFrom, const proto::GroupReply& aReply)
{
  const auto it = mRequests.find(aReply.id());
  if (it == mRequests.end()) {
    return;
  }
  if (aReply.refused() || aReply.unknown()) {
    it->second.uncertain = it->second.uncertain || aReply.unknown();
    if (it->second.sentTo == aFrom) {
      it->second.waiting = false;
      mConfirmed = mConfirmed && mLeader != aFrom;
    }
    return;
  }
  const Group::Completion done = std::move(it->second.done);
  mRequests.erase(it);
  done(std::string(aReply.answer()));
}

} // namespace cuminfield::process::log
