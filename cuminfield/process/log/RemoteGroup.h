#pragma once

#include "cuminfield/process/log/Group.h"
#include "cuminfield/process/log/GroupClient.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <sigc++/sigc++.h>

#include <vector>

namespace cuminfield::process::log {

/// Construction parameters of RemoteGroup.
struct RemoteGroupOptions
{
  core::GroupId group;
  core::HostId self;
  std::vector<core::HostId> voters; ///< The group's hosts in the settings.
  peer::PeerLinks& peers;
  core::TimerService& timers;
  GroupClientSettings settings;
};

/// A group on a host that does not vote in it: all requests go to the voters over Channel::Group.
class RemoteGroup
  : public Group
  , public sigc::trackable
{
public:
  explicit RemoteGroup(RemoteGroupOptions aOptions);

  void Propose(std::string aCommand, core::Duration aTimeout, Completion aDone) override;
  void Query(std::string aQuery, core::Duration aTimeout, Completion aDone) override;
  core::HostId Leader() const override { return mClient.Leader(); }

private:
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);

  const core::GroupId mGroup;
  GroupClient mClient;
  core::TimerHandle mProbeTimer; ///< Keeps the leader known to other parts, which send to it.
};

} // namespace cuminfield::process::log
