#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

// Included after the standard headers because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace {

namespace fs = std::filesystem;

const fs::path kRoot = CUMINFIELD_SOURCE_DIR;

std::string ReadPage(const fs::path& aPath)
{
  std::ifstream file(kRoot / aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string JoinWords(std::initializer_list<std::string> aWords)
{
  std::string text;
  for (const std::string& it : aWords) {
    text += text.empty() ? "" : " ";
    text += it;
  }
  return text;
}

/// Returns the first group of every match of aPattern in cuminfield/, without generated files.
std::set<std::string> FindInSources(const std::string& aPattern)
{
  std::set<std::string> found;
  const std::regex pattern(aPattern);
  for (const auto& it : fs::recursive_directory_iterator(kRoot / "cuminfield")) {
    const std::string name = it.path().filename().string();
    const bool code = name.ends_with(".cpp") || name.ends_with(".h");
    if (!code || name.find(".pb.") != std::string::npos) {
      continue;
    }
    const std::string text = ReadPage(fs::relative(it.path(), kRoot));
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end;
         ++match) {
      found.insert((*match)[1]);
    }
  }
  return found;
}

void CheckPageContains(const std::set<std::string>& aNames, const std::string& aPage)
{
  const std::string page = ReadPage(aPage);
  for (const std::string& it : aNames) {
    if (page.find("`" + it + "`") == std::string::npos) {
      FAIL(JoinWords({ it, "is missing from", aPage }).c_str());
    }
  }
}

/// Checks that for each `Build/NAME.sh WORD` in a page the script exists, and that the word occurs
/// in the script or in the program that it runs.
void CheckCommands(const std::string& aPage)
{
  const std::string page = ReadPage(aPage);
  const std::regex pattern("Build/([a-z]+)\\.sh(?: ([a-z][a-z-]*))?");
  for (std::sregex_iterator match(page.begin(), page.end(), pattern), end; match != end; ++match) {
    const std::string script = "Build/" + (*match)[1].str() + ".sh";
    CHECK_TEXT(fs::exists(kRoot / script), JoinWords({ aPage, "names", script }).c_str());
    const std::string word = (*match)[2];
    if (word.empty() || ((*match)[1] != "measure" && (*match)[1] != "prove")) {
      continue;
    }
    const std::string programs = ReadPage(script) + ReadPage("PerformanceTest/Main.cpp") +
                                 ReadPage("TestFramework/Prove.cpp") +
                                 ReadPage("TestFramework/prove/Scenario.cpp");
    CHECK_TEXT(programs.find(word) != std::string::npos,
               JoinWords({ aPage, "names", script, word }).c_str());
  }
}

} // namespace

TEST_GROUP(Pages){};

TEST(Pages, OperationsNamesEveryLogEvent)
{
  const auto events = FindInSources(
    R"((?:logging::Event|mWrite)\((?:\s*logging::Level::\w+|[^",]*),\s*"([a-z-]+)\")");
  CHECK(events.size() > 5);
  CHECK(events.contains("losses-tolerated"));
  CheckPageContains(events, "docs/OPERATIONS.md");
}

TEST(Pages, OperationsNamesEveryGauge)
{
  const auto gauges = FindInSources(R"re([gG]auges\.Add(?:Age)?\(\s*"([a-z_]+)")re");
  CHECK(gauges.size() > 10);
  std::set<std::string> names;
  for (const std::string& it : gauges) {
    names.insert("cuminfield_" + it);
  }
  CheckPageContains(names, "docs/OPERATIONS.md");
}

TEST(Pages, ProofNamesEveryInvariant)
{
  const auto invariants = FindInSources(R"re(CUMINFIELD_INVARIANT\(\s*"([a-z.-]+)")re");
  CHECK(invariants.size() > 5);
  CheckPageContains(invariants, "docs/Proof.md");
}

TEST(Pages, CommandsOnThePagesExist)
{
  CheckCommands("docs/Proof.md");
  CheckCommands("docs/CAPACITY.md");
  CheckCommands("README.md");
}
