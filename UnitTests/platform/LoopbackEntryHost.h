#pragma once

#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/cluster/EntryHost.h"
#include "platform/HeaderCodec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::unit_tests::platform {

/// Returns a port of the loopback address that is free now.
std::uint16_t FindFreePort();

/// An entry host on the loopback address, with a document of one route and its upstreams, as its
/// control host would send them.
class LoopbackEntryHost
{
public:
  /// aRoute: further fields of the route "r" of host "h" and prefix "/a/", as JSON.
  LoopbackEntryHost(core::EventLoop& aLoop, const std::vector<std::uint16_t>& aUpstreamPorts,
                    const std::string& aRoute);
  LoopbackEntryHost(core::EventLoop& aLoop, std::uint16_t aUpstreamPort, const std::string& aRoute)
    : LoopbackEntryHost(aLoop, std::vector{ aUpstreamPort }, aRoute)
  {
  }

  /// Lets the host receive a feed of its control host; sets who sends it and the document's number.
  void Receive(process::cluster::proto::Feed aFeed);

  /// Ends the host as its process would.
  void Destroy() { mHost.reset(); }

  process::cluster::EntryHost& Host() { return *mHost; }
  std::uint16_t CallerPort() const { return mCallerPort; }

  /// The messages that the host has sent to its control host.
  const std::vector<process::cluster::proto::Message>& Sent() const { return mLinks.sent; }

private:
  class RecordingLinks : public process::peer::PeerLinks
  {
  public:
    void Send(const core::HostId& aHost, process::peer::PeerMessage aMessage) override;
    std::vector<process::cluster::proto::Message> sent;
  };

  RecordingLinks mLinks;
  core::Random mRandom{ 5 };
  ::platform::HeaderCodec mCodec;
  std::uint16_t mCallerPort;
  std::unique_ptr<process::cluster::EntryHost> mHost;
};

} // namespace cuminfield::unit_tests::platform
