#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// What a host of a cluster knows at its start: its own settings and a few control hosts, some of
/// which may no longer exist.
struct ClusterSettings
{
  core::HostId id; ///< IP address at which other hosts reach this one.
  std::string name;
  core::DataCentreId dataCentre;
  core::RegionId region;
  /// The region of each data centre. Upstreams of other data centres are in no region.
  std::map<core::DataCentreId, core::RegionId> regions;
  std::optional<settings::Endpoint> callerEndpoint;  ///< Set on an entry host.
  std::optional<settings::Endpoint> readyEndpoint;   ///< Readiness endpoint of an entry host.
  std::optional<settings::Endpoint> controlEndpoint; ///< Set on a control host.
  settings::Endpoint peerEndpoint;
  std::vector<core::HostId> seeds; ///< Control hosts; some may no longer exist.
  bool firstStart = false;         ///< True for the first start of the entire cluster.
  std::uint32_t voterCount = 3;    ///< Number of voting control hosts.
  std::string dataFolder;          ///< Set on a control host.
  core::Duration shutdownLimit = std::chrono::seconds(8); ///< From SIGTERM to process exit.
  core::Duration quotaWindow = std::chrono::seconds(8);
  double quotaOvershoot = 0; ///< Tolerated excess in a window, as a share of the quota.
  double quotaSlack = 0;     ///< Units tolerated beyond that, for all hosts together.
  /// Requests tolerated at a cold upstream in a second: this multiple of its service's rate,
  double coldOvershoot = 1;
  double coldSlack = 0;    ///< and so many more, of all hosts together.
  double retryShare = 0.1; ///< Maximum retries of a service, as a share of its requests.
  std::string logLevel = "info";
  settings::LogFormat logFormat = settings::LogFormat::KeyValue;
};

} // namespace cuminfield::process::cluster
