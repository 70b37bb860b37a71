#include "cuminfield/process/cluster/SeedReloader.h"

#include "cuminfield/process/cluster/ClusterSettingsFile.h"
#include "cuminfield/process/logging/EventLog.h"

#include <utility>

namespace cuminfield::process::cluster {

namespace {

core::Result<std::vector<core::HostId>> LoadSeeds(const std::string& aPath)
{
  auto settings = LoadClusterSettings(aPath);
  if (!settings) {
    return settings.error();
  }
  if (settings.value().seeds.empty()) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      aPath + ": [cluster] seeds is empty; name the control address of at least "
                              "one control host");
  }
  return std::move(settings.value().seeds);
}

std::string Join(const std::vector<core::HostId>& aHosts)
{
  std::string text;
  for (const core::HostId& it : aHosts) {
    text += (text.empty() ? "" : ",") + it.Text();
  }
  return text;
}

} // namespace

SeedReloader::SeedReloader(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void SeedReloader::Reload()
{
  Read(true);
}

void SeedReloader::Check()
{
  Read(false);
}

void SeedReloader::Read(bool aRepeatError)
{
  const auto seeds = LoadSeeds(mOptions.path);
  if (!seeds) {
    const std::string error = core::Describe(seeds.error());
    const bool isNews = std::exchange(mLoggedError, error) != error;
    if (isNews || aRepeatError) {
      logging::Event(logging::Level::Warning, "seeds-kept",
                     { { "seeds", Join(mOptions.seeds) }, { "error", error } });
    }
    return;
  }
  mLoggedError.clear();
  if (seeds.value() == mOptions.seeds) {
    return;
  }
  mOptions.seeds = seeds.value();
  logging::Event(logging::Level::Info, "seeds-changed", { { "seeds", Join(mOptions.seeds) } });
  mOptions.onSeedsChanged(mOptions.seeds);
}

} // namespace cuminfield::process::cluster
