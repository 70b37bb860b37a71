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

/// How to construct a GroupServer.
struct GroupServerOptions
{
  core::GroupId group;
  core::HostId self;
  ReplicatedLog& log;
  StateMachine& machine;
  std::function<void(const core::HostId&, const proto::GroupMessage&)> send;
};

/// The requests that a leader has taken up, until they are committed or surely never will be.
class GroupServer
{
public:
  explicit GroupServer(GroupServerOptions aOptions);

  /// Takes in a request or a probe.
  void Receive(const core::HostId& aFrom, const proto::GroupMessage& aMessage, core::Instant aNow);

  /// Applies a committed entry and answers the request that it came from.
  void Apply(const proto::Entry& aEntry);

  /// Replaces the state by a snapshot's.
  void Restore(const proto::Snapshot& aSnapshot);

  /// Answers the reads that the log has confirmed or given up.
  void AnswerReads();

  /// Last entry that the state machine has applied.
  core::LogIndex Applied() const { return core::LogIndex(mApplied); }

private:
  using Asker = std::pair<core::HostId, std::uint64_t>; ///< Host and its request id.
  struct Read
  {
    Asker asker;
    std::string query;
  };

  void TakeProposal(const Asker& aAsker, const std::string& aCommand, core::Instant aNow);
  void TakeQuery(const Asker& aAsker, const std::string& aQuery, core::Instant aNow);
  void SettleProposals(const proto::Entry& aEntry, const std::string& aAnswer);
  void Answer(const Asker& aAsker, const std::string& aAnswer);
  void Refuse(const Asker& aAsker);
  void ReportUnknown(const Asker& aAsker);
  void SendNotice(const core::HostId& aTo);

  const core::GroupId mGroup;
  const core::HostId mSelf;
  ReplicatedLog& mLog;
  StateMachine& mMachine;
  const std::function<void(const core::HostId&, const proto::GroupMessage&)> mSend;

  std::uint64_t mApplied = 0;
  std::map<LogPosition, Asker> mProposals;
  std::set<Asker> mProposed;            ///< Their askers: a repeated request is dropped.
  std::map<std::uint64_t, Read> mReads; ///< By id of the read.
  std::uint64_t mNextRead = 1;
};

} // namespace cuminfield::process::log
