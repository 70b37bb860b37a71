#include "cuminfield/version/catalogue/CatalogueCheck.h"

#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace cuminfield::version::catalogue {

namespace {

using Findings = std::vector<Finding>;

std::string FormatNumber(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

std::string FormatMilliseconds(core::Duration aDuration)
{
  return FormatNumber(core::Milliseconds(aDuration)) + " ms";
}

/// True for characters that neither a host name nor the path of a request contains.
bool IsForbiddenInUrl(char aCharacter)
{
  const auto character = static_cast<unsigned char>(aCharacter);
  return character <= ' ' || character >= 0x7f;
}

void CheckUnknownServices(const Catalogue& aCatalogue, Findings& aFindings)
{
  std::set<core::ServiceId> known;
  for (const ServiceRule& it : aCatalogue.services) {
    known.insert(it.id);
  }
  for (const RouteRule& it : aCatalogue.routes) {
    for (const ServiceShare& share : it.services) {
      if (!known.contains(share.service)) {
        aFindings.push_back({ .severity = Severity::Error,
                              .code = "service-unknown",
                              .kind = EntryKind::Route,
                              .entry = it.id.Text(),
                              .field = "services",
                              .problem = "there is no service " + share.service.Text(),
                              .remedy = "add the service or name another one" });
      }
    }
  }
}

void CheckUnusedServices(const Catalogue& aCatalogue, Findings& aFindings)
{
  std::set<core::ServiceId> used;
  for (const RouteRule& it : aCatalogue.routes) {
    for (const ServiceShare& share : it.services) {
      used.insert(share.service);
    }
  }
  for (const ServiceRule& it : aCatalogue.services) {
    if (!used.contains(it.id)) {
      aFindings.push_back({ .code = "service-unused",
                            .kind = EntryKind::Service,
                            .entry = it.id.Text(),
                            .problem = "no route names it, so it gets no requests",
                            .remedy = "name it in a route or remove it" });
    }
  }
}

/// Finds entries of one list that have the same name.
template<typename Rule>
void CheckNames(const std::vector<Rule>& aRules, EntryKind aKind, Findings& aFindings)
{
  std::map<std::string, int> counts;
  for (const Rule& it : aRules) {
    if (++counts[it.id.Text()] == 2) {
      aFindings.push_back({ .code = "name-repeated",
                            .kind = aKind,
                            .entry = it.id.Text(),
                            .problem = "several entries have this name, so that figures and "
                                       "differences cannot tell them apart",
                            .remedy = "rename or remove all but one" });
    }
  }
}

void CheckAllNames(const Catalogue& aCatalogue, Findings& aFindings)
{
  CheckNames(aCatalogue.routes, EntryKind::Route, aFindings);
  CheckNames(aCatalogue.services, EntryKind::Service, aFindings);
  CheckNames(aCatalogue.workspaces, EntryKind::Workspace, aFindings);
}

void CheckHost(const RouteRule& aRoute, Findings& aFindings)
{
  const auto isForbidden = [](char aCharacter) {
    return IsForbiddenInUrl(aCharacter) ||
           std::string_view("/?#@*").find(aCharacter) != std::string_view::npos;
  };
  if (aRoute.host.empty() || std::any_of(aRoute.host.begin(), aRoute.host.end(), isForbidden)) {
    aFindings.push_back(
      { .code = "host-never-matches",
        .kind = EntryKind::Route,
        .entry = aRoute.id.Text(),
        .field = "host",
        .problem = "no request has this host name; there are no wildcards",
        .remedy = "write the host name alone, without scheme, path, spaces and wildcards" });
  }
}

void CheckPathPrefix(const RouteRule& aRoute, Findings& aFindings)
{
  const std::string& prefix = aRoute.pathPrefix;
  const auto isForbidden = [](char aCharacter) {
    return IsForbiddenInUrl(aCharacter) || aCharacter == '?' || aCharacter == '#';
  };
  if ((!prefix.empty() && prefix.front() != '/') ||
      std::any_of(prefix.begin(), prefix.end(), isForbidden)) {
    aFindings.push_back({ .code = "prefix-never-matches",
                          .kind = EntryKind::Route,
                          .entry = aRoute.id.Text(),
                          .field = "pathPrefix",
                          .problem = "no path begins with this prefix",
                          .remedy = "begin with a slash; write neither a query, a fragment nor "
                                    "spaces, and other characters than ASCII percent-encoded" });
  }
}

/// Finds routes that match the same requests as another one, by the comparison with which
/// CatalogueIndex looks routes up.
void CheckRepeatedMatches(const Catalogue& aCatalogue, Findings& aFindings)
{
  std::map<std::pair<std::string, std::string>, const RouteRule*> first;
  for (const RouteRule& it : aCatalogue.routes) {
    const auto [other, isFirst] =
      first.try_emplace({ CatalogueIndex::NormalizeHostName(it.host), it.pathPrefix }, &it);
    if (isFirst) {
      continue;
    }
    const bool isAsWritten = other->second->host == it.host;
    aFindings.push_back(
      { .severity = Severity::Error,
        .code = "route-repeated",
        .kind = EntryKind::Route,
        .entry = it.id.Text(),
        .field = "pathPrefix",
        .problem = "route " + other->second->id.Text() + " has the same host and path prefix" +
                   (isAsWritten ? "" : " (case and port of a host do not matter)"),
        .remedy = "change the host or the path prefix of one of them, or remove it" });
  }
}

void CheckMatches(const Catalogue& aCatalogue, Findings& aFindings)
{
  for (const RouteRule& it : aCatalogue.routes) {
    CheckHost(it, aFindings);
    CheckPathPrefix(it, aFindings);
  }
}

/// Finds an empty list of workspaces, which closes all routes but anonymous ones.
void CheckAdmission(const Catalogue& aCatalogue, Findings& aFindings)
{
  const auto isClosed = [](const RouteRule& aRoute) { return !aRoute.anonymous; };
  if (aCatalogue.requiresKeys && aCatalogue.workspaces.empty() &&
      std::any_of(aCatalogue.routes.begin(), aCatalogue.routes.end(), isClosed)) {
    aFindings.push_back({ .code = "workspaces-empty",
                          .kind = EntryKind::Catalogue,
                          .field = "requiresKeys",
                          .problem = "the list is empty, so that nobody has a key",
                          .remedy = "add an entry; leave the list out if no request needs a key" });
  }
}

void CheckMissingKeys(const Catalogue& aCatalogue, Findings& aFindings)
{
  const bool admitsWithoutKey =
    std::any_of(aCatalogue.routes.begin(), aCatalogue.routes.end(),
                [](const RouteRule& aRoute) { return aRoute.anonymous; });
  for (const WorkspaceRule& it : aCatalogue.workspaces) {
    const bool hasKey = std::any_of(it.keys.begin(), it.keys.end(),
                                    [](const std::string& aKey) { return !aKey.empty(); });
    if (!hasKey && !admitsWithoutKey) {
      aFindings.push_back({ .code = "keys-missing",
                            .kind = EntryKind::Workspace,
                            .entry = it.id.Text(),
                            .field = "keys",
                            .problem = "it has no API key and no route admits requests without one",
                            .remedy = "add a key, or remove the entry" });
    }
  }
}

void CheckRepeatedKeys(const Catalogue& aCatalogue, Findings& aFindings)
{
  std::map<std::string, const WorkspaceRule*> owners;
  for (const WorkspaceRule& it : aCatalogue.workspaces) {
    std::set<std::string> others;
    for (const std::string& key : it.keys) {
      const auto [owner, isNew] = owners.try_emplace(key, &it);
      if (!isNew && owner->second != &it) {
        others.insert(owner->second->id.Text());
      }
    }
    for (const std::string& other : others) {
      aFindings.push_back({ .severity = Severity::Error,
                            .code = "key-repeated",
                            .kind = EntryKind::Workspace,
                            .entry = it.id.Text(),
                            .field = "keys",
                            .problem = other + " has one of its API keys, too",
                            .remedy = "give each its own keys" });
    }
  }
}

void CheckRouteLimits(const RouteRule& aRoute, Findings& aFindings)
{
  const auto checkTarget = [&](const char* aField, const char* aCode, core::Duration aTarget) {
    if (aTarget > aRoute.timeout) {
      aFindings.push_back({ .code = aCode,
                            .kind = EntryKind::Route,
                            .entry = aRoute.id.Text(),
                            .field = aField,
                            .problem = "the target of " + FormatMilliseconds(aTarget) +
                                       " is above the timeout of " +
                                       FormatMilliseconds(aRoute.timeout),
                            .remedy = "lower the target or raise the timeout" });
    }
  };
  checkTarget("latencyTarget", "target-above-timeout", aRoute.latencyTarget);
  checkTarget("eventGapTarget", "gap-above-timeout", aRoute.eventGapTarget);
}

void CheckQuota(const WorkspaceRule& aWorkspace, Findings& aFindings)
{
  const auto add = [&](const char* aCode, const char* aField, std::string aProblem,
                       const char* aRemedy) {
    aFindings.push_back({ .code = aCode,
                          .kind = EntryKind::Workspace,
                          .entry = aWorkspace.id.Text(),
                          .field = aField,
                          .problem = std::move(aProblem),
                          .remedy = aRemedy });
  };
  if (aWorkspace.unitsPerSecond < 0 || aWorkspace.burstUnits < 0) {
    add("quota-negative", aWorkspace.unitsPerSecond < 0 ? "unitsPerSecond" : "burstUnits",
        "the value is below 0", "write 0 for no quota, or a value above 0");
  } else if (aWorkspace.unitsPerSecond > 0 && aWorkspace.burstUnits == 0) {
    add("rate-without-burst", "burstUnits",
        "there is a rate of " + FormatNumber(aWorkspace.unitsPerSecond) +
          " per second, but no burst",
        "add a burst of at least the largest request");
  } else if (aWorkspace.unitsPerSecond == 0 && aWorkspace.burstUnits > 0) {
    add("burst-without-rate", "burstUnits",
        "there is no rate, so there is no quota and the burst has no effect",
        "add a rate or remove the burst");
  }
}

void CheckLimits(const Catalogue& aCatalogue, Findings& aFindings)
{
  for (const RouteRule& it : aCatalogue.routes) {
    CheckRouteLimits(it, aFindings);
  }
  for (const WorkspaceRule& it : aCatalogue.workspaces) {
    CheckQuota(it, aFindings);
  }
}

void CheckRegions(const Catalogue& aCatalogue, Findings& aFindings)
{
  for (const RouteRule& route : aCatalogue.routes) {
    for (const WorkspaceRule& it : aCatalogue.workspaces) {
      if (!route.allowedRegions || !it.allowedRegions ||
          !route.allowedRegions->Intersect(*it.allowedRegions).IsEmpty()) {
        continue;
      }
      aFindings.push_back(
        { .code = "regions-disjoint",
          .kind = EntryKind::Route,
          .entry = route.id.Text(),
          .field = "allowedRegions",
          .problem = "no region is allowed to both the route and workspace " + it.id.Text(),
          .remedy = "add a common region; until then the workspace's requests are refused here" });
    }
  }
}

using Check = void (*)(const Catalogue&, Findings&);

/// Checks whose findings are errors.
constexpr Check kErrorChecks[] = { CheckUnknownServices, CheckRepeatedMatches, CheckRepeatedKeys };

/// Checks whose findings are warnings.
constexpr Check kWarningChecks[] = { CheckUnusedServices, CheckAllNames,    CheckMatches,
                                     CheckAdmission,      CheckMissingKeys, CheckLimits,
                                     CheckRegions };

} // namespace

std::vector<Finding> CheckCatalogue(const Catalogue& aCatalogue)
{
  Findings findings = FindErrors(aCatalogue);
  for (const Check check : kWarningChecks) {
    check(aCatalogue, findings);
  }
  return findings;
}

std::vector<Finding> FindErrors(const Catalogue& aCatalogue)
{
  Findings findings;
  for (const Check check : kErrorChecks) {
    check(aCatalogue, findings);
  }
  return findings;
}

} // namespace cuminfield::version::catalogue
