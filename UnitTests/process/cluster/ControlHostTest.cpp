#include "UnitTests/process/cluster/ControlHosts.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::cluster::ControlHosts;

namespace {

/// An address at which no control host runs.
constexpr int kGone = 99;

} // namespace

TEST_GROUP(ControlHost)
{
  ControlHosts hosts;

  bool IsInGroup(int aHost)
  {
    return hosts.RunUntil(10s, [&] { return hosts.Host(aHost).KnowsLeader(); });
  }
};

/// Guards against a control host that stays outside the group although others send to it: it lost
/// its disk, and the seeds of its settings are gone.
TEST(ControlHost, JoinsThroughAControlHostThatSendsToIt)
{
  hosts.Found({ 1, 2, 3 });
  hosts.StartEmpty(4, { 1, 5 });
  CHECK(IsInGroup(4));
  hosts.StartEmpty(5, { kGone });
  CHECK(IsInGroup(5));
}

/// Guards against control hosts that don't exchange what they know, since neither is a seed of the
/// other, or votes.
TEST(ControlHost, LearnersTellEachOtherOfUpstreams)
{
  hosts.Found({ 1, 2, 3 });
  hosts.StartEmpty(4, { 1 });
  hosts.StartEmpty(5, { 2 });
  CHECK(IsInGroup(4));
  CHECK(IsInGroup(5));
  hosts.Run(500ms);
  hosts.Announce(4, "u");
  CHECK(hosts.RunUntil(3s, [this] { return hosts.Host(5).UpstreamCount() == 1; }));
}

/// Guards against a control host that goes on asking the seeds of its start after the settings name
/// others.
TEST(ControlHost, JoinsThroughSeedsThatAreTakenOver)
{
  hosts.Found({ 1, 2, 3 });
  hosts.StartEmpty(4, { kGone });
  hosts.Run(1s);
  CHECK_FALSE(hosts.Host(4).KnowsLeader());
  hosts.Host(4).UpdateSeeds({ ControlHosts::Address(2) });
  CHECK(IsInGroup(4));
}

/// Guards against an acknowledged evacuation that other control hosts don't know, or that ends with
/// the loss of the one that took it.
TEST(ControlHost, EvacuationHoldsOnAllControlHosts)
{
  hosts.Found({ 1, 2, 3 });
  const auto order = [&](int aHost, bool aActive) {
    int answers = 0;
    bool succeeded = false;
    CHECK(hosts.RunUntil(10s, [&] {
      if (answers == 0 || !succeeded) {
        answers = 1;
        hosts.Host(aHost).OrderEvacuation(
          core::DataCentreId("here"), aActive, [] { return true; },
          [&](const auto& aAnswer) { succeeded = succeeded || aAnswer.has_value(); });
        hosts.Run(1s);
      }
      return succeeded;
    }));
  };
  const auto isEvacuated = [&](int aHost) {
    return hosts.Host(aHost).Metrics().find("cuminfield_evacuated_data_centres 1\n") !=
           std::string::npos;
  };
  order(1, true);
  CHECK(hosts.RunUntil(5s, [&] { return isEvacuated(2) && isEvacuated(3); }));
  hosts.Kill(1);
  order(2, true); // The same order again, at another control host.
  CHECK(isEvacuated(2) && isEvacuated(3));
  order(3, false);
  CHECK(hosts.RunUntil(5s, [&] { return !isEvacuated(2) && !isEvacuated(3); }));
}

/// Guards against a control host that stops although its successor does not vote yet.
TEST(ControlHost, StopsOnceItsSuccessorVotes)
{
  hosts.Found({ 1, 2, 3 });
  hosts.StartEmpty(4, { 1 });
  hosts.StartEmpty(5, { 1 });
  CHECK(IsInGroup(4));
  CHECK(IsInGroup(5));
  hosts.Run(500ms);
  for (const int host : { 1, 2 }) {
    int calls = 0;
    hosts.Host(host).Shutdown([&] { ++calls; });
    hosts.Host(host).Shutdown([&] { ++calls; }); // A second SIGTERM.
    CHECK(hosts.RunUntil(5s, [&] { return calls > 0; }));
    hosts.Run(200ms);
    CHECK_EQUAL(1, calls);
    hosts.Kill(host);
  }
  const auto leads = [this](int aHost) {
    return hosts.Host(aHost).CurrentRole() == process::log::Role::Leader;
  };
  CHECK(hosts.RunUntil(5s, [&] { return leads(3) || leads(4) || leads(5); }));
}

/// Guards against a control host that outlasts its time limit while it waits for a leader.
TEST(ControlHost, StopsAtItsTimeLimitWithoutALeader)
{
  hosts.Found({ 1, 2, 3 });
  hosts.Kill(2);
  hosts.Kill(3);
  CHECK(hosts.RunUntil(5s, [&] { return !hosts.Host(1).KnowsLeader(); }));
  bool done = false;
  const core::Instant begin = hosts.Now();
  hosts.Host(1).Shutdown([&] { done = true; });
  CHECK(hosts.RunUntil(20s, [&] { return done; }));
  CHECK(hosts.Now() - begin >= process::cluster::ControlHostSettings().shutdownTimeout);
  CHECK(hosts.Now() - begin <= process::cluster::ControlHostSettings().shutdownTimeout + 1s);
}
