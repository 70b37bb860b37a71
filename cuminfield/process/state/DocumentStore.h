#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/GroupClock.h"
#include "cuminfield/process/state/state.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// The environments' documents with their revisions, and the version moves' states. Keeps texts as
/// they are and parses none: hosts check a text before they propose it, and replicas of different
/// versions of the program must not disagree. See docs/design/Documents.md. Deterministic; driven
/// by the group's log.
class DocumentStore
{
public:
  /// Fixed for the life of a group.
  struct Settings
  {
    core::Bytes maxText{ 4 * 1024 * 1024 };
    std::size_t maxEnvironments = 100;
    std::size_t maxMoves = 1000; ///< Of one environment; done and undone ones stay.
    std::size_t maxAnswers = 1000;
  };

  /// aClock is the group's; it must outlive this and be advanced before each call.
  DocumentStore(const GroupClock& aClock, Settings aSettings);

  /// Accepts a text that follows the revision in force. A resent request gets its first answer.
  proto::DocumentAnswer Apply(const proto::ApplyDocument& aCommand);

  /// Accepts the text in force of one environment for another, when both are as the operator saw.
  proto::DocumentAnswer Promote(const proto::PromoteDocument& aCommand);

  /// Records a step of a version move. A resent step gets ACCEPTED again.
  proto::MoveAnswer Step(const proto::MoveStep& aCommand);

  /// One environment with text and moves.
  proto::EnvironmentFound Lookup(const proto::EnvironmentLookup& aQuery) const;

  /// Every environment's revision.
  proto::Revisions List() const;

  proto::DocumentSnapshot Snapshot() const;
  void Restore(const proto::DocumentSnapshot& aSnapshot);

private:
  /// What an operator asks for, whichever way the text came.
  struct Change
  {
    std::string environment;
    std::uint64_t base = 0;
    std::string by;
    std::string requestId;
    std::string text;
  };

  struct Environment
  {
    proto::EnvironmentRecord record; ///< Without moves.
    std::map<std::string, proto::MoveRecord> moves;
  };

  proto::EnvironmentRecord Whole(const Environment& aEnvironment) const;
  const proto::RememberedAnswer* Remembered(const std::string& aRequestId) const;
  proto::DocumentAnswer Decide(const Change& aChange);
  proto::DocumentAnswer Accept(const Change& aChange);
  proto::DocumentAnswer InForce(proto::DocumentVerdict aVerdict, const std::string& aName) const;
  bool Valid(const Change& aChange) const;
  proto::DocumentAnswer Remember(const std::string& aRequestId, std::uint64_t aContentHash,
                                 const proto::DocumentAnswer& aAnswer);
  void ForgetOldest();
  bool IsInForce(const proto::RememberedAnswer& aAnswer) const;

  const GroupClock& mClock;
  Settings mSettings;
  std::map<std::string, Environment> mEnvironments;
  std::deque<proto::RememberedAnswer> mAnswers; ///< Oldest first.
};

} // namespace cuminfield::process::state
