#pragma once

#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/cluster/ControlHost.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::unit_tests::cluster {

/// Control hosts of one cluster on one loop, whose links deliver to each other. A host is named by
/// a number n and has the address 10.0.0.n.
class ControlHosts
{
public:
  ControlHosts();
  ~ControlHosts();
  ControlHosts(const ControlHosts&) = delete;
  ControlHosts& operator=(const ControlHosts&) = delete;

  /// Starts hosts that found the group.
  void Found(const std::vector<int>& aFounders);

  /// Starts a host with an empty disk.
  void StartEmpty(int aHost, const std::vector<int>& aSeeds);

  /// Ends the process of a host.
  void Kill(int aHost);

  process::cluster::ControlHost& Host(int aHost) { return *mNodes.at(aHost)->control; }

  /// Sends a heartbeat of an upstream to a host.
  void Announce(int aHost, const std::string& aUpstream);

  /// Returns false if the condition does not hold within this time.
  bool RunUntil(core::Duration aLimit, const std::function<bool()>& aCondition);
  void Run(core::Duration aDuration);
  core::Instant Now() const { return mLoop.Now(); }

  static core::HostId Address(int aHost);

private:
  class Links : public process::peer::PeerLinks
  {
  public:
    Links(ControlHosts& aHosts, int aSelf)
      : mHosts(aHosts)
      , mSelf(aSelf)
    {
    }
    void Send(const core::HostId& aTo, process::peer::PeerMessage aMessage) override;

  private:
    ControlHosts& mHosts;
    int mSelf;
  };

  struct Node
  {
    Links links;
    std::unique_ptr<process::cluster::ControlHost> control{};
  };

  void Start(int aHost, const std::vector<int>& aSeeds, bool aFirstStart);
  void Deliver(int aFrom, const core::HostId& aTo, const process::peer::PeerMessage& aMessage);

  core::EventLoop mLoop;
  core::Random mRandom{ 5 };
  std::string mFolder;
  std::map<int, std::unique_ptr<Node>> mNodes;
};

} // namespace cuminfield::unit_tests::cluster
