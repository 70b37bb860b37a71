#include "cuminfield/process/log/RemoteGroup.h"

#include <utility>

namespace cuminfield::process::log {

RemoteGroup::RemoteGroup(RemoteGroupOptions aOptions)
  : mGroup(aOptions.group)
  , mClient(
      { .group = aOptions.group,
        .self = aOptions.self,
        .voters = std::move(aOptions.voters),
        .timers = aOptions.timers,
        .send =
          [&peers = aOptions.peers](const core::HostId& aTo, const proto::GroupMessage& aMessage) {
            peers.Send(
              aTo, { .channel = peer::Channel::Group, .payload = aMessage.SerializeAsString() });
          },
        .settings = aOptions.settings })
{
  aOptions.peers.OnMessage().connect(sigc::mem_fun(*this, &RemoteGroup::OnMessage));
  mProbeTimer = aOptions.timers.ScheduleEvery(aOptions.settings.leaderProbeInterval,
                                              [this] { mClient.ProbeVoters(); });
}

void RemoteGroup::Propose(std::string aCommand, core::Duration aTimeout, Completion aDone)
{
  mClient.Submit(false, std::move(aCommand), aTimeout, std::move(aDone));
}

void RemoteGroup::Query(std::string aQuery, core::Duration aTimeout, Completion aDone)
{
  mClient.Submit(true, std::move(aQuery), aTimeout, std::move(aDone));
}

void RemoteGroup::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  if (aMessage.channel != peer::Channel::Group) {
    return;
  }
  proto::GroupMessage message;
  if (message.ParseFromString(aMessage.payload) && message.group() == mGroup.Text()) {
    mClient.Receive(aFrom, message);
  }
}

} // namespace cuminfield::process::log
