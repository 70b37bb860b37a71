#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace cuminfield;
using namespace cuminfield::version::catalogue;

TEST_GROUP(CatalogueIndex){ static RouteRule MakeRoute(const std::string& aName,
                                                       const std::string& aHost,
                                                       const std::string& aPrefix){ RouteRule rule;
rule.id = core::RouteId(aName);
rule.host = aHost;
rule.pathPrefix = aPrefix;
rule.services = { { .service = core::ServiceId("a"), .weight = 1 },
                  { .service = core::ServiceId("b"), .weight = 0 },
                  { .service = core::ServiceId("c"), .weight = 3 } };
return rule;
}
}
;

TEST(CatalogueIndex, LongestPrefixOfTheHostWins)
{
  Catalogue catalogue;
  catalogue.routes = { MakeRoute("short", "One.example", "/a/"),
                       MakeRoute("long", "one.example", "/a/b/"),
                       MakeRoute("other", "two.example", "/a/b/c/") };
  const CatalogueIndex index(std::move(catalogue));
  STRCMP_EQUAL("long", index.FindRoute("ONE.example:8080", "/a/b/c/d")->id.Text().c_str());
  STRCMP_EQUAL("short", index.FindRoute("one.example", "/a/x")->id.Text().c_str());
  POINTERS_EQUAL(nullptr, index.FindRoute("one.example", "/b/"));
  POINTERS_EQUAL(nullptr, index.FindRoute("three.example", "/a/"));
}

/// Guards against requests to one IPv6 address that are served by the route of another one.
TEST(CatalogueIndex, IPv6AddressesAreDifferentHosts)
{
  Catalogue catalogue;
  catalogue.routes = { MakeRoute("one", "[2001:DB8::1]", "/a/"),
                       MakeRoute("two", "[2001:db8::2]:8080", "/a/") };
  const CatalogueIndex index(std::move(catalogue));
  STRCMP_EQUAL("one", index.FindRoute("[2001:db8::1]:80", "/a/x")->id.Text().c_str());
  STRCMP_EQUAL("two", index.FindRoute("[2001:db8::2]", "/a/x")->id.Text().c_str());
  POINTERS_EQUAL(nullptr, index.FindRoute("[2001:db8::3]", "/a/x"));
  POINTERS_EQUAL(nullptr, index.FindRoute("[2001", "/a/x"));
}

/// Guards against hosts that choose different routes if an older version of the program has
/// accepted several with the same host and prefix.
TEST(CatalogueIndex, FirstOfSeveralRoutesWithOnePrefixIsUsed)
{
  Catalogue catalogue;
  for (int n = 0; n < 40; ++n) {
    catalogue.routes.push_back(
      MakeRoute(std::to_string(n), n % 2 == 0 ? "h" : "H", n % 3 == 0 ? "/a/b/" : "/a/c/"));
  }
  const CatalogueIndex index(std::move(catalogue));
  STRCMP_EQUAL("0", index.FindRoute("h", "/a/b/x")->id.Text().c_str());
  STRCMP_EQUAL("1", index.FindRoute("h", "/a/c/x")->id.Text().c_str());
}

TEST(CatalogueIndex, FindsWorkspacesByKey)
{
  Catalogue catalogue;
  catalogue.workspaces = { { .id = core::WorkspaceId("w"), .keys = { "k1", "k2" }, .rank = {} } };
  const CatalogueIndex index(std::move(catalogue));
  STRCMP_EQUAL("w", index.FindWorkspaceByKey("k2")->id.Text().c_str());
  POINTERS_EQUAL(nullptr, index.FindWorkspaceByKey("k3"));
}

TEST(CatalogueIndex, ChoosesServicesByWeight)
{
  const RouteRule route = MakeRoute("r", "h", "/");
  STRCMP_EQUAL("a", CatalogueIndex::ChooseService(route, 0.0).Text().c_str());
  STRCMP_EQUAL("a", CatalogueIndex::ChooseService(route, 0.24).Text().c_str());
  STRCMP_EQUAL("c", CatalogueIndex::ChooseService(route, 0.26).Text().c_str());
  STRCMP_EQUAL("c", CatalogueIndex::ChooseService(route, 0.999).Text().c_str());
}

/// Guards against requests that run at a service with weight 0, which rounding has left for the
/// last.
TEST(CatalogueIndex, ServiceWithoutWeightIsNeverChosen)
{
  RouteRule route = MakeRoute("r", "h", "/");
  for (const double weight : { 0.1, 0.3, 12.5, 1e-300, 1e300 }) {
    route.services.assign(11, { .service = core::ServiceId("a"), .weight = weight });
    route.services.front() = { .service = core::ServiceId("first"), .weight = 0 };
    route.services.back() = { .service = core::ServiceId("last"), .weight = 0 };
    for (const double point : { 0.0, 0.5, std::nextafter(1.0, 0.0) }) {
      STRCMP_EQUAL("a", CatalogueIndex::ChooseService(route, point).Text().c_str());
    }
  }
}

/// Guards against a route's restriction that is lost because another route has the same id, and
/// against sets that grow with the number of routes and workspaces.
TEST(CatalogueIndex, KeepsTheRegionsThatRouteAndWorkspaceAllow)
{
  const auto regions = [](std::vector<std::string> aNames) {
    return core::RegionSet({ aNames.begin(), aNames.end() });
  };
  Catalogue catalogue;
  catalogue.routes = { MakeRoute("r", "h", "/a/"), MakeRoute("same", "h", "/b/"),
                       MakeRoute("same", "h", "/c/"), MakeRoute("free", "h", "/d/") };
  catalogue.routes[0].allowedRegions = regions({ "x", "y" });
  catalogue.routes[1].allowedRegions = regions({ "x", "y" });
  catalogue.workspaces.resize(3);
  catalogue.workspaces[0].id = core::WorkspaceId("w");
  catalogue.workspaces[0].allowedRegions = regions({ "y", "z" });
  catalogue.workspaces[1].id = core::WorkspaceId("twin");
  catalogue.workspaces[1].allowedRegions = regions({ "z", "y" });
  catalogue.workspaces[2].id = core::WorkspaceId("free");
  const CatalogueIndex index(std::move(catalogue));
  const auto allowed = [&](const char* aRoute, const char* aWorkspace) {
    return index.AllowedRegions(core::RouteId(aRoute), core::WorkspaceId(aWorkspace)).get();
  };
  CHECK(*allowed("r", "w") == regions({ "y" }));
  POINTERS_EQUAL(allowed("r", "w"), allowed("same", "twin"));
  CHECK(*allowed("r", "free") == regions({ "x", "y" }));
  CHECK(*allowed("same", "") == regions({ "x", "y" }));
  CHECK(*allowed("free", "w") == regions({ "y", "z" }));
  CHECK(*allowed("gone", "w") == regions({ "y", "z" }));
  POINTERS_EQUAL(nullptr, allowed("free", "free"));
  CHECK(index.HasRegionRestrictions());
  CHECK_FALSE(CatalogueIndex(Catalogue()).HasRegionRestrictions());
  POINTERS_EQUAL(nullptr, index.FindRouteRegions(core::RouteId("gone")));
  POINTERS_EQUAL(nullptr, index.FindRouteRegions(core::RouteId("free"))->get());
}

/// Only these services get the other wait policy; a route without a target has its timeout as
/// target.
TEST(CatalogueIndex, TightServicesHaveARouteWhoseTargetIsHalfOfItsTimeout)
{
  const auto isTight = [](core::Duration aTarget, core::Duration aTimeout) {
    Catalogue catalogue;
    catalogue.routes = { MakeRoute("r", "h", "/") };
    catalogue.routes[0].latencyTarget = aTarget;
    catalogue.routes[0].timeout = aTimeout;
    const auto tight = CatalogueIndex(std::move(catalogue)).ServicesWithTightTargets();
    CHECK_FALSE(tight.contains(core::ServiceId("b"))); // Has weight 0.
    return tight.contains(core::ServiceId("a"));
  };
  const std::chrono::milliseconds timeout(3000);
  CHECK(isTight(timeout * 2 / 3, timeout));
  CHECK(isTight(timeout / 2, timeout));
  CHECK_FALSE(isTight(timeout / 3, timeout));
  CHECK_FALSE(isTight(timeout, timeout));
}
