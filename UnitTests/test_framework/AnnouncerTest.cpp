#include "TestFramework/upstream/Announcer.h"
#include "TestFramework/time/ManualTimerService.h"
#include "TestFramework/upstream/Faults.h"
#include "TestFramework/upstream/RunRecord.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace std::chrono_literals;
using namespace cuminfield::test_framework;
using cuminfield::core::WallTime;
using cuminfield::process::settings::Endpoint;

namespace {

/// Responds to each control call immediately with the status that the test sets for the host's
/// port.
class FakeControlTransport : public upstream::ControlTransport
{
public:
  void Post(const Endpoint& aHost, const std::string& aPath, const nlohmann::json& /*aBody*/,
            ResponseCallback aOnResponse) override
  {
    calls.push_back(std::to_string(aHost.port) + aPath);
    aOnResponse(statusByPort[aHost.port], nlohmann::json{ { "renew_ms", 500 } });
  }

  std::map<int, int> statusByPort;
  std::vector<std::string> calls;
};

} // namespace

TEST_GROUP(Announcer)
{
  time::ManualTimerService timers;
  FakeControlTransport calls;
  upstream::Announcer announcer{ timers,
                                 calls,
                                 { .hosts = { { .port = 1 }, { .port = 2 } }, .announcement = {} },
                                 [] { return nlohmann::json::object(); } };
};

TEST(Announcer, RenewsAtTheHostThatAcceptedIt)
{
  calls.statusByPort = { { 1, 200 } };
  announcer.Start();
  timers.Advance(1s);
  CHECK(announcer.IsAnnounced());
  LONGS_EQUAL(3, calls.calls.size());
  STRCMP_EQUAL("1/upstreams/renew", calls.calls.back().c_str());
}

TEST(Announcer, TriesTheNextHostAfterNoResponse)
{
  calls.statusByPort = { { 1, 0 }, { 2, 200 } };
  announcer.Start();
  timers.Advance(100ms);
  CHECK(announcer.IsAnnounced());
  STRCMP_EQUAL("2/upstreams/announce", calls.calls.back().c_str());
}

TEST(Announcer, AnnouncesAgainAfter404)
{
  calls.statusByPort = { { 1, 200 }, { 2, 200 } };
  announcer.Start();
  calls.statusByPort[1] = 404;
  timers.Advance(700ms);
  CHECK(announcer.IsAnnounced());
  STRCMP_EQUAL("2/upstreams/announce", calls.calls.back().c_str());
}

TEST(Announcer, DeregistersAtTheNextHostAfterNoResponse)
{
  calls.statusByPort = { { 1, 200 }, { 2, 200 } };
  announcer.Start();
  calls.statusByPort[1] = 0;
  bool left = false;
  announcer.Deregister([&] { left = true; });
  timers.Advance(2s);
  CHECK(left);
  STRCMP_EQUAL("2/upstreams/leave", calls.calls.back().c_str());
}

TEST_GROUP(Faults){};

TEST(Faults, UnknownKeyIsAnError)
{
  CHECK_FALSE(upstream::ParseFaults(nlohmann::json{ { "sloww", 2 } }).has_value());
}

TEST(Faults, AreInjectedOnlyOnTheirPathAndUnderLoad)
{
  const auto settings =
    upstream::ParseFaults(nlohmann::json{ { "fail", 1 }, { "path", "/payouts" }, { "above", 2 } });
  upstream::FaultInjector faults(settings.value(), 1);
  CHECK(faults.DrawPlan("/payouts", 3).fail);
  CHECK_FALSE(faults.DrawPlan("/payouts", 2).fail);
  CHECK_FALSE(faults.DrawPlan("/stock", 3).fail);
}

TEST_GROUP(RunRecord){};

TEST(RunRecord, WritesEachRunToTheFileImmediately)
{
  const auto folder = std::filesystem::temp_directory_path();
  const std::string file = folder / ("run-record-test-" + std::to_string(getpid()));
  upstream::RunRecord record("u", "1", file);
  record.AddBegin({ .requestId = "r", .key = "k" }, WallTime(1s));
  std::ifstream stream(file);
  std::string line;
  CHECK(static_cast<bool>(std::getline(stream, line)));
  const auto event = nlohmann::json::parse(line);
  STRCMP_EQUAL("k", event["key"].get<std::string>().c_str());
  LONGS_EQUAL(1, record.ToJson()["events"].size());
  std::remove(file.c_str());
}
