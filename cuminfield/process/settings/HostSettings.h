#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::settings {

/// An IPv4 address and port to listen on or connect to.
struct Endpoint
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  /// Formats the endpoint as `address:port`.
  std::string ToString() const { return address + ":" + std::to_string(port); }
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
/// group is named after the data centre whose claims and leases it stores.
struct GroupSettings
{
  core::GroupId id;
  std::vector<core::HostId> voters;
};

/// Format of log lines.
enum class LogFormat
{
  KeyValue,
  Json,
};

/// Settings of a host, read from its settings file. Initial values are the defaults of absent keys;
/// a required key has no default.
struct HostSettings
{
  /// `[host] id`, required.
  core::HostId id;
  /// `[host] data-centre`, required.
  core::DataCentreId dataCentre;
  /// `[host] region`, required.
  core::RegionId region;
  /// `[host] environment`, required: environment whose document this host serves.
  core::EnvironmentId environment;
  /// `[host] data-folder`: folder for the state of the groups that this host votes in; absent on a
  /// host without a vote.
  std::optional<std::string> dataFolder;
  /// `[host] seed`: seed of the host's random numbers; 0 takes one from the operating system.
  std::uint64_t seed = 0;

  /// `[listen] callers`, required: address for requests of callers.
  Endpoint callerEndpoint;
  /// `[listen] control`, required: address for upstream announcements, operators and metrics.
  Endpoint controlEndpoint;
  /// `[listen] peers`, required: address for connections of other hosts.
  Endpoint peerEndpoint;

  /// `[peers]`, one key per peer; this host itself is not listed.
  std::vector<PeerSettings> peers;
  /// `[groups]`, one key per group.
  std::vector<GroupSettings> groups;

  /// `[limits] body`: larger request bodies are rejected with status 413.
  core::Bytes maxRequestBody{ 4 * 1024 * 1024 };
  /// `[limits] caller-buffer`: unsent response bytes for one caller above which reading from the
  /// upstream pauses.
  core::Bytes maxCallerBuffer{ 256 * 1024 };
  /// `[limits] callers`: open caller connections above which new ones are rejected with status 503.
  std::uint64_t maxCallerConnections = 4000;
  /// `[limits] caller-idle`: a caller connection without input for this long is closed.
  core::Duration callerIdleTimeout = std::chrono::seconds(60);
  /// `[limits] upstream-connect`: timeout for connecting to an upstream.
  core::Duration upstreamConnectTimeout = std::chrono::seconds(1);
  /// `[limits] upstream-stall`: an upstream that sends nothing for longer during a response has
  /// failed.
  core::Duration upstreamStallTimeout = std::chrono::seconds(30);
  /// `[limits] shutdown`: requests still in flight this long after SIGTERM are aborted and
  /// reported.
  core::Duration shutdownTimeout = std::chrono::minutes(2);
  /// `[limits] upstream-lease`: an upstream without announcement or renewal for this long gets
  /// no new requests.
  core::Duration upstreamLeaseDuration = std::chrono::seconds(2);

  /// `[log] level`: trace, debug, info, warn, error.
  std::string logLevel = "info";
  /// `[log] format`: key-value or json.
  LogFormat logFormat = LogFormat::KeyValue;
};

/// Reads and validates a host settings file. InvalidSettings names file, line, key and remedy.
core::Result<HostSettings> LoadHostSettings(const std::string& aPath);

/// Parses and validates the text of a host settings file; error messages call the file aName.
core::Result<HostSettings> ParseHostSettings(const std::string& aText, const std::string& aName);

} // namespace cuminfield::process::settings
