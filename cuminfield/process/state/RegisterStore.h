#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/state/state.pb.h"

#include <cstddef>
#include <map>
#include <string>

namespace cuminfield::process::state {

/// Stores named values that are written by compare-and-set. The holder of a lease uses them to
/// store state for its successor, such as the state of a data centre's evaluator. The group does
/// not interpret the values. Deterministic; driven by the group's log.
class RegisterStore
{
public:
  /// Fixed for the lifetime of a group.
  struct Settings
  {
    core::Bytes maxValueSize{ 4 * 1024 };
    std::size_t maxRegisters = 10'000;
  };

  explicit RegisterStore(Settings aSettings);

  /// Writes a value that is based on the current version. A resent write is WRITTEN again.
  proto::RegisterAnswer Write(const proto::WriteRegister& aCommand);

  proto::RegisterFound LookUp(const proto::RegisterLookup& aQuery) const;

  proto::RegisterSnapshot Snapshot() const;
  void Restore(const proto::RegisterSnapshot& aSnapshot);

private:
  bool IsValid(const proto::WriteRegister& aCommand) const;

  Settings mSettings;
  std::map<std::string, proto::RegisterRecord> mRecords;
};

} // namespace cuminfield::process::state
