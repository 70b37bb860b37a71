#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <CppUTest/TestHarness.h>

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

/// Only these services get the other wait policy; a route without a target has its timeout as target.
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
