#include "cuminfield/version/document/Document.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::version::document;

namespace {

const std::string kValidDocument = "[environment]\n"
                                   "name = production\n"
                                   "[tier blurb]\n"
                                   "rank = 1\n"
                                   "[tier quick]\n"
                                   "rank = 0\n"
                                   "first-token = 250ms\n"
                                   "[workspace shop]\n"
                                   "home = gent-a\n"
                                   "tiers = quick blurb\n"
                                   "[service taxateur]\n"
                                   "kind = engine\n"
                                   "version = v1\n"
                                   "[service kassa]\n"
                                   "kind = plain\n"
                                   "version = v1\n"
                                   "[route quote]\n"
                                   "service = taxateur\n"
                                   "path = /quotes\n"
                                   "[route payout]\n"
                                   "service = kassa\n"
                                   "path = /payouts/*\n"
                                   "idempotent = no\n";

const std::string kMove = "[move winter]\n"
                          "service = taxateur\n"
                          "from = v1\n"
                          "to = v2\n"
                          "start = 2026-12-05T18:00:00Z\n"
                          "finish-by = 2026-12-05T20:00:00Z\n";

std::string ReplaceInDocument(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kValidDocument + kMove;
  const std::size_t at = text.find(aFrom);
  CHECK(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

void CheckRejected(const std::string& aText, const std::string& aPart)
{
  const auto document = ParseDocument(aText, "production.ini");
  CHECK(!document);
  CHECK(document.error().kind == core::ErrorKind::InvalidSettings);
  STRCMP_CONTAINS(aPart.c_str(), document.error().message.c_str());
}

std::string MakeSecondMove(const std::string& aFrom, const std::string& aTo,
                           const std::string& aStart)
{
  return "[move spring]\nservice = taxateur\nfrom = " + aFrom + "\nto = " + aTo +
         "\nstart = " + aStart + "\nfinish-by = 2027-03-01T00:00:00Z\n";
}

} // namespace

TEST_GROUP(Document){};

TEST(Document, ParsesACompleteDocument)
{
  const auto parsed = ParseDocument(kValidDocument + kMove, "production.ini");
  CHECK(parsed.has_value());
  const Document& document = parsed.value();
  STRCMP_EQUAL("production", document.environment.Text().c_str());
  STRCMP_EQUAL("quick", document.tiers[0].id.Text().c_str());
  CHECK(document.tiers[0].firstTokenTarget == std::chrono::milliseconds(250));
  STRCMP_EQUAL("gent-a", document.workspaces[0].home.Text().c_str());
  LONGS_EQUAL(2, document.workspaces[0].tiers.size());
  CHECK(document.services[1].kind == ServiceKind::Plain);
  CHECK(!document.routes[1].idempotent);
  DOUBLES_EQUAL(2.0, document.moves[0].canaryPercent, 0.0);
  CHECK(document.moves[0].finishBy - *document.moves[0].start == std::chrono::hours(2));
}

TEST(Document, RejectsDanglingReferences)
{
  CheckRejected(ReplaceInDocument("tiers = quick blurb", "tiers = quick slow"),
                "production.ini:10: [workspace shop] tiers: no tier 'slow'");
  CheckRejected(ReplaceInDocument("service = kassa", "service = till"),
                "production.ini:21: [route payout] service: no service 'till'");
  CheckRejected(ReplaceInDocument("service = taxateur\nfrom", "service = taxi\nfrom"),
                "[move winter] service: no service 'taxi'");
  CheckRejected(ReplaceInDocument("from = v1", "from = v0"),
                "[move winter] from: service 'taxateur' has");
}

TEST(Document, RejectsContradictions)
{
  CheckRejected(ReplaceInDocument("rank = 0", "rank = 1"),
                "[tier quick] rank: same rank as tier 'blurb'");
  CheckRejected("[environment]\nname = trial\n", "no tier; add a section [tier NAME]");
  CheckRejected(ReplaceInDocument("to = v2", "to = v1"), "[move winter] to: same version as from");
  CheckRejected(ReplaceInDocument("finish-by = 2026", "finish-by = 2025"),
                "finish-by: not after start");
  CheckRejected(kValidDocument + kMove + "canary = 5.01\n",
                "[move winter] canary: '5.01' is not valid");
  CheckRejected(ReplaceInDocument("path = /quotes", "path = /quotes*x"), "[route quote] path: ");
  CheckRejected(ReplaceInDocument("[tier quick]", "[tier]"),
                "production.ini:5: [tier]: needs a name");
  CheckRejected(ReplaceInDocument("[tier quick]", "[tier  quick]"), "write one blank");
  CheckRejected(ReplaceInDocument("kind = plain", "kind = Plain"), "write: one of engine plain");
  CheckRejected(kValidDocument + "[route again]\nservice = kassa\npath = /payouts/*\n",
                "same method, path and service as route 'payout'");
}

TEST(Document, MovesOfOneServiceNeitherOverlapNorChain)
{
  const std::string text = kValidDocument + kMove;
  CHECK(ParseDocument(text + MakeSecondMove("v1", "v3", "2026-12-05T20:00:00Z"), "p").has_value());
  CheckRejected(text + MakeSecondMove("v1", "v3", "2026-12-05T19:59:59Z"),
                "overlaps with move 'winter'");
  CheckRejected(text + MakeSecondMove("v2", "v3", "2026-12-06T00:00:00Z"),
                "builds upon move 'winter'");
}

TEST(Document, HomeDataCentresMustHaveAGroup)
{
  const auto document = ParseDocument(kValidDocument, "production.ini");
  CHECK(CheckHomeDataCentres(document.value(), { core::DataCentreId("gent-a") }).has_value());
  const auto result = CheckHomeDataCentres(document.value(), { core::DataCentreId("luik-a") });
  CHECK(!result);
  STRCMP_CONTAINS("[workspace shop] home: no group keeps claims in 'gent-a'",
                  result.error().message.c_str());
}

TEST(Document, AcceptsTheMaximumNumberOfWorkspaces)
{
  std::string text = kValidDocument;
  for (std::size_t i = 1; i < kMaxWorkspaces; ++i) {
    text += "[workspace w" + std::to_string(i) + "]\nhome = gent-a\nweight = 2\n";
  }
  const auto document = ParseDocument(text, "production.ini");
  CHECK(document.has_value());
  LONGS_EQUAL(kMaxWorkspaces, document.value().workspaces.size());
  STRCMP_EQUAL("w14999", document.value().workspaces.back().id.Text().c_str());
  CheckRejected(text + "[workspace one-more]\nhome = gent-a\n", "15001 workspaces; keep at most");
}
