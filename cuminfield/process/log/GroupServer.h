#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/ReplicatedLog.h"
#include "cuminfield/process/log/StateMachine.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cuminfield::process::log {

/// Construction parameters of GroupServer.
struct GroupServerOptions
{
  core::GroupId group;
  core::HostId self;
  ReplicatedLog& log;
  StateMachine& stateMachine;
  std::function<void(const core::HostId&, const proto::GroupMessage&)> send;
};

/// Serves the requests that a leader has accepted until they are committed or surely never will be.
class GroupServer
{
public:
  explicit GroupServer(GroupServerOptions aOptions);

  /// Handles a request or a probe.
  void Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage, core::Instant aNow);

  /// Applies a committed entry and replies to the request that proposed it.
  void Apply(const proto::Entry& aEntry);

  /// Replaces the state by that of a snapshot.
  void Restore(const proto::Snapshot& aSnapshot);

  /// Replies to the reads that the log has confirmed or failed.
  void CompleteReads();

  /// Index of the last entry applied to the state machine.
  core::LogIndex AppliedIndex() const { return core::LogIndex(mAppliedIndex); }

private:
  using RequestKey = std::pair<core::HostId, std::uint64_t>; ///< Host and its request id.
  struct PendingRead
  {
    RequestKey request;
    std::string query;
  };

  void HandleProposal(const RequestKey& aRequest, const std::string& aCommand, core::Instant aNow);
  void HandleQuery(const RequestKey& aRequest, const std::string& aQuery, core::Instant aNow);
  void CompleteProposals(const proto::Entry& aEntry, const std::string& aResult);
  void ReplyResult(const RequestKey& aRequest, const std::string& aResult);
  void ReplyRejected(const RequestKey& aRequest);
  void ReplyUnknown(const RequestKey& aRequest);
  void SendNotice(const core::HostId& aTo);

  const core::GroupId mGroup;
  const core::HostId mSelf;
  ReplicatedLog& mLog;
  StateMachine& mStateMachine;
  const std::function<void(const core::HostId&, const proto::GroupMessage&)> mSend;

  std::uint64_t mAppliedIndex = 0;
  std::map<LogPosition, RequestKey> mPendingProposals;
  std::set<RequestKey> mProposedRequests; ///< Keys of mPendingProposals, to drop repeated requests.
  std::map<std::uint64_t, PendingRead> mPendingReads; ///< By id of the read.
  std::uint64_t mNextReadId = 1;
};

} // namespace cuminfield::process::log
