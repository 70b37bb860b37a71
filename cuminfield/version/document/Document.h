#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::version::document {

/// `[tier NAME]`: how urgent a class of requests is and what in time means for it.
struct TierSettings
{
  core::TierId id;
  /// `rank`, required and unique: 0 is the highest tier; a higher one is never shed before a lower.
  std::uint32_t rank = 0;
  /// `first-token`: target from arrival to the first token (or whole answer of a plain service).
  core::Duration firstTokenTarget = std::chrono::milliseconds(480);
  /// `token-gap`: target between tokens.
  core::Duration tokenGapTarget = std::chrono::milliseconds(39);
  /// `deadline`: a request not begun by then, counted from arrival, is shed.
  core::Duration deadline = std::chrono::seconds(10);
};

/// `[workspace NAME]`: a customer.
struct WorkspaceSettings
{
  core::WorkspaceId id;
  /// `home`, required: the data centre that keeps this workspace's claims.
  core::DataCentreId home;
  /// `weight`: share inside a tier relative to the other workspaces.
  std::uint32_t weight = 1;
  /// `tiers`: space-separated tiers it may use; absent: all.
  std::vector<core::TierId> tiers;
};

/// What answers a service's calls.
enum class ServiceKind
{
  Engine, ///< A model engine: completions, streamed, prefix cache.
  Plain,  ///< Any other HTTP service.
};

/// `[service NAME]`.
struct ServiceSettings
{
  core::ServiceId id;
  /// `kind`, required: engine or plain.
  ServiceKind kind = ServiceKind::Engine;
  /// `version`, required: the version in force where no move says otherwise.
  core::VersionId version;
  /// `spill`: whether requests may cross regions when local upstreams cannot be in time.
  bool allowsOverflow = true;
  /// `fences`: whether its upstreams refuse an order with an old fencing number.
  bool checksFencing = false;
};

/// `[route NAME]`: which requests go to which service.
struct RouteSettings
{
  core::RouteId id;
  /// `service`, required.
  core::ServiceId service;
  /// `path`, required: the exact path, or a prefix when it ends with `*`.
  std::string path;
  /// `method`: POST, GET, PUT or DELETE.
  std::string method = "POST";
  /// `idempotent`: whether the call may run more than once. `no` makes a key compulsory.
  bool idempotent = true;
};

/// `[move NAME]`: bring a service from one version to another by a set time.
struct MoveSettings
{
  core::MoveId id;
  /// `service`, required.
  core::ServiceId service;
  /// `from` and `to`, required versions.
  core::VersionId from;
  core::VersionId to;
  /// `start` and `finish-by`, civil time as 2026-12-05T18:00:00Z; finish-by is required.
  std::optional<core::WallTime> start;
  core::WallTime finishBy{};
  /// `canary`: share of traffic, in per cent, until the new version is proved; at most 5.
  double canaryPercent = 2.0;
  /// `undo`: take the move back by hand.
  bool rollBack = false;
};

/// One environment's document, as accepted.
struct Document
{
  /// `[environment] name`, required.
  core::EnvironmentId environment;
  std::vector<TierSettings> tiers; ///< In order of rank.
  std::vector<WorkspaceSettings> workspaces;
  std::vector<ServiceSettings> services;
  std::vector<RouteSettings> routes;
  std::vector<MoveSettings> moves;
};

/// Most workspaces in one document.
inline constexpr std::size_t kMaxWorkspaces = 15'000;

/// Parses and checks a whole document. Errors (InvalidSettings) name file, line, key and remedy.
core::Result<Document> ParseDocument(const std::string& aText, const std::string& aName);

/// Checks that each workspace's home is one of the data centres that have a group for claims, which
/// only a host knows from its settings.
core::Result<void> CheckHomeDataCentres(const Document& aDocument,
                                        const std::vector<core::DataCentreId>& aDataCentres);

} // namespace cuminfield::version::document
