#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::version::document {

/// `[tier NAME]`: priority and latency targets of a class of requests.
struct TierSettings
{
  core::TierId id;
  /// `rank`, required and unique: 0 is the highest tier. Higher tiers are never shed before lower
  /// ones.
  std::uint32_t rank = 0;
  /// `first-token`: target from arrival to the first token, or to the complete response of a plain
  /// service.
  core::Duration firstTokenTarget = std::chrono::milliseconds(480);
  /// `token-gap`: target for the time between tokens.
  core::Duration tokenGapTarget = std::chrono::milliseconds(39);
  /// `deadline`: a request that has not started by this time after its arrival is shed.
  core::Duration deadline = std::chrono::seconds(10);
};

/// `[workspace NAME]`: a customer.
struct WorkspaceSettings
{
  core::WorkspaceId id;
  /// `home`, required: the data centre that stores this workspace's claims.
  core::DataCentreId home;
  /// `weight`: share within a tier relative to the other workspaces.
  std::uint32_t weight = 1;
  /// `tiers`: space-separated list of tiers that the workspace may use; all if absent.
  std::vector<core::TierId> tiers;
};

/// Kind of upstream behind a service.
enum class ServiceKind
{
  Engine, ///< A model engine with completions, streaming and prefix cache.
  Plain,  ///< Any other HTTP service.
};

/// `[service NAME]`.
struct ServiceSettings
{
  core::ServiceId id;
  /// `kind`, required: engine or plain.
  ServiceKind kind = ServiceKind::Engine;
  /// `version`, required: the version in force unless a move decides otherwise.
  core::VersionId version;
  /// `spill`: whether requests may overflow to other regions if local upstreams cannot serve them
  /// in time.
  bool allowsOverflow = true;
  /// `fences`: whether its upstreams reject control requests with an outdated fencing number.
  bool checksFencing = false;
};

/// `[route NAME]`: maps requests to a service.
struct RouteSettings
{
  core::RouteId id;
  /// `service`, required.
  core::ServiceId service;
  /// `path`, required: the exact path, or a prefix if it ends with `*`.
  std::string path;
  /// `method`: POST, GET, PUT or DELETE.
  std::string method = "POST";
  /// `idempotent`: whether a request may run more than once. With `no`, a key is required.
  bool idempotent = true;
};

/// `[move NAME]`: moves a service from one version to another by a given time.
struct MoveSettings
{
  core::MoveId id;
  /// `service`, required.
  core::ServiceId service;
  /// `from` and `to`, required: the two versions.
  core::VersionId from;
  core::VersionId to;
  /// `start` and `finish-by` (required): UTC times such as 2026-12-05T18:00:00Z.
  std::optional<core::WallTime> start;
  core::WallTime finishBy{};
  /// `canary`: percentage of traffic sent to the new version during the canary; at most 5.
  double canaryPercent = 2.0;
  /// `undo`: rolls the move back on the operator's request.
  bool rollBack = false;
};

/// The accepted document of one environment.
struct Document
{
  /// `[environment] name`, required.
  core::EnvironmentId environment;
  std::vector<TierSettings> tiers; ///< Sorted by rank.
  std::vector<WorkspaceSettings> workspaces;
  std::vector<ServiceSettings> services;
  std::vector<RouteSettings> routes;
  std::vector<MoveSettings> moves;
};

/// Maximum number of workspaces in a document.
inline constexpr std::size_t kMaxWorkspaces = 15'000;

/// Parses and validates a complete document. Errors (InvalidSettings) state file, line, key and
/// remedy.
core::Result<Document> ParseDocument(const std::string& aText, const std::string& aName);

/// Checks that each workspace's home is a data centre with a claims group. Only a host knows these
/// from its settings.
core::Result<void> CheckHomeDataCentres(const Document& aDocument,
                                        const std::vector<core::DataCentreId>& aDataCentres);

} // namespace cuminfield::version::document
