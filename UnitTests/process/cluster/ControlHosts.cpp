#include "UnitTests/process/cluster/ControlHosts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

namespace cuminfield::unit_tests::cluster {

using namespace std::chrono_literals;
using process::cluster::ControlHost;

ControlHosts::ControlHosts()
  : mFolder(std::filesystem::temp_directory_path() / "cuminfield-control-XXXXXX")
{
  CHECK(::mkdtemp(mFolder.data()) != nullptr);
}

ControlHosts::~ControlHosts()
{
  mNodes.clear();
  std::filesystem::remove_all(mFolder);
}

core::HostId ControlHosts::Address(int aHost)
{
  return core::HostId("10.0.0." + std::to_string(aHost));
}

void ControlHosts::Found(const std::vector<int>& aFounders)
{
  for (const int it : aFounders) {
    Start(it, aFounders, true);
  }
  CHECK(RunUntil(20s, [&] {
    return std::all_of(aFounders.begin(), aFounders.end(), [this](int aHost) {
      return Host(aHost).CurrentRole() == process::log::Role::Leader ||
             Host(aHost).CurrentRole() == process::log::Role::Follower;
    });
  }));
}

void ControlHosts::StartEmpty(int aHost, const std::vector<int>& aSeeds)
{
  Start(aHost, aSeeds, false);
}

void ControlHosts::Start(int aHost, const std::vector<int>& aSeeds, bool aFirstStart)
{
  Kill(aHost);
  process::cluster::ClusterSettings settings;
  settings.id = Address(aHost);
  settings.dataCentre = core::DataCentreId("here");
  std::transform(aSeeds.begin(), aSeeds.end(), std::back_inserter(settings.seeds), Address);
  settings.firstStart = aFirstStart;
  settings.dataFolder = mFolder + "/" + std::to_string(aHost);
  std::filesystem::remove_all(settings.dataFolder);
  auto node = std::make_unique<Node>(Node{ .links = Links(*this, aHost) });
  node->control = std::make_unique<ControlHost>(ControlHost::Options{
    .cluster = settings, .loop = mLoop, .links = node->links, .random = mRandom });
  CHECK(node->control->Start().has_value());
  mNodes[aHost] = std::move(node);
}

void ControlHosts::Kill(int aHost)
{
  mNodes.erase(aHost);
}

void ControlHosts::Announce(int aHost, const std::string& aUpstream)
{
  process::cluster::proto::Upstream upstream;
  upstream.set_id(aUpstream);
  upstream.set_service("s");
  upstream.set_version("v1");
  upstream.set_incarnation(1);
  upstream.set_sequence(1);
  Host(aHost).HandleHeartbeat(upstream, [](const auto&) {});
}

bool ControlHosts::RunUntil(core::Duration aLimit, const std::function<bool()>& aCondition)
{
  const core::Instant end = mLoop.Now() + aLimit;
  while (!aCondition() && mLoop.Now() < end) {
    Run(20ms);
  }
  return aCondition();
}

void ControlHosts::Run(core::Duration aDuration)
{
  const core::TimerHandle end = mLoop.ScheduleAfter(aDuration, [this] { mLoop.Stop(); });
  mLoop.Run();
}

void ControlHosts::Deliver(int aFrom, const core::HostId& aTo,
                           const process::peer::PeerMessage& aMessage)
{
  const auto node = std::find_if(mNodes.begin(), mNodes.end(),
                                 [&](const auto& aItem) { return Address(aItem.first) == aTo; });
  if (node != mNodes.end()) {
    node->second->links.OnMessage().emit(Address(aFrom), aMessage);
  }
}

void ControlHosts::Links::Send(const core::HostId& aTo, process::peer::PeerMessage aMessage)
{
  mHosts.mLoop.Post([&hosts = mHosts, from = mSelf, aTo, message = std::move(aMessage)] {
    hosts.Deliver(from, aTo, message);
  });
}

} // namespace cuminfield::unit_tests::cluster
