#include "cuminfield/process/cluster/ClusterSettingsFile.h"

#include "cuminfield/core/TextFile.h"
#include "cuminfield/process/settings/IniReader.h"
#include "cuminfield/process/settings/LogSection.h"
#include "cuminfield/process/settings/Values.h"

#include <array>

namespace cuminfield::process::cluster {

namespace {

using settings::KeySpec;
using settings::ValueType;

constexpr std::int64_t kMaxLosses = 1000;

// The users' platform fills in what it has agreed with its own users: any number, or none.
const std::array<KeySpec, 22> kKeySpecs{ {
  { .section = "host",
    .key = "id",
    .type = ValueType::Name,
    .defaultValue = "required",
    .description = "IP number of this host: the others reach it there" },
  { .section = "host",
    .key = "name",
    .type = ValueType::Name,
    .defaultValue = "none",
    .description = "name of this host in its log" },
  { .section = "host",
    .key = "data-centre",
    .type = ValueType::Name,
    .defaultValue = "required",
    .description = "data centre of this host" },
  { .section = "host",
    .key = "region",
    .type = ValueType::Name,
    .defaultValue = "required",
    .description = "region of this host" },
  { .section = "host",
    .key = "data-folder",
    .type = ValueType::Text,
    .defaultValue = "none",
    .description = "folder of a control host's state" },
  { .section = "listen",
    .key = "callers",
    .type = ValueType::Endpoint,
    .defaultValue = "none",
    .description = "where callers send requests; an entry host needs it" },
  { .section = "listen",
    .key = "ready",
    .type = ValueType::Endpoint,
    .defaultValue = "none",
    .description = "where an entry host tells whether it is ready" },
  { .section = "listen",
    .key = "control",
    .type = ValueType::Endpoint,
    .defaultValue = "none",
    .description = "where upstreams and operators call; a control host needs it" },
  { .section = "listen",
    .key = "peer-port",
    .type = ValueType::Count,
    .defaultValue = "required",
    .description = "port between hosts, the same on all",
    .min = 1,
    .max = 65535 },
  { .section = "cluster",
    .key = "seeds",
    .type = ValueType::Text,
    .defaultValue = "required",
    .description = "control addresses of some control hosts, separated by commas" },
  { .section = "cluster",
    .key = "first-start",
    .type = ValueType::YesNo,
    .defaultValue = "no",
    .description = "the whole cluster starts for the first time, with empty disks" },
  { .section = "cluster",
    .key = "losses",
    .type = ValueType::Count,
    .defaultValue = "1",
    .description = "control hosts that may be lost at once; twice as many and one vote",
    .min = 0,
    .max = kMaxLosses },
  { .section = "data-centres",
    .key = "NAME",
    .type = ValueType::Name,
    .defaultValue = "none",
    .description = "region of the data centre NAME, one line each; upstreams of others are in no "
                   "region" },
  { .section = "limits",
    .key = "shutdown",
    .type = ValueType::FractionalDuration,
    .defaultValue = "8s",
    .description = "after SIGTERM the process is gone by then" },
  { .section = "quota",
    .key = "window",
    .type = ValueType::FractionalDuration,
    .defaultValue = "8s",
    .description = "quotas of workspaces are judged over windows of this length" },
  { .section = "quota",
    .key = "overshoot",
    .type = ValueType::Number,
    .defaultValue = "0",
    .description = "tolerated above a quota, as a share of it" },
  { .section = "quota",
    .key = "slack",
    .type = ValueType::Number,
    .defaultValue = "0",
    .description = "units tolerated above a quota, of all hosts together" },
  { .section = "cold-upstreams",
    .key = "overshoot",
    .type = ValueType::Number,
    .defaultValue = "1",
    .description = "tolerated at a cold upstream, as a multiple of its service's cold_per_s" },
  { .section = "cold-upstreams",
    .key = "slack",
    .type = ValueType::Number,
    .defaultValue = "0",
    .description = "requests a second tolerated beyond that, of all hosts together" },
  { .section = "retries",
    .key = "share",
    .type = ValueType::Number,
    .defaultValue = "0.1",
    .description = "further tries of a service's requests, as a share of them" },
  { .section = "log",
    .key = "level",
    .type = ValueType::Choice,
    .defaultValue = "info",
    .description = "what is logged",
    .choices = "trace debug info warn error" },
  { .section = "log",
    .key = "format",
    .type = ValueType::Choice,
    .defaultValue = "key-value",
    .description = "how a log line looks",
    .choices = "key-value json" },
} };

/// Parses a list such as `10.0.0.1:8080,10.0.0.2:8080` into host ids, which are IP addresses.
std::optional<std::vector<core::HostId>> ParseSeeds(const std::string& aText)
{
  std::vector<core::HostId> seeds;
  std::istringstream text(aText);
  for (std::string word; std::getline(text, word, ',');) {
    const auto endpoint = settings::ParseEndpoint(word);
    if (!endpoint) {
      return std::nullopt;
    }
    seeds.emplace_back(endpoint->address);
  }
  return seeds;
}

void ReadCluster(settings::IniReader& aReader, ClusterSettings& aSettings)
{
  const settings::IniSection* cluster = aReader.FindSection("cluster");
  if (!cluster) {
    return;
  }
  std::string seeds;
  std::uint32_t losses = 1;
  aReader.Read(*cluster, "seeds", seeds);
  aReader.Read(*cluster, "first-start", aSettings.firstStart);
  aReader.Read(*cluster, "losses", losses);
  aSettings.voterCount = 2 * losses + 1;
  if (auto parsed = ParseSeeds(seeds)) {
    aSettings.seeds = std::move(*parsed);
  } else {
    aReader.AddError(*cluster, "seeds",
                     "'" + seeds +
                       "' is not a list of addresses such as "
                       "10.0.0.1:8080,10.0.0.2:8080");
  }
}

} // namespace

std::span<const KeySpec> ClusterSettingsReference()
{
  return kKeySpecs;
}

core::Result<ClusterSettings> LoadClusterSettings(const std::string& aPath)
{
  const auto text = core::ReadTextFile(aPath);
  if (!text) {
    return text.error();
  }
  return ParseClusterSettings(text.value(), aPath);
}

core::Result<ClusterSettings> ParseClusterSettings(const std::string& aText,
                                                   const std::string& aName)
{
  settings::IniReader reader(aText, aName, ClusterSettingsReference());
  ClusterSettings result;
  if (const settings::IniSection* host = reader.FindSection("host")) {
    reader.Read(*host, "id", result.id);
    reader.Read(*host, "name", result.name);
    reader.Read(*host, "data-centre", result.dataCentre);
    reader.Read(*host, "region", result.region);
    reader.Read(*host, "data-folder", result.dataFolder);
  }
  if (const settings::IniSection* listen = reader.FindSection("listen")) {
    std::uint32_t port = 0;
    reader.Read(*listen, "callers", result.callerEndpoint);
    reader.Read(*listen, "ready", result.readyEndpoint);
    reader.Read(*listen, "control", result.controlEndpoint);
    reader.Read(*listen, "peer-port", port);
    result.peerEndpoint = { .address = result.id.Text(), .port = static_cast<std::uint16_t>(port) };
  }
  ReadCluster(reader, result);
  if (const settings::IniSection* dataCentres = reader.FindSection("data-centres")) {
    for (const settings::IniEntry& it : dataCentres->entries) {
      reader.Read(*dataCentres, it.key.c_str(), result.regions[core::DataCentreId(it.key)]);
    }
  }
  if (const settings::IniSection* limits = reader.FindSection("limits")) {
    reader.Read(*limits, "shutdown", result.shutdownLimit);
  }
  if (const settings::IniSection* quota = reader.FindSection("quota")) {
    reader.Read(*quota, "window", result.quotaWindow);
    reader.Read(*quota, "overshoot", result.quotaOvershoot);
    reader.Read(*quota, "slack", result.quotaSlack);
  }
  if (const settings::IniSection* cold = reader.FindSection("cold-upstreams")) {
    reader.Read(*cold, "overshoot", result.coldOvershoot);
    reader.Read(*cold, "slack", result.coldSlack);
  }
  if (const settings::IniSection* retries = reader.FindSection("retries")) {
    reader.Read(*retries, "share", result.retryShare);
  }
  settings::ReadLogSection(reader, result.logLevel, result.logFormat);
  const core::Result<void> verdict = reader.ToResult();
  if (!verdict) {
    return verdict.error();
  }
  return result;
}

} // namespace cuminfield::process::cluster
