#include "TestFramework/upstream/Faults.h"

namespace cuminfield::test_framework::upstream {

namespace {

core::Result<void> ParseFault(FaultSettings& aSettings, const std::string& aKey,
                              const nlohmann::json& aValue)
{
  if (aKey == "path") {
    aSettings.pathPrefix = aValue.get<std::string>();
    return core::Success();
  }
  const auto number = aValue.get<double>();
  if (aKey == "fail") {
    aSettings.errorChance = number;
  } else if (aKey == "slow") {
    aSettings.slowdown = number;
  } else if (aKey == "stall") {
    aSettings.stallChance = number;
  } else if (aKey == "late") {
    aSettings.delayChance = number;
  } else if (aKey == "late_ms") {
    aSettings.maxDelay = core::Duration(static_cast<std::int64_t>(number * 1'000));
  } else if (aKey == "crossed") {
    aSettings.swapChance = number;
  } else if (aKey == "refuse") {
    aSettings.rejectChance = number;
  } else if (aKey == "close") {
    aSettings.closeChance = number;
  } else if (aKey == "above") {
    aSettings.aboveRunning = static_cast<std::size_t>(number);
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
    auto result = ParseFault(settings, key, value);
    if (!result) {
      return result.as_failure();
    }
  }
  return settings;
}

FaultInjector::FaultInjector(FaultSettings aSettings, std::uint64_t aSeed)
  : mSettings(std::move(aSettings))
  , mRandom(aSeed)
{
}

FaultPlan FaultInjector::DrawPlan(const std::string& aPath, std::size_t aRunningCount)
{
  const bool onPath = aPath.starts_with(mSettings.pathPrefix);
  const bool underLoad = mSettings.aboveRunning == 0 || aRunningCount > mSettings.aboveRunning;
  if (!onPath || !underLoad) {
    return {};
  }
  FaultPlan plan{ .fail = mRandom.Chance(mSettings.errorChance),
                  .slowdown = mSettings.slowdown,
                  .stall = mRandom.Chance(mSettings.stallChance),
                  .swapResponse = mRandom.Chance(mSettings.swapChance),
                  .reject = mRandom.Chance(mSettings.rejectChance),
                  .close = mRandom.Chance(mSettings.closeChance) };
  if (mRandom.Chance(mSettings.delayChance)) {
    const double delayMicros = mRandom.Uniform() * static_cast<double>(mSettings.maxDelay.count());
    plan.delay = core::Duration(static_cast<std::int64_t>(delayMicros));
  }
  return plan;
}

} // namespace cuminfield::test_framework::upstream
