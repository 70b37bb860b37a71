#include "cuminfield/process/cluster/ClusterSettingsFile.h"

#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

// After <regex>, since it replaces `new`.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

namespace {

using Fields = std::map<std::string, std::string>;

/// What the platform knows of an entry host, but for the bounds.
const Fields kHostFields{ { "ip", "10.1.0.25" },
                          { "node_name", "front-gent-a-1" },
                          { "zone", "gent-a" },
                          { "region", "vlaanderen" },
                          { "listen.front", "10.1.0.25:8221" },
                          { "listen.ready", "10.1.0.25:8224" },
                          { "internal_ports.0", "7600" },
                          { "seeds", "10.1.0.28:8229,10.2.0.20:8229" },
                          { "bootstrap", "true" },
                          { "fault_tolerance.machines", "1" } };

const Fields kBounds{ { "bounds.grace_s", "8" },
                      { "bounds.quota_window_s", "8" },
                      { "bounds.quota_overshoot", "0.1" },
                      { "bounds.quota_slack", "140000" },
                      { "bounds.cold_overshoot", "2" },
                      { "bounds.cold_slack", "5" },
                      { "bounds.retry_budget_ratio", "0.2" } };

/// Fills in deploy/host.ini as the users' platform does. A section is left out if its field has no
/// value or is false; 0 is a value. The template's lists are left out.
std::string RenderTemplate(const Fields& aFields)
{
  const std::ifstream file(CUMINFIELD_SOURCE_DIR "/deploy/host.ini");
  std::ostringstream page;
  page << file.rdbuf();
  std::string text = page.str();
  const auto find = [&](const std::string& aName) {
    const auto it = aFields.find(aName);
    return it == aFields.end() ? std::string() : it->second;
  };
  const std::regex section(R"(\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{/\2\}\})");
  for (std::smatch match; std::regex_search(text, match, section);) {
    const std::string value = find(match[2]);
    const bool isSet = !value.empty() && value != "false";
    const std::string body = isSet == (match[1] == "#") ? match[3].str() : std::string();
    text = match.prefix().str() + body + match.suffix().str();
  }
  const std::regex field(R"(\{\{([\w.]+)\}\})");
  for (std::smatch match; std::regex_search(text, match, field);) {
    text = match.prefix().str() + find(match[1]) + match.suffix().str();
  }
  return text;
}

/// Parses the filled-in template; fails the test if it cannot be used.
ClusterSettings ParseTemplate(const Fields& aBounds)
{
  Fields fields = kHostFields;
  fields.insert(aBounds.begin(), aBounds.end());
  const auto parsed = ParseClusterSettings(RenderTemplate(fields), "host.ini");
  CHECK_TEXT(parsed.has_value(), parsed.has_error() ? parsed.error().message.c_str() : "");
  return parsed.value();
}

} // namespace

TEST_GROUP(ClusterSettings)
{
  std::string text = "[host]\n"
                     "id = 10.1.0.25\n"
                     "name = front-gent-a-1\n"
                     "data-centre = gent-a\n"
                     "region = vlaanderen\n"
                     "[listen]\n"
                     "callers = 10.1.0.25:8221\n"
                     "ready = 10.1.0.25:8224\n"
                     "peer-port = 7600\n"
                     "[cluster]\n"
                     "seeds = 10.1.0.28:8229,10.2.0.20:8229\n"
                     "first-start = yes\n"
                     "losses = 2\n"
                     "[limits]\n"
                     "shutdown = 8s\n"
                     "[quota]\n"
                     "overshoot = 0.1\n"
                     "slack = 140000\n";

  void ExpectError(const char* aText)
  {
    const auto parsed = ParseClusterSettings(text, "file.ini");
    CHECK(parsed.has_error());
    STRCMP_CONTAINS(aText, parsed.error().message.c_str());
  }
};

TEST(ClusterSettings, ParsesKeysIntoSettings)
{
  const auto parsed = ParseClusterSettings(text, "file.ini");
  CHECK_TEXT(parsed.has_value(), parsed.has_error() ? parsed.error().message.c_str() : "");
  const ClusterSettings& settings = parsed.value();
  STRCMP_EQUAL("10.1.0.25:7600", settings.peerEndpoint.ToString().c_str());
  CHECK_EQUAL(2, settings.seeds.size());
  STRCMP_EQUAL("10.2.0.20", settings.seeds[1].Text().c_str());
  CHECK_EQUAL(5, settings.voterCount);
  CHECK(settings.firstStart);
  CHECK(settings.shutdownLimit == 8s);
  DOUBLES_EQUAL(0.1, settings.quotaOvershoot, 1e-9);
  DOUBLES_EQUAL(140'000, settings.quotaSlack, 0);
  CHECK_FALSE(settings.controlEndpoint.has_value());
}

TEST(ClusterSettings, ErrorNamesUnknownSection)
{
  text += "[cluser]\nx = 1\n";
  ExpectError("cluser");
}

TEST(ClusterSettings, RejectsSeedThatIsNotAnAddress)
{
  text.replace(text.find("10.2.0.20:8229"), 14, "elsewhere");
  ExpectError("seeds");
}

TEST(ClusterSettings, DocumentationListsEveryKey)
{
  const std::ifstream file(CUMINFIELD_SOURCE_DIR "/docs/ClusterSettings.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (const auto& spec : ClusterSettingsReference()) {
    STRCMP_CONTAINS((spec.FormatTableRow() + "\n").c_str(), page.str().c_str());
  }
}

TEST(ClusterSettings, ReadsTheRegionOfEachDataCentre)
{
  CHECK(ParseClusterSettings(text, "file.ini").value().regions.empty()); // An older template.
  text += "[data-centres]\n";
  CHECK(ParseClusterSettings(text, "file.ini").value().regions.empty()); // No zone is known.
  text += "gent-a = vlaanderen\nGent-A = other\nbrussel-1 = brussel\n";
  const auto parsed = ParseClusterSettings(text, "file.ini");
  CHECK_TEXT(parsed.has_value(), parsed.has_error() ? parsed.error().message.c_str() : "");
  const auto& regions = parsed.value().regions;
  CHECK_EQUAL(3, regions.size());
  STRCMP_EQUAL("vlaanderen", regions.at(core::DataCentreId("gent-a")).Text().c_str());
  STRCMP_EQUAL("brussel", regions.at(core::DataCentreId("brussel-1")).Text().c_str());
  text += "gent-b = two words\n";
  ExpectError("gent-b");
}

/// Guards against a template whose hosts know no region, so that restricted requests are refused.
TEST(ClusterSettings, TemplateNamesTheDataCentres)
{
  const std::ifstream file(CUMINFIELD_SOURCE_DIR "/deploy/host.ini");
  std::ostringstream page;
  page << file.rdbuf();
  STRCMP_CONTAINS("[data-centres]\n{{#zones}}\n{{@}} = {{.}}\n{{/zones}}\n", page.str().c_str());
}

/// Platforms without cold upstreams don't set the section; others write numbers with a fraction.
TEST(ClusterSettings, ReadsBoundOfColdUpstreams)
{
  text += "[cold-upstreams]\n";
  DOUBLES_EQUAL(0, ParseClusterSettings(text, "file.ini").value().coldSlack, 0);
  text += "overshoot = 1.5\nslack = 5.0\n";
  const auto parsed = ParseClusterSettings(text, "file.ini");
  DOUBLES_EQUAL(1.5, parsed.value().coldOvershoot, 1e-9);
  DOUBLES_EQUAL(5, parsed.value().coldSlack, 1e-9);
}

/// Guards against hosts that do not start because a bound of the platform is no whole number.
TEST(ClusterSettings, TemplateTakesAnyNumberAsBound)
{
  for (const auto& [name, former] : kBounds) {
    for (const char* value :
         { "0", "0.125", "8.5", "2500.5", "1e-9", "12345678901234.5", "9223372036854775807" }) {
      Fields bounds = kBounds;
      bounds[name] = value;
      ParseTemplate(bounds);
    }
  }
  const ClusterSettings settings = ParseTemplate({ { "bounds.grace_s", "8.5" },
                                                   { "bounds.quota_window_s", "7.5" },
                                                   { "bounds.quota_overshoot", "0.125" },
                                                   { "bounds.quota_slack", "2500.5" },
                                                   { "bounds.cold_overshoot", "1.125" },
                                                   { "bounds.cold_slack", "0.0625" },
                                                   { "bounds.retry_budget_ratio", "1e-3" } });
  CHECK(settings.shutdownLimit == 8500ms);
  CHECK(settings.quotaWindow == 7500ms);
  DOUBLES_EQUAL(0.125, settings.quotaOvershoot, 0);
  DOUBLES_EQUAL(2500.5, settings.quotaSlack, 0);
  DOUBLES_EQUAL(1.125, settings.coldOvershoot, 0);
  DOUBLES_EQUAL(0.0625, settings.coldSlack, 0);
  DOUBLES_EQUAL(0.001, settings.retryShare, 1e-12);
}

/// Guards against hosts that do not start because the platform does not set the bounds of rules
/// that are not in force.
TEST(ClusterSettings, TemplateLeavesOutBoundsThatAreNotSet)
{
  for (const auto& [name, former] : kBounds) {
    for (const char* value : { "", "false" }) {
      Fields bounds = kBounds;
      bounds[name] = value;
      ParseTemplate(bounds);
    }
  }
  const ClusterSettings defaults;
  const ClusterSettings settings = ParseTemplate({});
  CHECK(settings.shutdownLimit == defaults.shutdownLimit);
  CHECK(settings.quotaWindow == defaults.quotaWindow);
  DOUBLES_EQUAL(defaults.quotaOvershoot, settings.quotaOvershoot, 0);
  DOUBLES_EQUAL(defaults.quotaSlack, settings.quotaSlack, 0);
  DOUBLES_EQUAL(defaults.retryShare, settings.retryShare, 0);
}

TEST(ClusterSettings, ErrorNamesAKeyWhoseValueIsNoNumber)
{
  const std::string valid = text;
  const std::string entry = "slack = 140000";
  for (const char* value : { "", "-1", "1.5x", "inf", "nan", "0x10", "1e999" }) {
    text = valid;
    text.replace(text.find(entry), entry.size(), std::string("slack = ") + value);
    ExpectError("[quota] slack");
  }
}
