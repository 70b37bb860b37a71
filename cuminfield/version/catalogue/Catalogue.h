#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::version::catalogue {

/// A service that a route's requests may go to, and its share of them.
struct ServiceShare
{
  core::ServiceId service;
  std::uint32_t weight = 0; ///< Relative to the route's other services.
};

/// Which requests go to which service, and what callers are promised.
struct RouteRule
{
  core::RouteId id;
  std::string host;       ///< Requests for this host name, and
  std::string pathPrefix; ///< whose path begins so; the longest prefix wins.
  std::vector<ServiceShare> services;
  bool stream = false;                ///< Answered by server-sent events.
  bool idempotent = false;            ///< May run more than once.
  bool resumable = false;             ///< A stream may go on at another upstream.
  bool anonymous = false;             ///< Needs no key.
  std::uint32_t maxAttempts = 1;      ///< Upstreams that one request may be sent to.
  std::uint32_t rank = 0;             ///< Urgency; 0 is the highest.
  core::Duration timeout{ 0 };        ///< The request gets its final answer by then.
  core::Duration latencyTarget{ 0 };  ///< From arrival to the first event, or to the whole answer.
  core::Duration eventGapTarget{ 0 }; ///< Longest pause between events that is still in time.
};

/// What is known of a model engine before its first answer.
struct EngineRule
{
  std::uint32_t slots = 1;       ///< Requests in one batch.
  core::Tokens cacheTokens{ 0 }; ///< Of all requests that run and of kept prompts.
  std::uint32_t eventTokens = 1; ///< Tokens in one event of a stream.
};

/// A service.
struct ServiceRule
{
  core::ServiceId id;
  std::uint32_t maxConnections = 0; ///< Of all hosts together to one upstream; 0: no limit.
  std::optional<EngineRule> engine;
};

/// A customer.
struct WorkspaceRule
{
  core::WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> rank; ///< Takes precedence over the rank of the route.
  double unitsPerSecond = 0;         ///< Quota over all hosts; 0: none.
  double burstUnits = 0;             ///< Units that may be used at once.
  double defaultRequestUnits = 1;    ///< Units of a request that does not tell its size.
};

/// Bounds on what a caller may send.
struct CallerLimits
{
  core::Bytes maxHeaders{ 16 * 1024 };
  core::Bytes maxBody{ 4 * 1024 * 1024 };
  core::Duration headerTimeout = std::chrono::seconds(3);
  core::Duration idleTimeout = std::chrono::seconds(15);
};

/// One whole configuration of a cluster, as accepted under the operator's number.
struct Catalogue
{
  std::uint64_t number = 0;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  std::vector<WorkspaceRule> workspaces;
  CallerLimits limits;
};

} // namespace cuminfield::version::catalogue
