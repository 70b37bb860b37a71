#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/Configuration.h"
#include "cuminfield/process/log/Group.h"
#include "cuminfield/process/log/GroupClientSettings.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminfield::process::log {

/// How to construct a GroupClient.
struct GroupClientOptions
{
  core::GroupId group;
  core::HostId self;                ///< Messages to it are delivered once and in order.
  std::vector<core::HostId> voters; ///< The group's hosts by the settings.
  core::TimerService& timers;
  std::function<void(const core::HostId&, const proto::GroupMessage&)> send;
  GroupClientSettings settings;
};

/// The requests of one host to a group until they are answered: finds the leader, sends, and sends
/// again on loss or change of leader.
///
/// A command leaves only for a host that was heard to lead. So while no leader can be found a
/// command surely did not run, and fails as Unavailable; once it has left over a link, a late copy
/// may still be applied, and it fails as Timeout.
class GroupClient
{
public:
  explicit GroupClient(GroupClientOptions aOptions);

  /// Takes on a request; its completion comes later from the loop.
  void Submit(bool aQuery, std::string aPayload, core::Duration aTimeout, Group::Completion aDone);

  /// Takes in a reply or a notice of the leader.
  void Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage);

  /// Asks the voters who leads, so that the leader is known without a request.
  void ProbeVoters();

  /// aLeader was heard to lead in aTerm.
  void ConfirmLeader(const core::HostId& aLeader, core::Term aTerm);

  /// The leader was lost.
  void UnconfirmLeader() { mLeaderConfirmed = false; }

  /// The voters of an open group as known now, asked besides those of the settings.
  void AddVoters(const Configuration& aVoters);

  /// Leader as last heard; empty when unknown.
  const core::HostId& Leader() const { return mLeader; }

private:
  struct Request
  {
    bool isQuery = false;
    std::string payload;
    core::Instant deadline;
    Group::Completion done;
    bool awaitingReply = false; ///< Sent, and no answer to it yet.
    bool mayBeApplied = false;  ///< A copy of it may be applied at any time.
    core::HostId sentTo;
    core::Instant sentAt;
  };
  using Requests = std::map<std::uint64_t, Request>;

  void ScheduleSend();
  void Tick();
  void ExpireRequests();
  void FailRequest(const Request& aRequest);
  void SendPendingRequests();
  void SendRequest(std::uint64_t aId, Request& aRequest);
  void ProbeHost(const core::HostId& aHost);
  void HandleReply(const core::HostId& aFrom, const proto::GroupReply& aReply);
  void HandleNotice(const core::HostId& aFrom, const proto::LeaderNotice& aNotice);

  const core::GroupId mGroup;
  const core::HostId mSelf;
  std::vector<core::HostId> mVoters;
  core::TimerService& mTimers;
  const std::function<void(const core::HostId&, const proto::GroupMessage&)> mSend;
  const GroupClientSettings mSettings;

  Requests mRequests;
  std::uint64_t mNextId; ///< Starts at the civil time, so that no earlier life's answer fits.
  core::HostId mLeader;
  core::Term mTerm;
  bool mLeaderConfirmed =
    false; ///< mLeader itself was heard to lead, and nothing since speaks against.
  core::TimerHandle mTickTimer;
  core::TimerHandle mSendTimer;
};

} // namespace cuminfield::process::log
