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

/// Construction parameters of GroupClient.
struct GroupClientOptions
{
  core::GroupId group;
  core::HostId self;                ///< Messages to this host are delivered once and in order.
  std::vector<core::HostId> voters; ///< The group's hosts in the settings.
  core::TimerService& timers;
  std::function<void(const core::HostId&, const proto::GroupMessage&)> send;
  GroupClientSettings settings;
};

/// Sends the requests of one host to the leader of a group. Finds the leader and sends each request
/// again on message loss or a change of leader until it completes.
///
/// A command is only sent to a host whose own messages show that it leads. While no leader is
/// found, the command was surely not applied and fails as Unavailable. Once it was sent over a
/// link, a late copy may still be applied, and it fails as Timeout.
class GroupClient
{
public:
  explicit GroupClient(GroupClientOptions aOptions);

  /// Submits a request; aDone is called later from the event loop.
  void Submit(bool aQuery, std::string aPayload, core::Duration aTimeout, Group::Completion aDone);

  /// Handles a reply or a notice of the leader.
  void Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage);

  /// Asks the voters who leads, so that the leader is known before the first request.
  void ProbeVoters();

  /// Records that a message from aLeader itself shows that it leads in aTerm.
  void ConfirmLeader(const core::HostId& aLeader, core::Term aTerm);

  /// Marks the leader as lost until it is confirmed again.
  void UnconfirmLeader() { mLeaderConfirmed = false; }

  /// Adds the current voters of an open group to those of the settings.
  void AddVoters(const Configuration& aVoters);

  /// The leader as last reported; empty when unknown.
  const core::HostId& Leader() const { return mLeader; }

private:
  struct Request
  {
    bool isQuery = false;
    std::string payload;
    core::Instant deadline;
    Group::Completion done;
    bool awaitingReply = false; ///< Sent and not replied to yet.
    bool mayBeApplied = false;  ///< A copy of the command may still be applied.
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
  std::uint64_t mNextId; ///< Starts at wall-clock time to differ from earlier incarnations' ids.
  core::HostId mLeader;
  core::Term mTerm;
  bool mLeaderConfirmed = false; ///< mLeader's own messages show that it leads.
  core::TimerHandle mTickTimer;
  core::TimerHandle mSendTimer;
};

} // namespace cuminfield::process::log
