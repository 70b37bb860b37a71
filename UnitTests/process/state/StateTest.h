#pragma once

#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/state/GroupStateMachine.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

/// Runs random commands against a group's state machine and compares it with an oracle that
/// consists of plain maps. Commands are repeated and reordered, clocks jump, and the machine is
/// replaced by one that is restored from its snapshot. An oracle has: RandomCommand() for a command
/// that suits its state, Predict() for the expected answer, Describe() for the compared part of an
/// answer, and a HistoryChecker for the invariants over all answers, independent of the oracle's
/// rules.
namespace cuminfield::unit_tests::state {

namespace proto = process::state::proto;
using process::state::GroupKind;
using process::state::GroupStateMachine;

/// 2026-12-04T04:00:00Z in microseconds.
inline constexpr std::int64_t kStartMicros = 1'796'356'800'000'000;
inline constexpr std::int64_t kMicrosPerSecond = 1'000'000;
inline constexpr std::int64_t kMicrosPerMinute = 60 * kMicrosPerSecond;

/// An injected fault: changes each command before its execution or the state after it.
struct InjectedFault
{
  std::function<void(proto::Command&)> alterCommand;
  std::function<void(proto::Snapshot&)> alterSnapshot;
};

inline void ThrowInvariantError(const char* aName)
{
  throw std::runtime_error(aName);
}

/// The state machine under test, optionally with an injected fault.
class MachineUnderTest
{
public:
  MachineUnderTest(GroupStateMachine::Settings aSettings, InjectedFault aFault)
    : mSettings(aSettings)
    , mFault(std::move(aFault))
    , mMachine(std::make_unique<GroupStateMachine>(mSettings))
  {
  }

  proto::Answer Execute(proto::Command aCommand)
  {
    if (mFault.alterCommand) {
      mFault.alterCommand(aCommand);
    }
    proto::Answer answer;
    const std::string bytes = aCommand.SerializeAsString();
    RC_ASSERT(answer.ParseFromString(mMachine->Apply(core::LogIndex(1), bytes)));
    if (mFault.alterSnapshot) {
      proto::Snapshot snapshot;
      RC_ASSERT(snapshot.ParseFromString(mMachine->Snapshot()));
      mFault.alterSnapshot(snapshot);
      mMachine->Restore(snapshot.SerializeAsString());
    }
    return answer;
  }

  /// Replaces the machine by a new one restored from its snapshot.
  void RestartFromSnapshot()
  {
    const std::string snapshot = mMachine->Snapshot();
    mMachine = std::make_unique<GroupStateMachine>(mSettings);
    mMachine->Restore(snapshot);
    RC_ASSERT(mMachine->Snapshot() == snapshot);
  }

private:
  GroupStateMachine::Settings mSettings;
  InjectedFault mFault;
  std::unique_ptr<GroupStateMachine> mMachine;
};

template<typename Oracle>
struct Model
{
  Oracle oracle;
  std::vector<proto::Command> history;
};

template<typename Oracle>
struct Sut
{
  MachineUnderTest machine;
  typename Oracle::HistoryChecker checker;
};

template<typename Oracle>
class ProposeCommand : public rc::state::Command<Model<Oracle>, Sut<Oracle>>
{
public:
  explicit ProposeCommand(proto::Command aCommand)
    : mCommand(std::move(aCommand))
  {
  }

  void apply(Model<Oracle>& aModel) const override
  {
    aModel.oracle.Predict(mCommand);
    aModel.history.push_back(mCommand);
  }

  void run(const Model<Oracle>& aModel, Sut<Oracle>& aSut) const override
  {
    Oracle oracle = aModel.oracle;
    const std::string expected = oracle.Predict(mCommand);
    const proto::Answer answer = aSut.machine.Execute(mCommand);
    RC_ASSERT(Oracle::Describe(answer) == expected);
    RC_ASSERT(aSut.checker.IsConsistent(mCommand, answer));
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "at " << mCommand.now() - kStartMicros << " kind " << mCommand.kind_case() << " "
            << rc::toString(mCommand.SerializeAsString());
  }

private:
  proto::Command mCommand;
};

template<typename Oracle>
class RestartCommand : public rc::state::Command<Model<Oracle>, Sut<Oracle>>
{
public:
  void run(const Model<Oracle>&, Sut<Oracle>& aSut) const override
  {
    aSut.machine.RestartFromSnapshot();
  }
  void show(std::ostream& aStream) const override { aStream << "restart"; }
};

/// Returns a new command, a repeated earlier one, or a restart.
template<typename Oracle>
std::shared_ptr<const rc::state::Command<Model<Oracle>, Sut<Oracle>>> RandomStep(
  const Model<Oracle>& aModel)
{
  const int choice = *rc::gen::inRange(0, 10);
  if (choice == 0) {
    return std::make_shared<const RestartCommand<Oracle>>();
  }
  if (choice <= 2 && !aModel.history.empty()) {
    const auto index = *rc::gen::inRange<std::size_t>(0, aModel.history.size());
    return std::make_shared<const ProposeCommand<Oracle>>(aModel.history[index]);
  }
  return std::make_shared<const ProposeCommand<Oracle>>(aModel.oracle.RandomCommand());
}

/// Returns true if aProperty holds in every run. Prints the counterexample unless aQuiet.
template<typename Property>
bool HoldsInEveryRun(Property aProperty, bool aQuiet)
{
  core::SetInvariantHandler(ThrowInvariantError);
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.disableShrinking = aQuiet;
  const auto result = rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  core::SetInvariantHandler(nullptr);
  const bool success = result.template is<rc::detail::SuccessResult>();
  if (!success && !aQuiet) {
    rc::detail::printResultMessage(result, std::cerr);
  }
  return success;
}

/// Returns true if machine and oracle agree in every run.
template<typename Oracle>
bool AgreesWithOracle(const GroupStateMachine::Settings& aSettings, const InjectedFault& aFault)
{
  const auto property = [&] {
    Sut<Oracle> sut{ .machine = MachineUnderTest(aSettings, aFault), .checker = {} };
    rc::state::check(Model<Oracle>(), sut, [](const Model<Oracle>& aModel) {
      return rc::gen::exec([aModel] { return RandomStep(aModel); });
    });
  };
  return HoldsInEveryRun(property, aFault.alterCommand || aFault.alterSnapshot);
}

/// Returns a random element of aWords.
inline std::string OneOf(std::vector<std::string> aWords)
{
  return *rc::gen::elementOf(std::move(aWords));
}

/// Returns the wall clock time of the command after aNow: mostly slightly later, sometimes a jump
/// in either direction.
inline std::int64_t RandomTime(std::int64_t aNow)
{
  const std::int64_t step = *rc::gen::elementOf(
    std::vector<std::int64_t>{ 0, 1, kMicrosPerSecond / 2, kMicrosPerSecond, 3 * kMicrosPerSecond,
                               kMicrosPerMinute, -kMicrosPerMinute, 20 * kMicrosPerMinute });
  return std::max(aNow, kStartMicros) + step;
}

} // namespace cuminfield::unit_tests::state
