#include "cuminfield/version/document/Document.h"

#include "cuminfield/process/settings/IniReader.h"
#include "cuminfield/version/document/DocumentReference.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace cuminfield::version::document {

namespace {

using process::settings::IniReader;
using process::settings::IniSection;

void ReadTiers(IniReader& aReader, Document& aDocument)
{
  std::map<std::uint32_t, std::string> tiersByRank;
  for (const IniSection* section : aReader.SectionsOfKind("tier")) {
    TierSettings tier;
    tier.id = core::TierId(section->InstanceName());
    aReader.Read(*section, "rank", tier.rank);
    aReader.Read(*section, "first-token", tier.firstTokenTarget);
    aReader.Read(*section, "token-gap", tier.tokenGapTarget);
    aReader.Read(*section, "deadline", tier.deadline);
    const auto [it, isNew] = tiersByRank.try_emplace(tier.rank, tier.id.Text());
    if (!isNew && section->Find("rank")) {
      aReader.AddError(*section, "rank",
                       "same rank as tier '" + it->second + "'; give each tier its own");
    }
    if (tier.firstTokenTarget > tier.deadline) {
      aReader.AddError(*section, "deadline", "shorter than first-token; make it at least as long");
    }
    aDocument.tiers.push_back(std::move(tier));
  }
  if (aDocument.tiers.empty()) {
    aReader.AddError("no tier; add a section [tier NAME] with a rank");
  }
  std::ranges::stable_sort(aDocument.tiers, {}, &TierSettings::rank);
}

void ReadWorkspaces(IniReader& aReader, Document& aDocument)
{
  std::set<core::TierId> known;
  for (const TierSettings& tier : aDocument.tiers) {
    known.insert(tier.id);
  }
  for (const IniSection* section : aReader.SectionsOfKind("workspace")) {
    WorkspaceSettings workspace;
    workspace.id = core::WorkspaceId(section->InstanceName());
    aReader.Read(*section, "home", workspace.home);
    aReader.Read(*section, "weight", workspace.weight);
    aReader.Read(*section, "tiers", workspace.tiers);
    for (const core::TierId& tier : workspace.tiers) {
      if (!known.contains(tier)) {
        aReader.AddError(*section, "tiers",
                         "no tier '" + tier.Text() + "'; add [tier " + tier.Text() +
                           "] or remove it here");
      }
    }
    aDocument.workspaces.push_back(std::move(workspace));
  }
  if (aDocument.workspaces.size() > kMaxWorkspaces) {
    aReader.AddError(std::to_string(aDocument.workspaces.size()) + " workspaces; keep at most " +
                     std::to_string(kMaxWorkspaces));
  }
}

void ReadServices(IniReader& aReader, Document& aDocument)
{
  for (const IniSection* section : aReader.SectionsOfKind("service")) {
    ServiceSettings service;
    service.id = core::ServiceId(section->InstanceName());
    aReader.ReadChoice(*section, "kind", service.kind);
    aReader.Read(*section, "version", service.version);
    aReader.Read(*section, "spill", service.allowsOverflow);
    aReader.Read(*section, "fences", service.checksFencing);
    aDocument.services.push_back(std::move(service));
  }
}

/// Returns the service that a section refers to. Reports a fault and returns null if there is none.
const ServiceSettings* FindReferencedService(IniReader& aReader, const IniSection& aSection,
                                             const Document& aDocument, const core::ServiceId& aId)
{
  const auto it = std::ranges::find(aDocument.services, aId, &ServiceSettings::id);
  if (it != aDocument.services.end()) {
    return &*it;
  }
  if (!aId.IsEmpty()) {
    aReader.AddError(aSection, "service",
                     "no service '" + aId.Text() + "'; add [service " + aId.Text() +
                       "] or name another");
  }
  return nullptr;
}

void CheckPath(IniReader& aReader, const IniSection& aSection, const RouteSettings& aRoute)
{
  const std::string& path = aRoute.path;
  if (path.empty()) {
    return; // Reported as missing by the reader.
  }
  const std::size_t star = path.find('*');
  const bool isStarInside = star != std::string::npos && star + 1 != path.size();
  if (path.front() != '/' || isStarInside || path.find_first_of(" ?#") != std::string::npos) {
    aReader.AddError(aSection, "path",
                     "'" + path +
                       "' is no path; begin with '/', without query, '*' only at the end");
  }
}

void ReadRoutes(IniReader& aReader, Document& aDocument)
{
  std::map<std::tuple<std::string, std::string, core::ServiceId>, core::RouteId> routesByKey;
  for (const IniSection* section : aReader.SectionsOfKind("route")) {
    RouteSettings route;
    route.id = core::RouteId(section->InstanceName());
    aReader.Read(*section, "service", route.service);
    aReader.Read(*section, "path", route.path);
    std::size_t method = 0;
    aReader.ReadChoice(*section, "method", method);
    if (const auto* entry = section->Find("method")) {
      route.method = entry->value;
    }
    aReader.Read(*section, "idempotent", route.idempotent);
    FindReferencedService(aReader, *section, aDocument, route.service);
    CheckPath(aReader, *section, route);
    const auto [it, isNew] =
      routesByKey.try_emplace(std::tuple(route.method, route.path, route.service), route.id);
    if (!isNew) {
      aReader.AddError(*section, "path",
                       "same method, path and service as route '" + it->second.Text() +
                         "'; remove one of them");
    }
    aDocument.routes.push_back(std::move(route));
  }
}

/// A move and the section that defines it.
struct MoveInSection
{
  const IniSection* section;
  MoveSettings move;

  /// A move without `start` counts as already started.
  core::WallTime StartTime() const { return move.start.value_or(core::WallTime::min()); }
};

void CheckMove(IniReader& aReader, const IniSection& aSection, const Document& aDocument,
               const MoveSettings& aMove)
{
  if (!aMove.from.IsEmpty() && aMove.from == aMove.to) {
    aReader.AddError(aSection, "to", "same version as from; name the version to reach");
  }
  if (aMove.start && *aMove.start >= aMove.finishBy && aSection.Find("finish-by")) {
    aReader.AddError(aSection, "finish-by", "not after start; set a later time");
  }
  const ServiceSettings* service =
    FindReferencedService(aReader, aSection, aDocument, aMove.service);
  if (service && service->version != aMove.from && service->version != aMove.to) {
    aReader.AddError(aSection, "from",
                     "service '" + service->id.Text() + "' has version '" +
                       service->version.Text() + "'; move from it or remove this move");
  }
}

/// Checks that at most one move of a service runs at any time, and that no move starts from the
/// target version of another, which may still be rolled back.
void CheckServiceMoves(IniReader& aReader, std::vector<MoveInSection> aMoves)
{
  std::ranges::stable_sort(aMoves, {}, &MoveInSection::StartTime);
  std::map<core::VersionId, core::MoveId> movesByTarget;
  for (const MoveInSection& entry : aMoves) {
    movesByTarget.emplace(entry.move.to, entry.move.id);
  }
  const MoveSettings* lastToFinish = nullptr; // Of the previous moves, the one that finishes last.
  for (const MoveInSection& entry : aMoves) {
    const MoveSettings& move = entry.move;
    if (lastToFinish && entry.StartTime() < lastToFinish->finishBy) {
      aReader.AddError(*entry.section, "start",
                       "overlaps with move '" + lastToFinish->id.Text() +
                         "' of the same service; start after its finish-by");
    }
    const auto it = movesByTarget.find(move.from);
    if (it != movesByTarget.end() && it->second != move.id) {
      aReader.AddError(*entry.section, "from",
                       "builds upon move '" + it->second.Text() +
                         "'; when that is done, remove it and set the service's version");
    }
    if (!lastToFinish || move.finishBy > lastToFinish->finishBy) {
      lastToFinish = &move;
    }
  }
}

void ReadMoves(IniReader& aReader, Document& aDocument)
{
  std::map<core::ServiceId, std::vector<MoveInSection>> byService;
  for (const IniSection* section : aReader.SectionsOfKind("move")) {
    MoveSettings move;
    move.id = core::MoveId(section->InstanceName());
    aReader.Read(*section, "service", move.service);
    aReader.Read(*section, "from", move.from);
    aReader.Read(*section, "to", move.to);
    aReader.Read(*section, "start", move.start);
    aReader.Read(*section, "finish-by", move.finishBy);
    aReader.Read(*section, "canary", move.canaryPercent);
    aReader.Read(*section, "undo", move.rollBack);
    CheckMove(aReader, *section, aDocument, move);
    byService[move.service].push_back({ .section = section, .move = move });
    aDocument.moves.push_back(std::move(move));
  }
  for (const auto& [service, moves] : byService) {
    CheckServiceMoves(aReader, moves);
  }
}

} // namespace

core::Result<Document> ParseDocument(const std::string& aText, const std::string& aName)
{
  IniReader reader(aText, aName, DocumentReference());
  Document document;
  if (const IniSection* section = reader.FindSection("environment")) {
    reader.Read(*section, "name", document.environment);
  }
  ReadTiers(reader, document);
  ReadWorkspaces(reader, document);
  ReadServices(reader, document);
  ReadRoutes(reader, document);
  ReadMoves(reader, document);
  const core::Result<void> verdict = reader.ToResult();
  if (!verdict) {
    return verdict.error();
  }
  return document;
}

core::Result<void> CheckHomeDataCentres(const Document& aDocument,
                                        const std::vector<core::DataCentreId>& aDataCentres)
{
  const std::set<core::DataCentreId> known(aDataCentres.begin(), aDataCentres.end());
  std::string message;
  for (const WorkspaceSettings& workspace : aDocument.workspaces) {
    if (!known.contains(workspace.home)) {
      message += (message.empty() ? "" : "\n") + std::string("[workspace ") + workspace.id.Text() +
                 "] home: no group keeps claims in '" + workspace.home.Text() +
                 "'; name a data centre that has one";
    }
  }
  if (!message.empty()) {
    return core::Fail(core::ErrorKind::InvalidSettings, message);
  }
  return core::Success();
}

} // namespace cuminfield::version::document
