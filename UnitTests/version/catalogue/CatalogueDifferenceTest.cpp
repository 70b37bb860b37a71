#include "cuminfield/version/catalogue/CatalogueDifference.h"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace cuminfield;
using namespace cuminfield::version::catalogue;
using namespace std::chrono_literals;

TEST_GROUP(CatalogueDifference)
{
  Catalogue before;
  Catalogue after;

  void setup() override
  {
    RouteRule route;
    route.id = core::RouteId("r1");
    route.services = { { .service = core::ServiceId("s"), .weight = 1 } };
    before.number = 4;
    before.routes = { route };
    route.id = core::RouteId("r2");
    before.routes.push_back(route);
    before.services = { { .id = core::ServiceId("s"), .engine = std::nullopt } };
    WorkspaceRule workspace;
    workspace.id = core::WorkspaceId("w");
    workspace.keys = { "secret1", "secret2" };
    before.workspaces = { workspace };
    after = before;
    after.number = 5;
  }

  /// Checks that one field of one entry differs.
  void CheckChange(EntryKind aKind, const char* aField, const char* aBefore, const char* aAfter)
  {
    const auto changes = CompareCatalogues(before, after);
    CHECK_EQUAL_TEXT(1U, changes.size(), aField);
    CHECK(changes[0].change == ChangeKind::Changed && changes[0].kind == aKind);
    CHECK_EQUAL_TEXT(1U, changes[0].fields.size(), aField);
    STRCMP_EQUAL(aField, changes[0].fields[0].field.c_str());
    STRCMP_EQUAL(aBefore, changes[0].fields[0].before.c_str());
    STRCMP_EQUAL(aAfter, changes[0].fields[0].after.c_str());
    after = before;
  }
};

TEST(CatalogueDifference, OrderOfEntriesIsNoDifference)
{
  std::swap(after.routes[0], after.routes[1]);
  std::swap(after.workspaces[0].keys[0], after.workspaces[0].keys[1]);
  CHECK(CompareCatalogues(before, after).empty());
}

TEST(CatalogueDifference, AddedAndRemovedEntriesAreFound)
{
  after.routes[0].id = core::RouteId("r0");
  const auto changes = CompareCatalogues(before, after);
  CHECK_EQUAL(2, changes.size());
  CHECK(changes[0].change == ChangeKind::Removed && changes[1].change == ChangeKind::Added);
  STRCMP_EQUAL("r1", changes[0].entry.c_str());
  STRCMP_EQUAL("r0", changes[1].entry.c_str());
}

/// Guards against a field whose change goes unnoticed.
TEST(CatalogueDifference, EachFieldIsCompared)
{
  const auto route = [&](const char* aField, const char* aBefore, const char* aAfter) {
    CheckChange(EntryKind::Route, aField, aBefore, aAfter);
  };
  after.routes[1].host = "h";
  route("host", "", "h");
  after.routes[1].pathPrefix = "/a";
  route("pathPrefix", "", "/a");
  after.routes[1].services.push_back({ .service = core::ServiceId("t"), .weight = 12.5 });
  route("services", "s 1", "s 1, t 12.5");
  after.routes[1].stream = true;
  route("stream", "false", "true");
  after.routes[1].idempotent = true;
  route("idempotent", "false", "true");
  after.routes[1].resumable = true;
  route("resumable", "false", "true");
  after.routes[1].anonymous = true;
  route("anonymous", "false", "true");
  after.routes[1].maxAttempts = 2;
  route("maxAttempts", "1", "2");
  after.routes[1].rank = 3;
  route("rank", "0", "3");
  after.routes[1].timeout = 1500us;
  route("timeout", "0 ms", "1.5 ms");
  after.routes[1].latencyTarget = 2s;
  route("latencyTarget", "0 ms", "2000 ms");
  after.routes[1].eventGapTarget = 1ms;
  route("eventGapTarget", "0 ms", "1 ms");
  const core::RegionSet regions({ core::RegionId("south"), core::RegionId("north") });
  after.routes[1].allowedRegions = regions;
  route("allowedRegions", "any", "north south");
  after.services[0].maxConnections = 9;
  CheckChange(EntryKind::Service, "maxConnections", "0", "9");
  after.services[0].coldPerSecond = 11;
  CheckChange(EntryKind::Service, "coldPerSecond", "0", "11");
  after.services[0].coldStart = 4s;
  CheckChange(EntryKind::Service, "coldStart", "3000 ms", "4000 ms");
  before.services[0].engine = EngineRule{};
  after = before;
  after.services[0].engine->slots = 6;
  CheckChange(EntryKind::Service, "slots", "1", "6");
  after.services[0].engine->cacheTokens = { 70 };
  CheckChange(EntryKind::Service, "cacheTokens", "0", "70");
  after.services[0].engine->eventTokens = 2;
  CheckChange(EntryKind::Service, "eventTokens", "1", "2");
  const auto workspace = [&](const char* aField, const char* aBefore, const char* aAfter) {
    CheckChange(EntryKind::Workspace, aField, aBefore, aAfter);
  };
  after.workspaces[0].rank = 0;
  workspace("rank", "none", "0");
  after.workspaces[0].unitsPerSecond = 0.5;
  workspace("unitsPerSecond", "0", "0.5");
  after.workspaces[0].burstUnits = 100;
  workspace("burstUnits", "0", "100");
  after.workspaces[0].defaultRequestUnits = 2;
  workspace("defaultRequestUnits", "1", "2");
  after.workspaces[0].allowedRegions = regions;
  workspace("allowedRegions", "any", "north south");
  const auto limits = [&](const char* aField, const char* aBefore, const char* aAfter) {
    CheckChange(EntryKind::Limits, aField, aBefore, aAfter);
  };
  after.requiresKeys = false;
  CheckChange(EntryKind::Catalogue, "requiresKeys", "keys required", "no keys required");
  after.limits.maxHeaders = { 1 };
  limits("maxHeaders", "16384 bytes", "1 bytes");
  after.limits.maxBody = { 2 };
  limits("maxBody", "4194304 bytes", "2 bytes");
  after.limits.headerTimeout = 1s;
  limits("headerTimeout", "3000 ms", "1000 ms");
  after.limits.idleTimeout = 1s;
  limits("idleTimeout", "15000 ms", "1000 ms");
}

/// Guards against API keys in the output.
TEST(CatalogueDifference, KeysAreCountedAndNotShown)
{
  after.workspaces[0].keys = { "secret2", "secret3", "secret4" };
  CheckChange(EntryKind::Workspace, "keys", "2 keys", "3 keys (2 added, 1 removed)");
}

/// Guards against a change that control hosts acknowledge and never put in force.
TEST(CatalogueDifference, NumberMustBeNewer)
{
  CHECK(CheckNumber(before, before).empty());
  after.routes[0].rank = 1;
  CHECK(CheckNumber(before, after).empty());
  for (const std::uint64_t it : { 4, 3 }) {
    after.number = it;
    const auto findings = CheckNumber(before, after);
    CHECK_EQUAL(1, findings.size());
    STRCMP_EQUAL("number-not-newer", findings[0].code.c_str());
    CHECK(findings[0].severity == Severity::Error);
  }
}
