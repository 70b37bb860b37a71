#include "TestFramework/upstream/Faults.h"

namespace cuminfield::test_framework::upstream {

namespace {

core::Result<void> ReadFault(FaultSettings& aSettings, const std::string& aKey,
                             const nlohmann::json& aValue)
{
  if (aKey == "path") {
    aSettings.path = aValue.get<std::string>();
    return core::Success();
  }
  const auto number = aValue.get<double>();
  if (aKey == "fail") {
    aSettings.fail = number;
  } else if (aKey == "slow") {
    aSettings.slow = number;
  } else if (aKey == "stall") {
    aSettings.stall = number;
  } else if (aKey == "late") {
    aSettings.late = number;
  } else if (aKey == "late_ms") {
    aSettings.lateBy = core::Duration(static_cast<std::int64_t>(number * 1'000));
  } else if (aKey == "crossed") {
    aSettings.crossed = number;
  } else if (aKey == "refuse") {
    aSettings.refuse = number;
  } else if (aKey == "close") {
    aSettings.close = number;
  } else if (aKey == "above") {
    aSettings.above = static_cast<std::size_t>(number);
  } else {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "unknown fault '" + aKey + "'; see TestFramework/upstream/Faults.h");
  }
  return core::Success();
}

} // namespace

core::Result<FaultSettings> ParseFaults(const nlohmann::json& aJson)
{
  FaultSettings settings;
  if (!aJson.is_object()) {
    return core::Fail(core::ErrorKind::InvalidSettings, "faults are no object; send one");
  }
  for (const auto& [key, value] : aJson.items()) {
    if (!value.is_number() && key != "path") {
      return core::Fail(core::ErrorKind::InvalidSettings, key + " is no number; give one");
    }
    auto result = ReadFault(settings, key, value);
    if (!result) {
      return result.as_failure();
    }
  }
  return settings;
}

Faults::Faults(FaultSettings aSettings, std::uint64_t aSeed)
  : mSettings(std::move(aSettings))
  , mRandom(aSeed)
{
}

FaultPlan Faults::Draw(const std::string& aPath, std::size_t aRunningCount)
{
  const bool onPath = aPath.starts_with(mSettings.path);
  const bool underLoad = mSettings.above == 0 || aRunningCount > mSettings.above;
  if (!onPath || !underLoad) {
    return {};
  }
  FaultPlan plan{ .fail = mRandom.Chance(mSettings.fail),
                  .slow = mSettings.slow,
                  .stall = mRandom.Chance(mSettings.stall),
                  .crossed = mRandom.Chance(mSettings.crossed),
                  .refuse = mRandom.Chance(mSettings.refuse),
                  .close = mRandom.Chance(mSettings.close) };
  if (mRandom.Chance(mSettings.late)) {
    const double delayMicros = mRandom.Uniform() * static_cast<double>(mSettings.lateBy.count());
    plan.lateBy = core::Duration(static_cast<std::int64_t>(delayMicros));
  }
  return plan;
}

} // namespace cuminfield::test_framework::upstream
