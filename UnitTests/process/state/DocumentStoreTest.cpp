#include "UnitTests/process/state/StateTest.h"
#include "cuminfield/process/state/DocumentFollower.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace cuminfield;
using namespace cuminfield::unit_tests::state;
using process::state::DocumentFollower;
using process::state::UpdateResult;

namespace {

GroupStateMachine::Settings MakeDocumentSettings()
{
  GroupStateMachine::Settings settings;
  settings.kind = GroupKind::Documents;
  return settings;
}

/// One letter per state: none, waiting, loading, canary, advancing, done, undoing, undone.
constexpr char kStateLetters[] = "-WLCADUX";
const std::set<std::string> kAllowedTransitions = { "-W", "-L", "-U", "-X", "WW", "WL", "WU",
                                                    "WX", "LL", "LC", "LU", "LX", "CC", "CA",
                                                    "CU", "AA", "AD", "AU", "UU", "UX" };

struct DocumentOracle
{
  /// Checks that accepted revisions increase by one and that the state of a finished move is final.
  struct HistoryChecker
  {
    std::map<std::string, std::uint64_t> revisions;
    std::map<std::string, std::string> requestIds;
    std::map<std::string, proto::MoveState> finalStates;

    bool IsConsistent(const proto::Command& aCommand, const proto::Answer& aAnswer)
    {
      if (aAnswer.has_move() && aAnswer.move().verdict() == proto::MOVE_VERDICT_ACCEPTED) {
        const proto::MoveStep& step = aCommand.move_step();
        const std::string move = step.environment() + "/" + step.move();
        if (step.state() == proto::MOVE_STATE_DONE || step.state() == proto::MOVE_STATE_UNDONE) {
          finalStates.try_emplace(move, step.state());
        }
        return !finalStates.contains(move) || finalStates[move] == step.state();
      }
      if (aAnswer.document().verdict() != proto::DOCUMENT_VERDICT_ACCEPTED) {
        return true;
      }
      const std::string request = aCommand.has_apply_document()
                                    ? aCommand.apply_document().request_id()
                                    : aCommand.promote_document().request_id();
      const std::string& environment = aAnswer.document().environment();
      const std::string key = environment + "/" + std::to_string(aAnswer.document().revision());
      if (!requestIds.try_emplace(key, request).second) {
        return requestIds[key] == request;
      }
      return aAnswer.document().revision() == ++revisions[environment];
    }
  };

  struct Environment
  {
    std::uint64_t revision = 0;
    std::string text;
    std::string operatorName;
  };

  struct Move
  {
    std::string lastStep; ///< Encoded step that led to this state.
    std::uint64_t revision = 0;
    std::uint64_t step = 0;
    char state = '-';
    std::uint32_t share = 0;
    std::uint64_t fencing = 0;
  };

  std::int64_t now = 0;
  std::map<std::string, Environment> environments;
  std::map<std::string, Move> moves;
  std::map<std::string, std::pair<std::string, std::string>> answers;

  std::uint64_t CurrentRevision(const std::string& aName) const
  {
    return environments.contains(aName) ? environments.at(aName).revision : 0;
  }

  proto::Command RandomCommand() const
  {
    proto::Command command;
    command.set_now(RandomTime(now));
    const std::string environment = OneOf({ "trial", "production" });
    const std::uint64_t lag = *rc::gen::inRange(0, 4) == 0 ? 1 : 0;
    const std::string request = "r" + std::to_string(*rc::gen::inRange(0, 40));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        command.mutable_promote_document()->set_from("trial");
        command.mutable_promote_document()->set_to("production");
        command.mutable_promote_document()->set_base_revision(CurrentRevision("production"));
        command.mutable_promote_document()->set_from_revision(CurrentRevision("trial") - lag);
        command.mutable_promote_document()->set_operator_name("ann");
        command.mutable_promote_document()->set_request_id(request);
        break;
      case 1:
        command.mutable_apply_document()->set_environment(environment);
        command.mutable_apply_document()->set_base_revision(CurrentRevision(environment) - lag);
        command.mutable_apply_document()->set_operator_name(OneOf({ "ann", "bob" }));
        command.mutable_apply_document()->set_request_id(request);
        command.mutable_apply_document()->set_text(OneOf({ "t1", "t2" }));
        break;
      default:
        FillRandomStep(environment, *command.mutable_move_step());
        break;
    }
    return command;
  }

  void FillRandomStep(const std::string& aEnvironment, proto::MoveStep& aStep) const
  {
    const std::string name = OneOf({ "winter", "spring" });
    const auto it = moves.find(aEnvironment + "/" + name);
    const Move move = it == moves.end() ? Move() : it->second;
    aStep.set_environment(aEnvironment);
    aStep.set_move(name);
    aStep.set_revision(CurrentRevision(aEnvironment) - (*rc::gen::inRange(0, 8) == 0 ? 1 : 0));
    aStep.set_base_step(move.step - (*rc::gen::inRange(0, 8) == 0 ? 1 : 0));
    const int state = *rc::gen::inRange(0, 8);
    aStep.set_state(static_cast<proto::MoveState>(state));
    const std::uint32_t usualShares[] = { 0, 0, 0, 20, 500, 1000, 0, 0 };
    aStep.set_share_per_mille(*rc::gen::inRange(0, 6) == 0 ? 60 : usualShares[state]);
    aStep.set_fencing(*rc::gen::elementOf(std::vector<int>{ 5, 5, 5, 5, 4, 6 }));
  }

  std::string Predict(const proto::Command& aCommand)
  {
    now = std::max(now, aCommand.now());
    if (aCommand.has_move_step()) {
      return Step(aCommand.move_step());
    }
    const bool apply = aCommand.has_apply_document();
    const std::string request =
      apply ? aCommand.apply_document().request_id() : aCommand.promote_document().request_id();
    proto::PromoteDocument promote = aCommand.promote_document();
    promote.clear_from_revision();
    const std::string content =
      apply ? aCommand.apply_document().SerializeAsString() : promote.SerializeAsString();
    if (answers.contains(request)) {
      return answers[request].first == content ? answers[request].second : "REQUEST_REUSED  0 ";
    }
    if (!apply && !environments.contains("trial")) {
      return "NOT_FOUND  0 ";
    }
    answers[request] = { content, apply ? Apply(aCommand.apply_document())
                                        : Promote(aCommand.promote_document()) };
    return answers[request].second;
  }

  std::string Apply(const proto::ApplyDocument& aCommand)
  {
    return Accept(aCommand.environment(), aCommand.base_revision(),
                  { .text = aCommand.text(), .operatorName = aCommand.operator_name() });
  }

  std::string Promote(const proto::PromoteDocument& aCommand)
  {
    const Environment& from = environments["trial"];
    if (from.revision != aCommand.from_revision()) {
      return "CONFLICT trial " + std::to_string(from.revision) + " " + from.operatorName;
    }
    return Accept("production", aCommand.base_revision(),
                  { .text = from.text, .operatorName = aCommand.operator_name() });
  }

  std::string Accept(const std::string& aName, std::uint64_t aBase, Environment aNext)
  {
    const bool conflict = CurrentRevision(aName) != aBase;
    if (!conflict) {
      aNext.revision = aBase + 1;
      environments[aName] = aNext;
    }
    const std::string by = environments.contains(aName) ? environments[aName].operatorName : "";
    return (conflict ? "CONFLICT " : "ACCEPTED ") + aName + " " +
           std::to_string(CurrentRevision(aName)) + " " + by;
  }

  std::string Step(const proto::MoveStep& aStep)
  {
    if (!environments.contains(aStep.environment())) {
      return "NOT_FOUND 0 0";
    }
    const std::string key = aStep.environment() + "/" + aStep.move();
    Move move = moves.contains(key) ? moves[key] : Move();
    const std::string verdict = CheckStep(move, aStep);
    if (verdict == "ACCEPTED" && move.lastStep != aStep.SerializeAsString()) {
      move = { .lastStep = aStep.SerializeAsString(),
               .revision = aStep.revision(),
               .step = move.step + 1,
               .state = kStateLetters[aStep.state()],
               .share = aStep.share_per_mille(),
               .fencing = aStep.fencing() };
      moves[key] = move;
    }
    return verdict + " " + std::to_string(move.step) + " " + std::to_string(move.share);
  }

  std::string CheckStep(const Move& aMove, const proto::MoveStep& aStep) const
  {
    if (aMove.lastStep == aStep.SerializeAsString() && aMove.step > 0) {
      return "ACCEPTED";
    }
    if (aStep.fencing() < aMove.fencing) {
      return "OLD_FENCING";
    }
    if (aStep.base_step() != aMove.step) {
      return "CONFLICT";
    }
    if (aStep.revision() < aMove.revision ||
        aStep.revision() > CurrentRevision(aStep.environment())) {
      return "WRONG_REVISION";
    }
    const char state = kStateLetters[aStep.state()];
    if (!kAllowedTransitions.contains({ aMove.state, state })) {
      return "ILLEGAL";
    }
    const std::uint32_t share = aStep.share_per_mille();
    const std::map<char, bool> allowed = { { 'W', share == 0 },    { 'L', share == 0 },
                                           { 'C', share <= 50 },   { 'A', share <= 1000 },
                                           { 'D', share == 1000 }, { 'U', share <= aMove.share },
                                           { 'X', share == 0 } };
    return allowed.at(state) ? "ACCEPTED" : "INVALID";
  }

  static std::string Describe(const proto::Answer& aAnswer)
  {
    if (aAnswer.has_move()) {
      const proto::MoveAnswer& answer = aAnswer.move();
      const char* const verdicts[] = { "NONE",     "ACCEPTED",       "ILLEGAL",   "OLD_FENCING",
                                       "CONFLICT", "WRONG_REVISION", "NOT_FOUND", "INVALID" };
      return std::string(verdicts[answer.verdict()]) + " " +
             std::to_string(answer.record().step()) + " " +
             std::to_string(answer.record().share_per_mille());
    }
    const proto::DocumentAnswer& answer = aAnswer.document();
    const char* const verdicts[] = { "NONE",           "ACCEPTED",  "CONFLICT",
                                     "REQUEST_REUSED", "NOT_FOUND", "INVALID" };
    return std::string(verdicts[answer.verdict()]) + " " + answer.environment() + " " +
           std::to_string(answer.revision()) + " " + answer.by();
  }
};

bool IsDetected(const InjectedFault& aFault)
{
  return !AgreesWithOracle<DocumentOracle>(MakeDocumentSettings(), aFault);
}

proto::DocumentAnswer Apply(GroupStateMachine& aMachine, std::uint64_t aBase,
                            const std::string& aRequest)
{
  proto::Command command;
  command.set_now(kStartMicros);
  command.mutable_apply_document()->set_environment("trial");
  command.mutable_apply_document()->set_base_revision(aBase);
  command.mutable_apply_document()->set_operator_name("ann");
  command.mutable_apply_document()->set_request_id(aRequest);
  return aMachine.ExecuteCommand(command).document();
}

} // namespace

TEST_GROUP(DocumentStore){};

TEST(DocumentStore, AgreesWithOracle)
{
  CHECK(AgreesWithOracle<DocumentOracle>(MakeDocumentSettings(), {}));
}

TEST(DocumentStore, OracleDetectsLostAnswers)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      aSnapshot.mutable_documents()->clear_answers();
                    } }));
}

TEST(DocumentStore, OracleDetectsIgnoredBaseRevision)
{
  const auto latest = std::make_shared<std::map<std::string, std::uint64_t>>();
  CHECK(IsDetected({ .alterCommand =
                       [latest](proto::Command& aCommand) {
                         if (aCommand.has_apply_document()) {
                           auto& apply = *aCommand.mutable_apply_document();
                           apply.set_base_revision((*latest)[apply.environment()]);
                         }
                       },
                     .alterSnapshot =
                       [latest](proto::Snapshot& aSnapshot) {
                         latest->clear();
                         for (const auto& record : aSnapshot.documents().environments()) {
                           (*latest)[record.environment()] = record.revision();
                         }
                       } }));
}

TEST(DocumentStore, OracleDetectsRestartedMove)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      for (auto& record : *aSnapshot.mutable_documents()->mutable_environments()) {
                        for (proto::MoveRecord& move : *record.mutable_moves()) {
                          if (move.state() == proto::MOVE_STATE_UNDONE) {
                            move.set_state(proto::MOVE_STATE_ADVANCING);
                          }
                        }
                      }
                    } }));
}

TEST(DocumentStore, StoresAnswerForCurrentRevisionBeyondLimit)
{
  GroupStateMachine::Settings settings = MakeDocumentSettings();
  settings.documents.maxStoredAnswers = 3;
  GroupStateMachine machine(settings);
  CHECK(Apply(machine, 0, "accepted").verdict() == proto::DOCUMENT_VERDICT_ACCEPTED);
  for (int i = 0; i < 10; ++i) {
    CHECK(Apply(machine, 0, "late" + std::to_string(i)).verdict() ==
          proto::DOCUMENT_VERDICT_CONFLICT);
  }
  const proto::DocumentAnswer resent = Apply(machine, 0, "accepted");
  CHECK(resent.verdict() == proto::DOCUMENT_VERDICT_ACCEPTED);
  LONGS_EQUAL(1, resent.revision());
}

TEST(DocumentStore, QueriesReturnRecordAndRevisions)
{
  GroupStateMachine machine(MakeDocumentSettings());
  Apply(machine, 0, "r1");
  proto::Query query;
  query.mutable_environment()->set_environment("trial");
  LONGS_EQUAL(1, machine.ExecuteQuery(query).environment().record().revision());
  query.mutable_revisions();
  LONGS_EQUAL(1, machine.ExecuteQuery(query).revisions().environments_size());
}

TEST_GROUP(DocumentFollower){};

TEST(DocumentFollower, RevisionNeverDecreases)
{
  const auto property = [] {
    DocumentFollower follower;
    std::uint64_t highest = 0;
    for (const auto offer : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20))) {
      const auto revision = static_cast<std::uint64_t>(offer);
      const UpdateResult result =
        follower.Update(core::Revision(revision), "t" + std::to_string(revision));
      RC_ASSERT((result == UpdateResult::Accepted) == (revision > highest));
      highest = std::max(highest, revision);
      RC_ASSERT(follower.CurrentRevision() == core::Revision(highest));
      RC_ASSERT(follower.CurrentText() == "t" + std::to_string(highest));
    }
  };
  CHECK(HoldsInEveryRun(property, false));
}

TEST(DocumentFollower, IgnoresDifferentTextOfSameRevision)
{
  DocumentFollower follower;
  CHECK(follower.Update(core::Revision(3), "a") == UpdateResult::Accepted);
  CHECK(follower.Update(core::Revision(3), "a") == UpdateResult::Unchanged);
  CHECK(follower.Update(core::Revision(3), "b") == UpdateResult::Conflicting);
  CHECK(follower.Update(core::Revision(2), "c") == UpdateResult::Older);
  STRCMP_EQUAL("a", follower.CurrentText().c_str());
}
