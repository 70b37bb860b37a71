#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// Stores the documents of the environments with their revisions, and the states of version moves.
/// Does not parse the texts: hosts validate a text before they propose it, and replicas that run
/// different versions of the program must not disagree. Deterministic; driven by the group's log.
/// See docs/design/Documents.md.
class DocumentStore
{
public:
  /// Fixed for the lifetime of a group.
  struct Settings
  {
    core::Bytes maxTextSize{ 4 * 1024 * 1024 };
    std::size_t maxEnvironments = 100;
    std::size_t maxMovesPerEnvironment = 1000; ///< Includes moves that are done or rolled back.
    std::size_t maxStoredAnswers = 1000;
  };

  /// aClock is the group's clock. It must outlive the store and be advanced before each call.
  DocumentStore(const GroupClock& aClock, Settings aSettings);

  /// Accepts a text that is based on the current revision. A resent request gets its first answer.
  proto::DocumentAnswer Apply(const proto::ApplyDocument& aCommand);

  /// Accepts the current text of one environment for another one if both environments still have
  /// the revisions that the operator saw.
  proto::DocumentAnswer Promote(const proto::PromoteDocument& aCommand);

  /// Records a step of a version move. A resent step is ACCEPTED again.
  proto::MoveAnswer RecordStep(const proto::MoveStep& aCommand);

  /// Returns an environment with its text and moves.
  proto::EnvironmentFound LookUp(const proto::EnvironmentLookup& aQuery) const;

  /// Returns the revisions of all environments.
  proto::Revisions ListRevisions() const;

  proto::DocumentSnapshot Snapshot() const;
  void Restore(const proto::DocumentSnapshot& aSnapshot);

private:
  /// An operator's change, either applied directly or promoted from another environment.
  struct Change
  {
    std::string environment;
    std::uint64_t baseRevision = 0;
    std::string operatorName;
    std::string requestId;
    std::string text;
  };

  struct Environment
  {
    proto::EnvironmentRecord record; ///< Without moves.
    std::map<std::string, proto::MoveRecord> moves;
  };

  proto::EnvironmentRecord MakeCompleteRecord(const Environment& aEnvironment) const;
  const proto::RememberedAnswer* FindStoredAnswer(const std::string& aRequestId) const;
  proto::DocumentAnswer AcceptIfCurrent(const Change& aChange);
  proto::DocumentAnswer Accept(const Change& aChange);
  proto::DocumentAnswer MakeCurrentAnswer(proto::DocumentVerdict aVerdict,
                                          const std::string& aName) const;
  bool IsValid(const Change& aChange) const;
  proto::DocumentAnswer StoreAnswer(const std::string& aRequestId, std::uint64_t aContentHash,
                                    const proto::DocumentAnswer& aAnswer);
  void EvictOldestAnswer();
  bool IsForCurrentRevision(const proto::RememberedAnswer& aAnswer) const;

  const GroupClock& mClock;
  Settings mSettings;
  std::map<std::string, Environment> mEnvironments;
  std::deque<proto::RememberedAnswer> mStoredAnswers; ///< Oldest first.
};

} // namespace cuminfield::process::state
