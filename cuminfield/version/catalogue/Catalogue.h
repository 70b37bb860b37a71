#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/RegionSet.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::version::catalogue {

/// A service of a route and the share of requests that it receives.
struct ServiceShare
{
  core::ServiceId service;
  double weight = 0; ///< Relative to the route's other services.
};

/// Maps requests to services and sets the limits and latency targets for callers.
struct RouteRule
{
  core::RouteId id;
  std::string host;       ///< Host name that a request must have.
  std::string pathPrefix; ///< Prefix that its path must have; the longest matching prefix wins.
  std::vector<ServiceShare> services;
  bool stream = false;           ///< The response is a stream of server-sent events.
  bool idempotent = false;       ///< A request may run more than once.
  bool resumable = false;        ///< An interrupted stream may continue at another upstream.
  bool anonymous = false;        ///< No API key is required.
  std::uint32_t maxAttempts = 1; ///< Maximum number of upstreams that a request may be sent to.
  std::uint32_t rank = 0;        ///< Priority; 0 is the highest.
  /// Time from arrival within which the request gets its final response.
  core::Duration timeout{ 0 };
  /// From arrival to the first event, or to the complete response.
  core::Duration latencyTarget{ 0 };
  core::Duration eventGapTarget{ 0 }; ///< Maximum gap between events that still counts as in time.
  /// Regions in which its requests may be served; any region if not set.
  std::optional<core::RegionSet> allowedRegions{};
};

/// Properties of a model engine that are known before its first response.
struct EngineRule
{
  std::uint32_t slots = 1;       ///< Maximum number of requests in a batch.
  core::Tokens cacheTokens{ 0 }; ///< Capacity for running requests and cached prompts together.
  std::uint32_t eventTokens = 1; ///< Tokens in one event of a stream.
};

struct ServiceRule
{
  core::ServiceId id;
  /// Limit for all hosts together per upstream; 0 means no limit.
  std::uint32_t maxConnections = 0;
  std::optional<EngineRule> engine;
  /// Requests that a cold upstream tolerates in a second; 0 means no limit.
  double coldPerSecond = 0;
  /// How long an upstream is cold after its start, if it does not say.
  core::Duration coldStart = std::chrono::seconds(3);
};

/// A customer.
struct WorkspaceRule
{
  core::WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> rank; ///< Overrides the rank of the route.
  double unitsPerSecond = 0;         ///< Quota over all hosts; 0 means none.
  double burstUnits = 0;             ///< Units that may be used at once.
  double defaultRequestUnits = 1;    ///< Units charged for a request that does not state its size.
  /// Regions in which its requests may be served; any region if not set.
  std::optional<core::RegionSet> allowedRegions{};
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
  core::Bytes maxHeaders{ 16 * 1024 };
  core::Bytes maxBody{ 4 * 1024 * 1024 };
  core::Duration headerTimeout = std::chrono::seconds(3);
  core::Duration idleTimeout = std::chrono::seconds(15);
};

/// A complete configuration of a cluster, accepted under the number that the operator gave it.
struct Catalogue
{
  std::uint64_t number = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<WorkspaceRule> workspaces;
  /// Requests on routes that are not anonymous need a key of a workspace; if there are no
  /// workspaces, these routes admit nobody.
  bool requiresKeys = true;
  CallerLimits limits;
};

} // namespace cuminfield::version::catalogue
