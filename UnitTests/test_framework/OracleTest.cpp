#include "TestFramework/prove/Oracle.h"

#include <filesystem>
#include <fstream>
#include <spdlog/spdlog.h>
#include <string>
#include <unistd.h>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using cuminfield::test_framework::prove::Oracle;

/// Each test writes run records and outcomes that contain known violations, or none.
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

  void WriteRun(const std::string& aUpstream, const std::string& aId, const std::string& aKey)
  {
    std::ofstream(folder + "/" + aUpstream + ".record", std::ios::app)
      << R"({"kind":"begin","method":"POST","request_id":")" << aId << R"(","key":")" << aKey
      << "\"}\n";
  }

  void WriteOutcome(const std::string& aOutcome, const std::string& aKey,
                    const std::string& aFurtherMembers)
  {
    std::ofstream(folder + "/outcomes.jsonl", std::ios::app)
      << R"({"outcome":")" << aOutcome << R"(","key":")" << aKey << '"' << aFurtherMembers << "}\n";
  }

  std::size_t CountViolations()
  {
    oracle.CheckFolder(folder);
    return oracle.ViolationCount();
  }
};

TEST(Oracle, AcceptsConsistentFiles)
{
  WriteRun("a", "r1", "k1");
  WriteOutcome("answered", "k1", R"(,"target":"/payouts")");
  WriteOutcome("not-run", "k2", R"(,"not_run_ids":["r2"])");
  LONGS_EQUAL(0, CountViolations());
  CHECK(oracle.CheckCount() > 0);
}

TEST(Oracle, FindsAKeyThatRanTwice)
{
  WriteRun("a", "r1", "k1");
  WriteRun("b", "r2", "k1");
  LONGS_EQUAL(1, CountViolations());
}

TEST(Oracle, FindsARequestThatRanTwice)
{
  WriteRun("a", "r1", "");
  WriteRun("b", "r1", "");
  LONGS_EQUAL(1, CountViolations());
}

TEST(Oracle, FindsARunWithANotRunResponse)
{
  WriteRun("a", "r1", "");
  WriteOutcome("not-run", "", R"(,"not_run_ids":["r1"])");
  LONGS_EQUAL(1, CountViolations());
}

TEST(Oracle, FindsAnAnsweredPayoutThatDidNotRun)
{
  WriteOutcome("answered", "k1", R"(,"target":"/payouts")");
  LONGS_EQUAL(1, CountViolations());
}

TEST(Oracle, FindsWrongAndMissingResponses)
{
  WriteOutcome("wrong", "", "");
  WriteOutcome("broken", "k1", R"(,"status":0)");
  LONGS_EQUAL(2, CountViolations());
}
