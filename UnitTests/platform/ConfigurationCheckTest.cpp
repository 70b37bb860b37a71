#include "platform/ConfigurationCheck.h"

#include "platform/Programs.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

// Included after the standard headers because it redefines `new`.
#include <CppUTest/TestHarness.h>

using cuminfield::process::command::ExitCode;

namespace {

/// Passes what the program prints to strings.
class CapturedOutput
{
public:
  CapturedOutput()
    : mOutput(std::cout.rdbuf(mOutputText.rdbuf()))
    , mErrors(std::cerr.rdbuf(mErrorText.rdbuf()))
  {
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;
  ~CapturedOutput()
  {
    std::cout.rdbuf(mOutput);
    std::cerr.rdbuf(mErrors);
  }

  std::string Text() const { return mOutputText.str() + mErrorText.str(); }

private:
  std::ostringstream mOutputText;
  std::ostringstream mErrorText;
  std::streambuf* mOutput;
  std::streambuf* mErrors;
};

} // namespace

TEST_GROUP(ConfigurationCheck)
{
  std::filesystem::path folder;
  nlohmann::json body;
  std::string printed;

  void setup() override
  {
    std::string name = (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
    CHECK(::mkdtemp(name.data()) != nullptr);
    folder = name;
    body = nlohmann::json::parse(R"({
      "version": 7,
      "routes": [{"name":"r1","host":"h","path_prefix":"/a/","timeout_ms":1000,"service":"s1"}],
      "services": [{"name":"s1"}],
      "tenants": [{"name":"t","api_keys":["secret"],"rate_per_s":10,"burst":5}]})");
  }
  void teardown() override
  {
    std::filesystem::remove_all(folder);
  }

  std::string Write(const char* aName, const std::string& aText)
  {
    std::string path = (folder / aName).string();
    std::ofstream(path) << aText;
    return path;
  }

  ExitCode Run(const std::vector<std::string>& aArguments)
  {
    const CapturedOutput output;
    std::vector<std::string> arguments{ "check" };
    arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
    const ExitCode code = cuminfield::process::command::RunCommand(arguments, platform::kCommands);
    printed = output.Text();
    return code;
  }

  bool Prints(const std::string& aText) const
  {
    return printed.find(aText) != std::string::npos;
  }
};

TEST(ConfigurationCheck, SoundConfigurationHasStatus0)
{
  CHECK(Run({ Write("new", body.dump()) }) == ExitCode::Ok);
  CHECK_TEXT(Prints("new: ok, a configuration, version 7: 0 errors, 0 warnings\n"),
             printed.c_str());
}

TEST(ConfigurationCheck, WarningsHaveStatus0AndNameTheKey)
{
  body["routes"][0]["target_latency_ms"] = 2000;
  CHECK(Run({ Write("new", body.dump()) }) == ExitCode::Ok);
  CHECK_TEXT(Prints("warning: route r1: target_latency_ms: the target of 2000 ms is above"),
             printed.c_str());
  CHECK(Prints("[target-above-timeout]"));
}

/// All errors are listed, not only the first, with which control hosts would answer.
TEST(ConfigurationCheck, ErrorsHaveStatus1AndShowNoKeys)
{
  body["routes"].push_back(body["routes"][0]);
  body["routes"][1]["service"] = "s2";
  body["tenants"].push_back(body["tenants"][0]);
  body["tenants"][1]["name"] = "u";
  CHECK(Run({ Write("new", body.dump()) }) == ExitCode::Failed);
  for (const char* it : { "[service-unknown]", "[route-repeated]", "[key-repeated]", "tenant u" }) {
    CHECK_TEXT(Prints(it), printed.c_str());
  }
  CHECK_FALSE(Prints("secret"));
  CHECK_FALSE(platform::CheckConfiguration(body.dump(), std::nullopt).findings.empty());
}

/// Guards against a text that control hosts reject and the check does not.
TEST(ConfigurationCheck, UnreadableTextsHaveStatus1)
{
  const std::string whole = body.dump();
  for (const std::string& it : { whole.substr(0, whole.size() - 1), std::string("{}"),
                                 std::string(R"({"version":0,"routes":[],"services":[]})"),
                                 std::string(R"({"version":1,"routes":[{}],"services":[]})") }) {
    CHECK(Run({ Write("new", it) }) == ExitCode::Failed);
    CHECK_TEXT(Prints("[unreadable]"), printed.c_str());
    CHECK_FALSE(Prints("secret"));
  }
  CHECK(Run({ Write("new", "{") }) == ExitCode::Failed);
  CHECK_TEXT(Prints("; send it again in full [unreadable]"), printed.c_str());
}

TEST(ConfigurationCheck, DifferencesFromTheVersionInForceArePrinted)
{
  const std::string inForce = Write("in-force", body.dump());
  body["version"] = 8;
  body["routes"][0]["timeout_ms"] = 3000;
  body["services"].push_back({ { "name", "s2" } });
  body["tenants"][0]["api_keys"].push_back("secret2");
  const std::string path = Write("new", body.dump());
  CHECK(Run({ path, "--in-force", inForce }) == ExitCode::Ok);
  for (const char* it :
       { "changed: route r1: timeout_ms: 1000 ms -> 3000 ms\n", "added: service s2\n",
         "changed: tenant t: api_keys: 1 keys -> 2 keys (1 added, 0 removed)\n" }) {
    CHECK_TEXT(Prints(it), printed.c_str());
  }
  CHECK_FALSE(Prints("secret"));
}

/// Guards against an empty list of tenants that is shown as no difference from none.
TEST(ConfigurationCheck, EmptyListOfTenantsIsADifferenceAndAWarning)
{
  body.erase("tenants");
  const std::string inForce = Write("in-force", body.dump());
  body["version"] = 8;
  body["tenants"] = nlohmann::json::array();
  CHECK(Run({ Write("new", body.dump()), "--in-force", inForce }) == ExitCode::Ok);
  CHECK_TEXT(Prints("changed: configuration: tenants: no keys required -> keys required\n"),
             printed.c_str());
  CHECK_TEXT(Prints("[workspaces-empty]"), printed.c_str());
}

TEST(ConfigurationCheck, VersionThatWouldNotComeIntoForceIsAnError)
{
  const std::string inForce = Write("in-force", body.dump());
  CHECK(Run({ inForce, "--in-force", inForce }) == ExitCode::Ok);
  body["routes"][0]["timeout_ms"] = 3000;
  CHECK(Run({ Write("new", body.dump()), "--in-force", inForce }) == ExitCode::Failed);
  CHECK_TEXT(Prints("version: 7 does not replace 7"), printed.c_str());
}

TEST(ConfigurationCheck, JsonHasFindingsAndChanges)
{
  const std::string inForce = Write("in-force", body.dump());
  body["version"] = 8;
  body["tenants"][0]["burst"] = 0;
  CHECK(Run({ Write("new", body.dump()), "--in-force", inForce, "--json" }) == ExitCode::Ok);
  const auto report = nlohmann::json::parse(printed);
  CHECK(report["ok"].get<bool>());
  CHECK_EQUAL(8, report["version"].get<int>());
  CHECK(report["findings"][0]["code"] == "rate-without-burst");
  CHECK(report["findings"][0]["severity"] == "warning");
  CHECK(report["findings"][0]["kind"] == "tenant" && report["findings"][0]["name"] == "t");
  CHECK(report["findings"][0]["key"] == "burst");
  CHECK(report["changes"][0]["change"] == "changed");
  CHECK(report["changes"][0]["fields"][0] ==
        nlohmann::json({ { "key", "burst" }, { "before", "5" }, { "after", "0" } }));
  CHECK(Run({ Write("new", "{"), "--json" }) == ExitCode::Failed);
  CHECK(nlohmann::json::parse(printed)["changes"].is_null());
}

/// Guards against INI files that are no longer checked, and options that are silently ignored.
TEST(ConfigurationCheck, IniFilesAreCheckedAsBefore)
{
  const std::string path = Write("document.ini", "[environment]\nname = trial\nother = x\n");
  CHECK(Run({ path }) == ExitCode::Failed);
  CHECK_TEXT(Prints("[environment] other"), printed.c_str());
  CHECK(Run({ path, "--json" }) == ExitCode::Usage);
  CHECK(Run({ path, "--in-force", path }) == ExitCode::Usage);
}

TEST(ConfigurationCheck, WrongCommandLinesHaveStatus2)
{
  const std::string path = Write("new", body.dump());
  CHECK(Run({}) == ExitCode::Usage);
  CHECK(Run({ path, path }) == ExitCode::Usage);
  CHECK(Run({ path, "--other" }) == ExitCode::Usage);
  CHECK(Run({ path, "--in-force" }) == ExitCode::Usage);
  CHECK(Run({ (folder / "missing").string() }) == ExitCode::Failed);
  CHECK(Run({ path, "--in-force", (folder / "missing").string() }) == ExitCode::Failed);
}
