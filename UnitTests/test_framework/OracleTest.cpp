#include "TestFramework/prove/Oracle.h"

#include <filesystem>
#include <fstream>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using cuminfield::test_framework::prove::Oracle;

/// Each test plants one fault in the files of a proof, or none.
TEST_GROUP(Oracle)
{
  std::string folder =
    std::filesystem::temp_directory_path() / ("oracle-test-" + std::to_string(getpid()));
  Oracle oracle;

  void setup() override
  {
    std::filesystem::create_directories(folder);
    spdlog::set_level(spdlog::level::off);
  }

  void teardown() override
  {
    spdlog::set_level(spdlog::level::info);
    std::filesystem::remove_all(folder);
  }

  void Ran(const std::string& aUpstream, const std::string& aId, const std::string& aKey)
  {
    std::ofstream(folder + "/" + aUpstream + ".record", std::ios::app)
      << R"({"kind":"begin","method":"POST","request_id":")" << aId << R"(","key":")" << aKey
      << "\"}\n";
  }

  void Told(const std::string& aOutcome, const std::string& aKey, const std::string& aRest)
  {
    std::ofstream(folder + "/outcomes.jsonl", std::ios::app)
      << R"({"outcome":")" << aOutcome << R"(","key":")" << aKey << '"' << aRest << "}\n";
  }

  std::size_t Violations()
  {
    oracle.CheckFolder(folder);
    return oracle.Violations();
  }
};

TEST(Oracle, FindsNothingWhereAllIsTrue)
{
  Ran("a", "r1", "k1");
  Told("answered", "k1", R"(,"target":"/payouts")");
  Told("not-run", "k2", R"(,"not_run_ids":["r2"])");
  LONGS_EQUAL(0, Violations());
  CHECK(oracle.Checks() > 0);
}

TEST(Oracle, FindsAKeyThatRanTwice)
{
  Ran("a", "r1", "k1");
  Ran("b", "r2", "k1");
  LONGS_EQUAL(1, Violations());
}

TEST(Oracle, FindsARequestThatRanTwice)
{
  Ran("a", "r1", "");
  Ran("b", "r1", "");
  LONGS_EQUAL(1, Violations());
}

TEST(Oracle, FindsARunThatWasAnsweredNotRun)
{
  Ran("a", "r1", "");
  Told("not-run", "", R"(,"not_run_ids":["r1"])");
  LONGS_EQUAL(1, Violations());
}

TEST(Oracle, FindsAPayoutThatWasAnsweredAndDidNotRun)
{
  Told("answered", "k1", R"(,"target":"/payouts")");
  LONGS_EQUAL(1, Violations());
}

TEST(Oracle, FindsWrongAnswersAndSilence)
{
  Told("wrong", "", "");
  Told("broken", "k1", R"(,"status":0)");
  LONGS_EQUAL(2, Violations());
}
