#include "platform/HeaderCodec.h"

#include "platform/ConfigurationText.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;
using connection::FindHeader;

TEST_GROUP(HeaderCodec)
{
  platform::HeaderCodec codec;
  std::unique_ptr<version::catalogue::CatalogueIndex> catalogue;
  connection::caller::CallerRequest request;
  core::Instant now{ 50s };

  void setup() override
  {
    version::catalogue::Catalogue content;
    version::catalogue::RouteRule route;
    route.id = core::RouteId("r");
    route.host = "h.example";
    route.pathPrefix = "/a/";
    route.services = { { .service = core::ServiceId("s"), .weight = 1 } };
    route.timeout = 12s;
    route.rank = 2;
    content.routes = { route };
    content.workspaces = { { .id = core::WorkspaceId("w"),
                             .keys = { "key" },
                             .rank = 1,
                             .unitsPerSecond = 5,
                             .burstUnits = 5,
                             .defaultRequestUnits = 200 } };
    catalogue = std::make_unique<version::catalogue::CatalogueIndex>(std::move(content));
    request.method = "POST";
    request.target = "/a/b?c";
    request.path = "/a/b";
    request.headers = { { .name = "Host", .value = "h.example" },
                        { .name = "X-Cuminfield-Request-Id", .value = "id1" },
                        { .name = "X-Cuminfield-Token-Count", .value = "1460,80" },
                        { .name = "X-Cuminfield-Deadline-Ms", .value = "9000" },
                        { .name = "X-Api-Key", .value = "key" } };
  }

  void AddHeader(const std::string& aName, const std::string& aValue)
  {
    request.headers.push_back({ .name = aName, .value = aValue });
  }

  /// Puts a configuration with one route for the request in force; aTenants is its list of tenants
  /// with the key and a comma, or empty.
  void Configure(const std::string& aTenants)
  {
    auto parsed = platform::ParseConfiguration(
      R"({"version":1,)" + aTenants +
      R"("routes":[{"name":"r","host":"h.example","path_prefix":"/a/","timeout_ms":1000,"service":"s"}],
      "services":[{"name":"s"}]})");
    CHECK(parsed.has_value());
    catalogue = std::make_unique<version::catalogue::CatalogueIndex>(std::move(parsed.value()));
  }

  ForwardRequest ParseValid() const
  {
    auto parsed = codec.ParseRequest(request, *catalogue, now);
    CHECK(std::holds_alternative<ForwardRequest>(parsed));
    return std::get<ForwardRequest>(parsed);
  }

  int RejectedStatus() const
  {
    const auto parsed = codec.ParseRequest(request, *catalogue, now);
    CHECK(std::holds_alternative<ForwardFailure>(parsed));
    return std::get<ForwardFailure>(parsed).status;
  }

  connection::HttpHeaders UpstreamHeaders(const std::string& aLastEventId = "") const
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId("i-1");
    return codec.MakeUpstreamHeaders(ParseValid(), upstream, 1500ms, aLastEventId);
  }
};

TEST(HeaderCodec, ParsesRequestSpec)
{
  const ForwardRequest parsed = ParseValid();
  STRCMP_EQUAL("id1", parsed.spec.id.Text().c_str());
  STRCMP_EQUAL("w", parsed.spec.workspace.Text().c_str());
  CHECK_EQUAL(1460, parsed.spec.promptTokens.value);
  CHECK_EQUAL(80, parsed.spec.maxOutputTokens.value);
  CHECK(parsed.callerDeadline == now + 9s);
  CHECK(parsed.timeout == now + 9s);
  DOUBLES_EQUAL(1540, parsed.quotaUnits, 0);
  CHECK_FALSE(parsed.spec.retryable);
}

TEST(HeaderCodec, UsesDefaultUnitsWithoutTokenCount)
{
  request.headers.erase(request.headers.begin() + 2);
  DOUBLES_EQUAL(200, ParseValid().quotaUnits, 0);
}

TEST(HeaderCodec, RejectsUnknownKeyAndUnknownRoute)
{
  request.headers.back().value = "nobody's";
  CHECK_EQUAL(401, RejectedStatus());
  request.path = "/z/";
  CHECK_EQUAL(404, RejectedStatus());
}

/// Guards against routes that open to everybody once a configuration has removed the last tenant.
TEST(HeaderCodec, EmptyListOfTenantsAdmitsNobody)
{
  Configure(R"("tenants":[{"name":"t","api_keys":["key"]}],)");
  STRCMP_EQUAL("t", ParseValid().spec.workspace.Text().c_str());
  Configure(R"("tenants":[],)");
  CHECK_EQUAL(401, RejectedStatus());
  request.headers.pop_back();
  CHECK_EQUAL(401, RejectedStatus());
}

/// Guards against requests without a key that count as those of a tenant with an empty one.
TEST(HeaderCodec, EmptyKeyOfATenantAdmitsNobody)
{
  Configure(R"("tenants":[{"name":"t","api_keys":["","key"]}],)");
  CHECK_FALSE(ParseValid().spec.workspace.IsEmpty());
  request.headers.back().value = "";
  CHECK_EQUAL(401, RejectedStatus());
  request.headers.pop_back();
  CHECK_EQUAL(401, RejectedStatus());
}

/// A configuration without `tenants` requires no keys.
TEST(HeaderCodec, ConfigurationWithoutTenantsAdmitsEverybody)
{
  Configure("");
  CHECK(ParseValid().spec.workspace.IsEmpty());
  request.headers.pop_back();
  CHECK(ParseValid().spec.workspace.IsEmpty());
}

TEST(HeaderCodec, ReplacesReservedHeaders)
{
  AddHeader("x-cuminfield-tenant", "forged");
  AddHeader("X-Cuminfield-Expect-Instance", "forged");
  AddHeader("X-Cuminfield-Hold", "forged");
  AddHeader("Kv-From", "forged");
  AddHeader("X-Cuminfield-Kv-Backup", "forged");
  const auto sent = UpstreamHeaders();
  STRCMP_EQUAL("w", std::string(FindHeader(sent, "X-Cuminfield-Tenant")).c_str());
  STRCMP_EQUAL("i-1", std::string(FindHeader(sent, "X-Cuminfield-Expect-Instance")).c_str());
  STRCMP_EQUAL("1500", std::string(FindHeader(sent, "X-Cuminfield-Deadline-Ms")).c_str());
  for (const auto& it : sent) {
    CHECK(it.value != "forged");
    CHECK(it.value != "key");
  }
}

TEST(HeaderCodec, RemovesHopByHopHeaders)
{
  AddHeader("Connection", "close, X-Private");
  AddHeader("X-Private", "1");
  AddHeader("Transfer-Encoding", "chunked");
  AddHeader("Keep-Alive", "timeout=5");
  AddHeader("X-Public", "1");
  const auto sent = UpstreamHeaders();
  CHECK(FindHeader(sent, "Connection").empty());
  CHECK(FindHeader(sent, "X-Private").empty());
  CHECK(FindHeader(sent, "Transfer-Encoding").empty());
  CHECK_FALSE(FindHeader(sent, "X-Public").empty());
}

TEST(HeaderCodec, ConnectionHeaderCannotRemoveRoutingHeaders)
{
  AddHeader("Connection", "Host, X-Cuminfield-Token-Count");
  const auto sent = UpstreamHeaders();
  CHECK_FALSE(FindHeader(sent, "Host").empty());
  CHECK_FALSE(FindHeader(sent, "X-Cuminfield-Token-Count").empty());
}

TEST(HeaderCodec, SetsLastEventIdOfResumedStream)
{
  AddHeader("Last-Event-Id", "3");
  STRCMP_EQUAL("3", std::string(FindHeader(UpstreamHeaders(), "Last-Event-Id")).c_str());
  STRCMP_EQUAL("8", std::string(FindHeader(UpstreamHeaders("8"), "Last-Event-Id")).c_str());
}

TEST(HeaderCodec, DetectsNotRunResponses)
{
  CHECK(codec.IsNotRunResponse(421, {}));
  CHECK(codec.IsNotRunResponse(503, { { .name = "X-Cuminfield-Not-Executed", .value = "1" } }));
  CHECK_FALSE(codec.IsNotRunResponse(503, {}));
  CHECK_FALSE(codec.IsNotRunResponse(500, {}));
}

TEST(HeaderCodec, KnowsTheStatusesThatPromiseNotRun)
{
  for (const int status : { 408, 421, 429, 503 }) {
    CHECK(codec.IsNotRunStatus(status));
  }
  for (const int status : { 200, 400, 409, 500, 502, 504 }) {
    CHECK_FALSE(codec.IsNotRunStatus(status));
  }
}

TEST(HeaderCodec, RetryAfterHasFractionalSeconds)
{
  const auto headers = codec.MakeFailureHeaders(
    core::RequestId("id1"), { .status = 503, .reason = "overload", .retryAfter = 1250ms });
  STRCMP_EQUAL("1.250", std::string(FindHeader(headers, "Retry-After")).c_str());
  STRCMP_EQUAL("id1", std::string(FindHeader(headers, "X-Cuminfield-Request-Id")).c_str());
}

TEST(HeaderCodec, ParsesPromptPartsAndKeepsTheLastOneApart)
{
  AddHeader("X-Cuminfield-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  const ForwardRequest parsed = ParseValid();
  CHECK_EQUAL(2, parsed.spec.sharedParts.size());
  STRCMP_EQUAL("5c1e07a2", parsed.spec.sharedParts[0].Text().c_str());
  STRCMP_EQUAL("91bd3f06", parsed.spec.sharedParts[1].Text().c_str());
  STRCMP_EQUAL("e4402b7d", parsed.spec.ownPart.Text().c_str());
}

TEST(HeaderCodec, PromptPartsOfAnyCallerAreBounded)
{
  std::string list = ",,:5," + std::string(1000, 'a') + ":1,b";
  for (int n = 0; n < 1000; ++n) {
    list += "," + std::to_string(n) + ":1";
  }
  AddHeader("X-Cuminfield-Prompt-Prefix", list);
  const ForwardRequest parsed = ParseValid();
  CHECK_EQUAL(127, parsed.spec.sharedParts.size());
  STRCMP_EQUAL("b", parsed.spec.sharedParts[0].Text().c_str());
}

/// A time that can't be read must not stand for a warm upstream.
TEST(HeaderCodec, ParsesColdTimes)
{
  const auto parse = [&](const char* aText) {
    return codec.ParseColdTime({ { .name = "X-Cuminfield-Cold-Ms", .value = aText } });
  };
  CHECK_FALSE(codec.ParseColdTime({}).has_value());
  CHECK(parse("0") == core::Duration(0));
  CHECK(parse("1500") == core::Duration(1500ms));
  for (const char* it : { "-1", "600001", "1e99", "nan", "soon", "12x" }) {
    CHECK(*parse(it) < core::Duration(0));
  }
}
