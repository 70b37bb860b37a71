#include "UnitTests/process/state/StateTest.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace cuminfield;
using namespace cuminfield::unit_tests::state;

namespace {

struct RegisterOracle
{
  /// Checks that the versions of a register increase by one and that each has one value.
  struct HistoryChecker
  {
    std::map<std::string, std::uint64_t> versions;
    std::map<std::string, std::string> values;

    bool IsConsistent(const proto::Command& aCommand, const proto::Answer& aAnswer)
    {
      if (aAnswer.written().verdict() != proto::REGISTER_VERDICT_WRITTEN) {
        return true;
      }
      const proto::RegisterRecord& record = aAnswer.written().record();
      const std::string key = record.name() + "/" + std::to_string(record.version());
      const std::string& value = aCommand.write_register().value();
      if (!values.try_emplace(key, value).second) {
        return values[key] == value;
      }
      return record.version() == ++versions[record.name()];
    }
  };

  std::map<std::string, std::uint64_t> versions;
  std::map<std::string, std::uint64_t> fencingNumbers;
  std::map<std::string, std::string> lastWrites; ///< Last accepted write of each register.

  proto::Command RandomCommand() const
  {
    proto::Command command;
    command.set_now(kStartMicros);
    proto::WriteRegister& write = *command.mutable_write_register();
    write.set_name(OneOf({ "judge", "other" }));
    const auto it = versions.find(write.name());
    const std::uint64_t lag = *rc::gen::inRange(0, 4) == 0 ? 1 : 0;
    write.set_base_version((it == versions.end() ? 0 : it->second) - lag);
    write.set_value(OneOf({ "a", "b" }));
    write.set_fencing(*rc::gen::inRange(3, 6));
    return command;
  }

  std::string Predict(const proto::Command& aCommand)
  {
    const proto::WriteRegister& write = aCommand.write_register();
    const std::string& name = write.name();
    const std::string bytes = write.SerializeAsString();
    if (versions[name] > 0 && lastWrites[name] == bytes) {
      return "WRITTEN " + std::to_string(versions[name]);
    }
    if (write.fencing() < fencingNumbers[name]) {
      return "OLD_FENCING " + std::to_string(versions[name]);
    }
    if (write.base_version() != versions[name]) {
      return "CONFLICT " + std::to_string(versions[name]);
    }
    lastWrites[name] = bytes;
    fencingNumbers[name] = write.fencing();
    return "WRITTEN " + std::to_string(++versions[name]);
  }

  static std::string Describe(const proto::Answer& aAnswer)
  {
    const char* const verdicts[] = { "NONE", "WRITTEN", "CONFLICT", "OLD_FENCING", "INVALID" };
    return std::string(verdicts[aAnswer.written().verdict()]) + " " +
           std::to_string(aAnswer.written().record().version());
  }
};

} // namespace

TEST_GROUP(RegisterStore){};

TEST(RegisterStore, AgreesWithOracle)
{
  CHECK(AgreesWithOracle<RegisterOracle>({}, {}));
}

TEST(RegisterStore, OracleDetectsLostFencingNumber)
{
  CHECK(!AgreesWithOracle<RegisterOracle>(
    {}, { .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
           auto& registers = *aSnapshot.mutable_registers();
           for (auto& record : *registers.mutable_records()) {
             record.set_fencing(0);
           }
         } }));
}

TEST(RegisterStore, RejectsTooLargeValues)
{
  GroupStateMachine machine({});
  proto::Command command;
  command.mutable_write_register()->set_name("judge");
  command.mutable_write_register()->set_value(std::string(4097, 'x'));
  CHECK(machine.ExecuteCommand(command).written().verdict() == proto::REGISTER_VERDICT_INVALID);
  command.mutable_write_register()->set_value(std::string(4096, 'x'));
  CHECK(machine.ExecuteCommand(command).written().verdict() == proto::REGISTER_VERDICT_WRITTEN);
  proto::Query query;
  query.mutable_read_register()->set_name("judge");
  LONGS_EQUAL(1, machine.ExecuteQuery(query).found_register().record().version());
}
