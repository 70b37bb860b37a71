#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::settings {

/// An address to listen on or connect to: an IP number and a port.
struct Endpoint
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  /// `address:port`.
  std::string Text() const { return address + ":" + std::to_string(port); }
  auto operator<=>(const Endpoint&) const = default;
};

/// Another host of the system, section `[peers]`: `g2 = 127.0.0.1:7302@gent-a`.
struct PeerSettings
{
  core::HostId id;
  Endpoint endpoint;
  core::DataCentreId dataCentre;
};

/// The voters of a replicated log group, section `[groups]`: `documents = g1 l1 e1`. Every other
/// group is named after the data centre whose claims and leases it keeps.
struct GroupSettings
{
  core::GroupId id;
  std::vector<core::HostId> voters;
};

/// How a log line looks.
enum class LogFormat
{
  KeyValue,
  Json,
};

/// All a host learns from its settings file. Defaults are those of an absent key; a key without
/// default must be given.
struct HostSettings
{
  /// `[host] id`, required.
  core::HostId id;
  /// `[host] data-centre`, required.
  core::DataCentreId dataCentre;
  /// `[host] region`, required.
  core::RegionId region;
  /// `[host] environment`, required: the environment whose document this host serves.
  core::EnvironmentId environment;
  /// `[host] data-folder`: makes this host a voter of the groups that name it; absent: none.
  std::optional<std::string> dataFolder;
  /// `[host] seed`: seeds this host's randomness; 0: from the operating system.
  std::uint64_t seed = 0;

  /// `[listen] callers`, required: where callers send requests.
  Endpoint callers;
  /// `[listen] control`, required: announcements of upstreams, operators, metrics.
  Endpoint control;
  /// `[listen] peers`, required: where the other hosts connect.
  Endpoint peersListen;

  /// `[peers]`, one key each; this host itself is not listed.
  std::vector<PeerSettings> peers;
  /// `[groups]`, one key each.
  std::vector<GroupSettings> groups;

  /// `[limits] body`: a larger request body is refused with 413.
  core::Bytes maxBody{ 4 * 1024 * 1024 };
  /// `[limits] caller-buffer`: unsent answer bytes for one caller above which its upstream waits.
  core::Bytes callerBuffer{ 256 * 1024 };
  /// `[limits] callers`: open caller connections above which new ones are refused with 503.
  std::uint64_t maxCallers = 4000;
  /// `[limits] caller-idle`: a caller connection that sends nothing for this long is closed.
  core::Duration callerIdle = std::chrono::seconds(60);
  /// `[limits] upstream-connect`: a connection to an upstream that takes longer has failed.
  core::Duration upstreamConnect = std::chrono::seconds(1);
  /// `[limits] upstream-stall`: an upstream silent for longer during an answer has failed.
  core::Duration upstreamStall = std::chrono::seconds(30);
  /// `[limits] shutdown`: after SIGTERM, requests still in flight after this are cut and reported.
  core::Duration shutdown = std::chrono::minutes(2);
  /// `[limits] upstream-lease`: an upstream not heard of for this long gets no new work.
  core::Duration upstreamLease = std::chrono::seconds(2);

  /// `[log] level`: trace, debug, info, warn, error.
  std::string logLevel = "info";
  /// `[log] format`: key-value or json.
  LogFormat logFormat = LogFormat::KeyValue;
};

/// Reads and checks a host settings file. Errors (InvalidSettings) name file, line, key and remedy.
core::Result<HostSettings> LoadHostSettings(const std::string& aPath);

/// The same from text; aName stands for the file in messages.
core::Result<HostSettings> ParseHostSettings(const std::string& aText, const std::string& aName);

} // namespace cuminfield::process::settings
