#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// What a host of a cluster knows at its start: itself, and a few control hosts that may be gone.
struct ClusterSettings
{
  core::HostId id; ///< The host's IP number: how the others reach it.
  std::string name;
  core::DataCentreId dataCentre;
  core::RegionId region;
  std::optional<settings::Endpoint> callerEndpoint; ///< Of an entry host.
  std::optional<settings::Endpoint>
    readyEndpoint; ///< Where an entry host tells whether it is ready.
  std::optional<settings::Endpoint> controlEndpoint; ///< Of a control host.
  settings::Endpoint peerEndpoint;
  std::vector<core::HostId> seeds; ///< Control hosts, some of which may be gone.
  bool firstStart = false;         ///< The whole cluster starts for the first time.
  std::uint32_t voterCount = 3;    ///< Control hosts that vote.
  std::string dataFolder;          ///< Of a control host.
  core::Duration shutdownLimit = std::chrono::seconds(8); ///< From SIGTERM to the process's end.
  core::Duration quotaWindow = std::chrono::seconds(8);
  double quotaOvershoot = 0; ///< Tolerated above a quota in a window, as a share of it.
  double quotaSlack = 0;     ///< Units tolerated beyond that, of all hosts together.
  double retryShare = 0.1;   ///< Further tries of a service's requests, as a share of them.
  std::string logLevel = "info";
  settings::LogFormat logFormat = settings::LogFormat::KeyValue;
};

} // namespace cuminfield::process::cluster
