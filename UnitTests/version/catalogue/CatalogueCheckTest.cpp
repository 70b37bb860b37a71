#include "cuminfield/version/catalogue/CatalogueCheck.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::version::catalogue;
using namespace std::chrono_literals;

TEST_GROUP(CatalogueCheck)
{
  Catalogue catalogue;

  /// A catalogue without findings.
  void setup() override
  {
    catalogue.number = 1;
    catalogue.routes = { MakeRoute("r1", "h", "/a/"), MakeRoute("r2", "h", "") };
    catalogue.services = { { .id = core::ServiceId("s"), .engine = std::nullopt } };
    WorkspaceRule workspace;
    workspace.id = core::WorkspaceId("w");
    workspace.keys = { "secret" };
    workspace.unitsPerSecond = 10;
    workspace.burstUnits = 20;
    catalogue.workspaces = { workspace };
  }

  static RouteRule MakeRoute(const std::string& aName, const std::string& aHost,
                             const std::string& aPrefix)
  {
    RouteRule rule;
    rule.id = core::RouteId(aName);
    rule.host = aHost;
    rule.pathPrefix = aPrefix;
    rule.services = { { .service = core::ServiceId("s"), .weight = 1 } };
    rule.timeout = 1s;
    rule.latencyTarget = 1s;
    return rule;
  }

  /// Checks that there is one finding, of this code and entry, and that it shows no key.
  void CheckFinding(const char* aCode, Severity aSeverity, EntryKind aKind, const char* aEntry)
  {
    const auto findings = CheckCatalogue(catalogue);
    CHECK_EQUAL_TEXT(1U, findings.size(), aCode);
    const Finding& finding = findings.front();
    STRCMP_EQUAL(aCode, finding.code.c_str());
    STRCMP_EQUAL(aEntry, finding.entry.c_str());
    CHECK(finding.severity == aSeverity && finding.kind == aKind);
    CHECK(!finding.problem.empty() && !finding.remedy.empty());
    CHECK(finding.problem.find("secret") == std::string::npos);
  }
};

/// Guards against findings in a sound catalogue, which operators would learn to ignore.
TEST(CatalogueCheck, SoundCatalogueHasNoFindings)
{
  CHECK(CheckCatalogue(catalogue).empty());
}

TEST(CatalogueCheck, ServicesOfRoutesMustExist)
{
  catalogue.routes[1].services.push_back({ .service = core::ServiceId("other"), .weight = 1 });
  CheckFinding("service-unknown", Severity::Error, EntryKind::Route, "r2");
}

TEST(CatalogueCheck, ServiceWithoutRouteIsFound)
{
  catalogue.services.push_back({ .id = core::ServiceId("t"), .engine = std::nullopt });
  CheckFinding("service-unused", Severity::Warning, EntryKind::Service, "t");
}

TEST(CatalogueCheck, RepeatedNamesAreFoundOnce)
{
  catalogue.routes.push_back(MakeRoute("r1", "h", "/b/"));
  catalogue.routes.push_back(MakeRoute("r1", "h", "/c/"));
  CheckFinding("name-repeated", Severity::Warning, EntryKind::Route, "r1");
}

/// Guards against two routes that match the same requests because one host is written otherwise.
TEST(CatalogueCheck, RouteWithHostAndPrefixOfAnotherIsFound)
{
  for (const char* it : { "h", "H", "h:8080", "H:8080" }) {
    catalogue.routes.push_back(MakeRoute("r3", it, "/a/"));
    CheckFinding("route-repeated", Severity::Error, EntryKind::Route, "r3");
    CHECK_EQUAL(1, FindErrors(catalogue).size());
    catalogue.routes.pop_back();
  }
}

TEST(CatalogueCheck, PrefixThatNoPathBeginsWithIsFound)
{
  for (const char* it : { "a/", "/a?x", "/a#x", "/a b", "/a\n", "http://h/a", "/\xc3\xa9" }) {
    catalogue.routes[0].pathPrefix = it;
    CheckFinding("prefix-never-matches", Severity::Warning, EntryKind::Route, "r1");
  }
}

TEST(CatalogueCheck, HostThatNoRequestHasIsFound)
{
  for (const char* it : { "", "*.h", "http://h", "h/", "h h" }) {
    catalogue.routes[0].host = it;
    CheckFinding("host-never-matches", Severity::Warning, EntryKind::Route, "r1");
  }
}

TEST(CatalogueCheck, WorkspaceThatNoRouteAdmitsIsFound)
{
  catalogue.workspaces[0].keys.clear();
  CheckFinding("keys-missing", Severity::Warning, EntryKind::Workspace, "w");
  catalogue.workspaces[0].keys = { "" };
  CheckFinding("keys-missing", Severity::Warning, EntryKind::Workspace, "w");
  catalogue.routes[0].anonymous = true;
  CHECK(CheckCatalogue(catalogue).empty());
}

/// Guards against routes that are closed unnoticed by the removal of the last workspace.
TEST(CatalogueCheck, EmptyListOfWorkspacesIsFound)
{
  catalogue.workspaces.clear();
  CheckFinding("workspaces-empty", Severity::Warning, EntryKind::Catalogue, "");
  catalogue.requiresKeys = false;
  CHECK(CheckCatalogue(catalogue).empty());
  catalogue.requiresKeys = true;
  for (RouteRule& it : catalogue.routes) {
    it.anonymous = true;
  }
  CHECK(CheckCatalogue(catalogue).empty());
}

TEST(CatalogueCheck, KeyOfTwoWorkspacesIsFoundAndNotShown)
{
  WorkspaceRule other = catalogue.workspaces[0];
  other.id = core::WorkspaceId("v");
  catalogue.workspaces.push_back(other);
  CheckFinding("key-repeated", Severity::Error, EntryKind::Workspace, "v");
  // Within one workspace a repeated key is harmless.
  catalogue.workspaces.pop_back();
  catalogue.workspaces[0].keys = { "secret", "secret" };
  CHECK(CheckCatalogue(catalogue).empty());
}

TEST(CatalogueCheck, TargetsAboveTheTimeoutAreFound)
{
  catalogue.routes[0].latencyTarget = 1001ms;
  CheckFinding("target-above-timeout", Severity::Warning, EntryKind::Route, "r1");
  catalogue.routes[0].latencyTarget = 1s;
  catalogue.routes[0].eventGapTarget = 1001ms;
  CheckFinding("gap-above-timeout", Severity::Warning, EntryKind::Route, "r1");
}

TEST(CatalogueCheck, QuotasThatContradictThemselvesAreFound)
{
  WorkspaceRule& workspace = catalogue.workspaces[0];
  workspace.burstUnits = 0;
  CheckFinding("rate-without-burst", Severity::Warning, EntryKind::Workspace, "w");
  workspace.unitsPerSecond = 0;
  CHECK(CheckCatalogue(catalogue).empty());
  workspace.burstUnits = 1;
  CheckFinding("burst-without-rate", Severity::Warning, EntryKind::Workspace, "w");
  workspace.burstUnits = -1;
  CheckFinding("quota-negative", Severity::Warning, EntryKind::Workspace, "w");
}

/// Guards against a workspace whose requests on a route would all be refused.
TEST(CatalogueCheck, RegionsOfRouteAndWorkspaceWithoutACommonOneAreFound)
{
  const core::RegionSet north({ core::RegionId("north") });
  const core::RegionSet south({ core::RegionId("south") });
  catalogue.routes[0].allowedRegions = north;
  catalogue.workspaces[0].allowedRegions = north;
  CHECK(CheckCatalogue(catalogue).empty());
  catalogue.workspaces[0].allowedRegions = south;
  CheckFinding("regions-disjoint", Severity::Warning, EntryKind::Route, "r1");
}
