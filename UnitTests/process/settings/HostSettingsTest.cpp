#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/settings/SettingsReference.h"
#include "cuminfield/process/settings/Values.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/document/DocumentReference.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cctype>
#include <fstream>
#include <sstream>

using namespace cuminfield;
using namespace cuminfield::process::settings;

namespace {

const std::string kValidSettings = "[host]\n"
                                   "id = g1\n"
                                   "data-centre = gent-a\n"
                                   "region = gent\n"
                                   "environment = production\n"
                                   "data-folder = /var/lib/cuminfield\n"
                                   "[listen]\n"
                                   "callers = 127.0.0.1:7300\n"
                                   "control = 127.0.0.1:7301\n"
                                   "peers = 127.0.0.1:7302\n"
                                   "[peers]\n"
                                   "g2 = 127.0.0.1:7312@gent-a\n"
                                   "l1 = 127.0.0.1:7322@luik-a\n"
                                   "[groups]\n"
                                   "documents = g1 g2 l1\n"
                                   "gent-a = g1 g2\n";

std::string ReplaceInValid(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kValidSettings;
  const std::size_t at = text.find(aFrom);
  CHECK(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

std::string ParseError(const std::string& aText)
{
  const auto settings = ParseHostSettings(aText, "g1.ini");
  CHECK(!settings);
  CHECK(settings.error().kind == core::ErrorKind::InvalidSettings);
  return settings.error().message;
}

void CheckParseError(const std::string& aText, const std::string& aExpected)
{
  STRCMP_CONTAINS(aExpected.c_str(), ParseError(aText).c_str());
}

} // namespace

TEST_GROUP(HostSettings){};

TEST(HostSettings, ReadsACompleteFile)
{
  const auto settings =
    ParseHostSettings(kValidSettings + "[limits]\nbody = 32MiB\nshutdown = 90s\n"
                                       "[log]\nlevel = debug\nformat = json\n",
                      "g1.ini");
  CHECK(settings.has_value());
  const HostSettings& host = settings.value();
  STRCMP_EQUAL("g1", host.id.Text().c_str());
  STRCMP_EQUAL("127.0.0.1:7302", host.peerEndpoint.ToString().c_str());
  LONGS_EQUAL(2, host.peers.size());
  STRCMP_EQUAL("luik-a", host.peers[1].dataCentre.Text().c_str());
  LONGS_EQUAL(3, host.groups[0].voters.size());
  LONGS_EQUAL(32 * 1024 * 1024, host.maxRequestBody.value);
  CHECK(host.shutdownTimeout == std::chrono::seconds(90));
  CHECK(host.logFormat == LogFormat::Json);
  STRCMP_EQUAL("debug", host.logLevel.c_str());
}

TEST(HostSettings, AbsentKeysHaveTheReferenceDefaults)
{
  std::string text = kValidSettings;
  std::string section = "groups";
  for (const KeySpec& spec : SettingsReference()) {
    const std::string defaultValue = spec.defaultValue;
    if (defaultValue == "required" || defaultValue == "none" ||
        std::string("host") == spec.section) {
      continue;
    }
    text += section == spec.section ? "" : std::string("[") + spec.section + "]\n";
    section = spec.section;
    text += std::string(spec.key) + " = " + defaultValue + "\n";
  }
  const auto given = ParseHostSettings(text, "given.ini");
  const auto absent = ParseHostSettings(kValidSettings, "absent.ini");
  CHECK(given.has_value() && absent.has_value());
  CHECK(given.value().maxRequestBody == absent.value().maxRequestBody);
  CHECK(given.value().maxCallerBuffer == absent.value().maxCallerBuffer);
  CHECK(given.value().maxCallerConnections == absent.value().maxCallerConnections);
  CHECK(given.value().callerIdleTimeout == absent.value().callerIdleTimeout);
  CHECK(given.value().upstreamConnectTimeout == absent.value().upstreamConnectTimeout);
  CHECK(given.value().upstreamStallTimeout == absent.value().upstreamStallTimeout);
  CHECK(given.value().shutdownTimeout == absent.value().shutdownTimeout);
  CHECK(given.value().upstreamLeaseDuration == absent.value().upstreamLeaseDuration);
  CHECK(given.value().logFormat == absent.value().logFormat);
  CHECK(given.value().logLevel == absent.value().logLevel);
}

TEST(HostSettings, ErrorsNameFileLineSectionKeyAndRemedy)
{
  CheckParseError(ReplaceInValid("region = gent", "regoin = gent"),
                  "g1.ini:4: [host] regoin: unknown key; use one of id, data-centre, region");
  CheckParseError(ReplaceInValid("region = gent\n", ""),
                  "g1.ini:1: [host] region: missing; add `region = `");
  CheckParseError(ReplaceInValid("id = g1\n", "id = g1\nid = g2\n"),
                  "g1.ini:3: [host] id: repeated key");
  CheckParseError(kValidSettings + "[limit]\n",
                  "g1.ini:17: [limit]: unknown section; use one of [host]");
  CheckParseError(kValidSettings + "[host]\n",
                  "g1.ini:17: section [host] is repeated (first in line 1)");
  CheckParseError(kValidSettings + "[host extra]\n", "unknown section");
  CheckParseError("", "section [host] is missing");
}

TEST(HostSettings, ReportsAllErrorsInFileOrder)
{
  const std::string error = ParseError(ReplaceInValid("region = gent", "regoin = gent") +
                                       "[limits]\nbody = 4MB\ncallers = 0\nshutdown = 25h\n");
  STRCMP_CONTAINS("g1.ini:18: [limits] body: '4MB' is not valid", error.c_str());
  STRCMP_CONTAINS("g1.ini:19: [limits] callers: '0' is not valid", error.c_str());
  STRCMP_CONTAINS("g1.ini:20: [limits] shutdown: '25h' is not valid", error.c_str());
  CHECK(error.find("regoin") < error.find("4MB"));
  LONGS_EQUAL(4, std::count(error.begin(), error.end(), '\n'));
}

TEST(HostSettings, RejectsLinesThatTheIniLibraryIgnores)
{
  CheckParseError(kValidSettings + "gent-b\n", "g1.ini:17: not a section, an entry or a comment");
  CheckParseError(kValidSettings + "[log\n", "g1.ini:17: not a section header");
  CheckParseError(kValidSettings + "[log] x\n", "g1.ini:17: not a section header");
  CheckParseError("id = g1\n" + kValidSettings, "g1.ini:1: entry before the first section");
  CheckParseError(kValidSettings + std::string("\0", 1), "control character");
  CHECK(ParseHostSettings("\xEF\xBB\xBF# comment\n; another\n\n" + kValidSettings, "g1.ini")
          .has_value());
  CHECK(ParseHostSettings("# comment\n" + kValidSettings + "# [\n;x", "g1.ini").has_value());
}

TEST(HostSettings, RejectsDanglingReferences)
{
  CheckParseError(ReplaceInValid("g1 g2 l1", "g1 g2 l2"),
                  "[groups] documents: voter 'l2' is not a host");
  CheckParseError(ReplaceInValid("gent-a = g1 g2", "gent-b = g1 g2"),
                  "[groups] gent-b: is no data centre");
  CheckParseError(ReplaceInValid("documents = g1 g2 l1\n", ""), "[groups] documents: missing");
  CheckParseError(ReplaceInValid("data-folder = /var/lib/cuminfield\n", ""),
                  "set [host] data-folder");
  CheckParseError(ReplaceInValid("g2 = 127.0.0.1:7312", "g1 = 127.0.0.1:7312"),
                  "is this host itself");
  CheckParseError(ReplaceInValid("127.0.0.1:7322", "127.0.0.1:7312"),
                  "[peers] l1: address of another host");
  CheckParseError(ReplaceInValid("127.0.0.1:7301", "127.0.0.1:7300"),
                  "[listen] control: same address");
  CheckParseError(ReplaceInValid("g1 g2 l1", "g1 g2 g2"),
                  "[groups] documents: 'g1 g2 g2' is not valid");
}

TEST(HostSettings, RejectsArbitraryTextWithLineNumbers)
{
  const auto property = [] {
    const std::vector<std::string> fragments = { "[host]",
                                                 "[log]",
                                                 "[limits]",
                                                 "[",
                                                 "]",
                                                 "=",
                                                 "level",
                                                 "info",
                                                 "body",
                                                 "4MiB",
                                                 "id",
                                                 "\n",
                                                 "\n",
                                                 "\n",
                                                 "\r",
                                                 " ",
                                                 ";",
                                                 "#",
                                                 "<<<E",
                                                 "\"",
                                                 "\t",
                                                 std::string(1, '\0'),
                                                 "\xEF\xBB\xBF",
                                                 "\xFF" };
    std::string text;
    for (const std::string& fragment :
         *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(fragments))) {
      text += fragment;
    }
    const auto settings = ParseHostSettings(text, "f");
    RC_ASSERT(!settings.has_value());
    std::istringstream lines(settings.error().message);
    for (std::string line; std::getline(lines, line);) {
      RC_ASSERT(line.starts_with("f:") && std::isdigit(static_cast<unsigned char>(line[2])));
    }
    RC_ASSERT(!version::document::ParseDocument(text, "f").has_value());
  };
  CHECK(rc::check(property));
}

TEST(HostSettings, MissingFileIsAnIoError)
{
  const auto settings = LoadHostSettings("/nonexistent/g1.ini");
  CHECK(!settings);
  CHECK(settings.error().kind == core::ErrorKind::Io);
}

TEST_GROUP(SettingsValues){};

TEST(SettingsValues, AcceptOnlyCompleteWellFormedText)
{
  CHECK(ParseDuration("250ms") == std::chrono::milliseconds(250));
  CHECK(ParseDuration("1h") == std::chrono::hours(1));
  for (const char* text :
       { "", "250", "ms", "-1s", "1.5s", " 1s", "1 s", "1S", "9999999999999h" }) {
    CHECK(!ParseDuration(text));
  }
  CHECK(ParseFractionalDuration("7.5s") == std::chrono::milliseconds(7500));
  CHECK(ParseFractionalDuration("1e-3s") == std::chrono::milliseconds(1));
  CHECK(ParseFractionalDuration("2m") == std::chrono::minutes(2));
  for (const char* text : { "", "7.5", "s", "-1s", ".5s", " 1s", "1.5 s", "1e999s", "nans" }) {
    CHECK(!ParseFractionalDuration(text));
  }
  CHECK(ParseFractionalDuration("9999999999999h") == kMaxFractionalDuration);
  CHECK(ParseNumber("2500.5") == 2500.5 && ParseNumber("1e-3") == 0.001 && ParseNumber("8") == 8.0);
  for (const char* text : { "", "-1", "+1", ".5", "1.5x", " 1", "inf", "nan", "0x10", "1e999" }) {
    CHECK(!ParseNumber(text));
  }
  CHECK(ParseSize("64KiB") == core::Bytes{ 65536 });
  CHECK(!ParseSize("64KB"));
  CHECK(ParseHundredths("2.5") == 250);
  CHECK(!ParseHundredths("2.555") && !ParseHundredths("2.") && !ParseHundredths(".5"));
  CHECK(!ParseYesNo("true"));
  CHECK(!ParseEndpoint("localhost:80") && !ParseEndpoint("127.0.0.1:0"));
  CHECK(!ParseEndpoint("127.0.0.1:65536") && !ParseEndpoint("127.0.0.1"));
}

TEST(SettingsValues, TimesAreCalendarDates)
{
  const auto time = ParseTime("2026-12-05T18:00:00Z");
  CHECK(time.has_value());
  CHECK(time->time_since_epoch() == std::chrono::seconds(1796493600));
  CHECK(ParseTime("2028-02-29T00:00:00Z").has_value());
  for (const char* text :
       { "2027-02-29T00:00:00Z", "2026-12-05T24:00:00Z", "2026-12-05T18:60:00Z",
         "2026-12-05 18:00:00Z", "2026-12-05T18:00:00", "2026-13-05T18:00:00Z" }) {
    CHECK(!ParseTime(text));
  }
}

TEST_GROUP(SettingsPage){};

TEST(SettingsPage, HasARowForEveryKey)
{
  const std::ifstream file(CUMINFIELD_SOURCE_DIR "/docs/Settings.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (const KeySpec& spec : SettingsReference()) {
    STRCMP_CONTAINS((spec.FormatTableRow() + "\n").c_str(), page.str().c_str());
  }
  for (const KeySpec& spec : version::document::DocumentReference()) {
    STRCMP_CONTAINS((spec.FormatTableRow() + "\n").c_str(), page.str().c_str());
  }
}
