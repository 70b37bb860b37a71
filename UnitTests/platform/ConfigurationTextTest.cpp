#include "platform/ConfigurationText.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;

TEST_GROUP(ConfigurationText)
{
  nlohmann::json body;

  void setup() override
  {
    body = nlohmann::json::parse(R"({
      "version": 7,
      "routes": [
        {"name":"r1","host":"h","path_prefix":"/a/","kind":"stream","timeout_ms":12000,
         "target_latency_ms":250,"priority":1,"service":"s1","max_attempts":2,"public":false,
         "resumable":true,"gap_goal_ms":200},
        {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe","timeout_ms":1000,
         "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"public":true}],
      "services": [{"name":"s1","max_conns":300,"engine":{"slots":15,"kv_capacity_tokens":900,
                    "stride":6}},{"name":"s2"}],
      "limits": {"idle_timeout_ms":15000},
      "tenants": [{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"token_stream",
                   "plain_tokens":200,"rate_per_s":1000,"burst":500}]})");
  }

  void ExpectInvalid()
  {
    const auto parsed = platform::ParseConfiguration(body.dump());
    CHECK(parsed.has_error());
    CHECK(parsed.error().kind == core::ErrorKind::InvalidRequest);
  }
};

TEST(ConfigurationText, AllFieldsAreParsed)
{
  const auto parsed = platform::ParseConfiguration(body.dump());
  CHECK(parsed.has_value());
  const auto& catalogue = parsed.value();
  CHECK_EQUAL(7, catalogue.number);
  const auto& stream = catalogue.routes[0];
  CHECK(stream.stream && stream.resumable && stream.idempotent);
  CHECK(stream.timeout == 12s && stream.latencyTarget == 250ms && stream.eventGapTarget == 200ms);
  CHECK_EQUAL(2, stream.maxAttempts);
  const auto& plain = catalogue.routes[1];
  CHECK(!plain.idempotent && plain.anonymous);
  CHECK_EQUAL(2, plain.services.size());
  CHECK_EQUAL(15, catalogue.services[0].engine->slots);
  CHECK_FALSE(catalogue.services[1].engine.has_value());
  CHECK_EQUAL(2, catalogue.workspaces[0].keys.size());
  DOUBLES_EQUAL(200, catalogue.workspaces[0].defaultRequestUnits, 0);
}

TEST(ConfigurationText, InvalidConfigurationsAreRejected)
{
  const nlohmann::json valid = body;
  STRCMP_CONTAINS(
    "JSON", platform::ParseConfiguration(valid.dump().substr(0, 200)).error().message.c_str());
  body["routes"][0]["service"] = "nobody";
  ExpectInvalid();
  body = valid;
  body["routes"][1]["path_prefix"] = "/a/";
  ExpectInvalid();
  body = valid;
  body["routes"][1]["split"][0]["weight"] = 0;
  body["routes"][1]["split"][1]["weight"] = 0;
  ExpectInvalid();
  body = valid;
  body["routes"][0]["timeout_ms"] = 0;
  ExpectInvalid();
  body = valid;
  body["tenants"].push_back({ { "name", "u" }, { "api_keys", { "k2" } } });
  ExpectInvalid();
  body = valid;
  body.erase("version");
  ExpectInvalid();
  body = valid;
  body["routes"] = "none";
  ExpectInvalid();
}

/// Guards against a list that is not one, such as the null of an empty list, and is read as absent:
/// without `tenants`, requests need no key.
TEST(ConfigurationText, TenantsOfAnotherTypeAreRejected)
{
  for (const char* it : { "null", "{}", R"("t")", "false", "0" }) {
    body["tenants"] = nlohmann::json::parse(it);
    ExpectInvalid();
    STRCMP_CONTAINS("tenants must be a list",
                    platform::ParseConfiguration(body.dump()).error().message.c_str());
  }
}

/// Guards against a list that is not one and is read as absent: a tenant would have no keys, and
/// all of a route's requests would go to the service beside its split.
TEST(ConfigurationText, ListsOfAnotherTypeAreRejected)
{
  const nlohmann::json valid = body;
  for (const char* it : { R"("k1")", R"({"k1":true})", "true", "0" }) {
    body["tenants"][0]["api_keys"] = nlohmann::json::parse(it);
    ExpectInvalid();
    STRCMP_CONTAINS("tenant t: api_keys must be a list",
                    platform::ParseConfiguration(body.dump()).error().message.c_str());
    body = valid;
    body["routes"][0]["split"] = nlohmann::json::parse(it);
    ExpectInvalid();
    STRCMP_CONTAINS("route r1: split must be a list",
                    platform::ParseConfiguration(body.dump()).error().message.c_str());
    body = valid;
  }
}

/// Guards against requests that run at the service of another route, which an operator added with
/// the same host in other letters: hosts are looked up without regard to case and port.
TEST(ConfigurationText, RoutesWithTheSameHostInOtherLettersAreRejected)
{
  nlohmann::json other = body["routes"][0];
  other["name"] = "r3";
  other["service"] = "s2";
  for (const char* it : { "H", "h:80", "H:80" }) {
    other["host"] = it;
    body["routes"].push_back(other);
    ExpectInvalid();
    STRCMP_CONTAINS("route r3: route r1 has the same host",
                    platform::ParseConfiguration(body.dump()).error().message.c_str());
    body["routes"].erase(body["routes"].size() - 1);
  }
  other["host"] = "h2";
  body["routes"].push_back(other);
  CHECK(platform::ParseConfiguration(body.dump()).has_value());
}

/// Guards against a number that is accepted as it is written, while hosts use another one because
/// it doesn't fit: a timeout of 0, the highest rank for the lowest.
TEST(ConfigurationText, NumbersAreUsedAsTheyAreChecked)
{
  const nlohmann::json valid = body;
  const std::uint64_t tooLarge = 1UL << 32U;
  body["routes"][0]["timeout_ms"] = 0.0001;
  const auto shortest = platform::ParseConfiguration(body.dump());
  CHECK(shortest.has_value());
  CHECK(shortest.value().routes[0].timeout > core::Duration::zero());
  body = valid;
  body["routes"][0]["timeout_ms"] = 1e300;
  body["routes"][0]["max_attempts"] = tooLarge;
  body["routes"][0]["priority"] = tooLarge;
  body["tenants"][0]["priority"] = tooLarge;
  const auto parsed = platform::ParseConfiguration(body.dump());
  CHECK(parsed.has_value());
  const auto& route = parsed.value().routes[0];
  CHECK(route.timeout >= 24h);
  CHECK(route.maxAttempts > 2 && route.rank > 1000 && parsed.value().workspaces[0].rank > 1000);
}

/// Guards against a valid configuration that is refused, and so never acknowledged, because a
/// weight is no whole number or a large one.
TEST(ConfigurationText, WeightsMayBeAnyNumbersFromZeroOn)
{
  auto& split = body["routes"][1]["split"];
  for (const double it : { 12.5, 0.0, 1e-9, 99.99, 4294967296.0, 1e300 }) {
    split[0]["weight"] = it;
    split[1]["weight"] = 0.25;
    const auto parsed = platform::ParseConfiguration(body.dump());
    CHECK(parsed.has_value());
    const auto& shares = parsed.value().routes[1].services;
    DOUBLES_EQUAL(it, shares[0].weight, 0);
    DOUBLES_EQUAL(0.25, shares[1].weight, 0);
  }
  for (const char* it : { "-0.5", "-1", R"("50")", "null", "1e308" }) {
    split[0]["weight"] = nlohmann::json::parse(it);
    split[1]["weight"] = 1e308;
    ExpectInvalid();
  }
}

TEST(ConfigurationText, UnknownFieldsAreIgnored)
{
  body["routes"][0]["later"] = { 1, 2 };
  body["new"] = true;
  CHECK(platform::ParseConfiguration(body.dump()).has_value());
}

TEST(ConfigurationText, AllowedRegionsAreParsed)
{
  body["routes"][0]["allowed_regions"] = { "b", "a" };
  body["routes"][1]["allowed_regions"] = nlohmann::json::array();
  body["tenants"][0]["allowed_regions"] = nullptr;
  const auto parsed = platform::ParseConfiguration(body.dump());
  CHECK(parsed.has_value());
  const core::RegionSet expected({ core::RegionId("a"), core::RegionId("b") });
  CHECK(parsed.value().routes[0].allowedRegions == expected);
  CHECK_FALSE(parsed.value().routes[1].allowedRegions.has_value());
  CHECK_FALSE(parsed.value().workspaces[0].allowedRegions.has_value());
}

/// Guards against a restriction that is dropped because it is written in another way.
TEST(ConfigurationText, AllowedRegionsOfAnotherTypeAreRejected)
{
  const nlohmann::json valid = body;
  for (const char* it : { R"("a")", R"({"a":true})", R"(["a",1])", "[null]", "false", "0" }) {
    for (const char* list : { "routes", "tenants" }) {
      body = valid;
      body[list][0]["allowed_regions"] = nlohmann::json::parse(it);
      ExpectInvalid();
      STRCMP_CONTAINS("allowed_regions must be a list",
                      platform::ParseConfiguration(body.dump()).error().message.c_str());
    }
  }
}

/// Without the limit of its cold upstreams, a service would crash them when they return.
TEST(ConfigurationText, ReadsLimitsOfColdUpstreams)
{
  CHECK_FALSE(platform::HasPacedService(body.dump()));
  body["services"][0]["cold_per_s"] = 11.0;
  body["services"][0]["cold_start_s"] = 2.5;
  CHECK(platform::HasPacedService(body.dump()));
  const auto parsed = platform::ParseConfiguration(body.dump());
  DOUBLES_EQUAL(11, parsed.value().services[0].coldPerSecond, 0);
  CHECK(parsed.value().services[0].coldStart == std::chrono::milliseconds(2500));
  body["services"][0]["cold_per_s"] = nullptr;
  CHECK_FALSE(platform::HasPacedService(body.dump()));
}
