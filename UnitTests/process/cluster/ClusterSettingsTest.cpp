#include "cuminfield/process/cluster/ClusterSettingsFile.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

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
