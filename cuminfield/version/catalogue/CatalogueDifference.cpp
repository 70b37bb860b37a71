#include "cuminfield/version/catalogue/CatalogueDifference.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace cuminfield::version::catalogue {

namespace {

/// Name and value, as text, of each field of an entry. Two entries of one kind have the same names
/// in the same order.
using Fields = std::vector<std::pair<const char*, std::string>>;

std::string Format(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

std::string Format(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string Format(std::uint32_t aNumber)
{
  return std::to_string(aNumber);
}

std::string Format(core::Duration aDuration)
{
  return Format(core::Milliseconds(aDuration)) + " ms";
}

std::string Format(core::Bytes aSize)
{
  return std::to_string(aSize.value) + " bytes";
}

std::string Format(const std::vector<ServiceShare>& aShares)
{
  std::string text;
  for (const ServiceShare& it : aShares) {
    text += text.empty() ? "" : ", ";
    text += it.service.Text() + " " + Format(it.weight);
  }
  return text;
}

std::string Format(const std::optional<core::RegionSet>& aRegions)
{
  if (!aRegions) {
    return "any";
  }
  std::string text;
  for (const core::RegionId& it : aRegions->Regions()) {
    text += (text.empty() ? "" : " ") + it.Text();
  }
  return text;
}

Fields FieldsOf(const RouteRule& aRoute)
{
  return {
    { "host", aRoute.host },
    { "pathPrefix", aRoute.pathPrefix },
    { "services", Format(aRoute.services) },
    { "stream", Format(aRoute.stream) },
    { "idempotent", Format(aRoute.idempotent) },
    { "resumable", Format(aRoute.resumable) },
    { "anonymous", Format(aRoute.anonymous) },
    { "maxAttempts", Format(aRoute.maxAttempts) },
    { "rank", Format(aRoute.rank) },
    { "timeout", Format(aRoute.timeout) },
    { "latencyTarget", Format(aRoute.latencyTarget) },
    { "eventGapTarget", Format(aRoute.eventGapTarget) },
    { "allowedRegions", Format(aRoute.allowedRegions) },
  };
}

Fields FieldsOf(const ServiceRule& aService)
{
  const auto& engine = aService.engine;
  return {
    { "maxConnections", Format(aService.maxConnections) },
    { "slots", engine ? Format(engine->slots) : "none" },
    { "cacheTokens", engine ? std::to_string(engine->cacheTokens.value) : "none" },
    { "eventTokens", engine ? Format(engine->eventTokens) : "none" },
    { "coldPerSecond", Format(aService.coldPerSecond) },
    { "coldStart", Format(aService.coldStart) },
  };
}

/// Without the keys, which must not be printed.
Fields FieldsOf(const WorkspaceRule& aWorkspace)
{
  return {
    { "rank", aWorkspace.rank ? Format(*aWorkspace.rank) : "none" },
    { "unitsPerSecond", Format(aWorkspace.unitsPerSecond) },
    { "burstUnits", Format(aWorkspace.burstUnits) },
    { "defaultRequestUnits", Format(aWorkspace.defaultRequestUnits) },
    { "allowedRegions", Format(aWorkspace.allowedRegions) },
  };
}

/// The fields that are not lists of entries.
Fields FieldsOf(const Catalogue& aCatalogue)
{
  return { { "requiresKeys", aCatalogue.requiresKeys ? "keys required" : "no keys required" } };
}

Fields FieldsOf(const CallerLimits& aLimits)
{
  return {
    { "maxHeaders", Format(aLimits.maxHeaders) },
    { "maxBody", Format(aLimits.maxBody) },
    { "headerTimeout", Format(aLimits.headerTimeout) },
    { "idleTimeout", Format(aLimits.idleTimeout) },
  };
}

template<typename Rule>
std::vector<FieldChange> CompareFields(const Rule& aBefore, const Rule& aAfter)
{
  const Fields before = FieldsOf(aBefore);
  const Fields after = FieldsOf(aAfter);
  std::vector<FieldChange> changes;
  for (std::size_t n = 0; n < before.size(); ++n) {
    if (before[n].second != after[n].second) {
      changes.push_back(
        { .field = before[n].first, .before = before[n].second, .after = after[n].second });
    }
  }
  return changes;
}

/// Tells how many keys are new and how many are gone.
void CompareKeys(const WorkspaceRule& aBefore, const WorkspaceRule& aAfter,
                 std::vector<FieldChange>& aChanges)
{
  const std::set<std::string> before(aBefore.keys.begin(), aBefore.keys.end());
  const std::set<std::string> after(aAfter.keys.begin(), aAfter.keys.end());
  if (before == after) {
    return;
  }
  std::vector<std::string> kept;
  std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                        std::back_inserter(kept));
  aChanges.push_back({ .field = "keys",
                       .before = std::to_string(before.size()) + " keys",
                       .after = std::to_string(after.size()) + " keys (" +
                                std::to_string(after.size() - kept.size()) + " added, " +
                                std::to_string(before.size() - kept.size()) + " removed)" });
}

template<typename Rule>
std::vector<FieldChange> CompareEntries(const Rule& aBefore, const Rule& aAfter)
{
  return CompareFields(aBefore, aAfter);
}

std::vector<FieldChange> CompareEntries(const WorkspaceRule& aBefore, const WorkspaceRule& aAfter)
{
  std::vector<FieldChange> changes = CompareFields(aBefore, aAfter);
  CompareKeys(aBefore, aAfter, changes);
  return changes;
}

/// Name of an entry and how many entries of that name precede it.
using EntryKey = std::pair<std::string, int>;

template<typename Rule>
std::map<EntryKey, const Rule*> IndexByName(const std::vector<Rule>& aRules)
{
  std::map<std::string, int> counts;
  std::map<EntryKey, const Rule*> index;
  for (const Rule& it : aRules) {
    index[{ it.id.Text(), counts[it.id.Text()]++ }] = &it;
  }
  return index;
}

template<typename Rule>
void CompareLists(const std::vector<Rule>& aBefore, const std::vector<Rule>& aAfter,
                  EntryKind aKind, std::vector<EntryChange>& aChanges)
{
  const auto before = IndexByName(aBefore);
  const auto after = IndexByName(aAfter);
  const auto add = [&](ChangeKind aChange, const EntryKey& aKey, std::vector<FieldChange> aFields) {
    aChanges.push_back(
      { .change = aChange, .kind = aKind, .entry = aKey.first, .fields = std::move(aFields) });
  };
  for (const auto& [key, rule] : before) {
    if (!after.contains(key)) {
      add(ChangeKind::Removed, key, {});
    }
  }
  for (const auto& [key, rule] : after) {
    const auto it = before.find(key);
    if (it == before.end()) {
      add(ChangeKind::Added, key, {});
    } else if (auto fields = CompareEntries(*it->second, *rule); !fields.empty()) {
      add(ChangeKind::Changed, key, std::move(fields));
    }
  }
}

} // namespace

std::vector<EntryChange> CompareCatalogues(const Catalogue& aBefore, const Catalogue& aAfter)
{
  std::vector<EntryChange> changes;
  CompareLists(aBefore.routes, aAfter.routes, EntryKind::Route, changes);
  CompareLists(aBefore.services, aAfter.services, EntryKind::Service, changes);
  CompareLists(aBefore.workspaces, aAfter.workspaces, EntryKind::Workspace, changes);
  const auto compare = [&](EntryKind aKind, const auto& aOld, const auto& aNew) {
    if (auto fields = CompareFields(aOld, aNew); !fields.empty()) {
      changes.push_back(
        { .change = ChangeKind::Changed, .kind = aKind, .entry = {}, .fields = std::move(fields) });
    }
  };
  compare(EntryKind::Catalogue, aBefore, aAfter);
  compare(EntryKind::Limits, aBefore.limits, aAfter.limits);
  return changes;
}

std::vector<Finding> CheckNumber(const Catalogue& aInForce, const Catalogue& aCatalogue)
{
  if (aCatalogue.number > aInForce.number || CompareCatalogues(aInForce, aCatalogue).empty()) {
    return {};
  }
  return { { .severity = Severity::Error,
             .code = "number-not-newer",
             .kind = EntryKind::Catalogue,
             .entry = {},
             .field = "number",
             .problem = std::to_string(aCatalogue.number) + " does not replace " +
                        std::to_string(aInForce.number) + ", which is in force",
             .remedy = "number it " + std::to_string(aInForce.number + 1) + " or higher" } };
}

} // namespace cuminfield::version::catalogue
