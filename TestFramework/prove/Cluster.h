#pragma once

#include "TestFramework/http/Client.h"
#include "TestFramework/prove/Processes.h"
#include "TestFramework/relay/Relay.h"
#include "TestFramework/time/LoopTimerService.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::test_framework::prove {

/// Paths and first port of a test cluster.
struct ClusterOptions
{
  std::string buildFolder = "build"; ///< Folder that contains the programs.
  std::string folder;                ///< For settings, data, run records and logs.
  std::uint16_t firstPort = 8300;
  std::uint64_t seed = 1;
};

/// The Consortium's seven hosts and their stand-in upstreams as processes on loopback, with a relay
/// for each direction between two hosts.
class Cluster
{
public:
  static constexpr std::array kHostIds = { "g1", "g2", "g3", "l1", "l2", "e1", "e2" };
  static constexpr std::array kDataCentres = { "gent-a", "luik-a", "elsene-a" };

  Cluster(time::LoopTimerService& aTimers, ClusterOptions aOptions);

  /// Starts all processes and applies the first document. Returns false on failure.
  bool Start();

  /// Starts host aHost, also after Processes::Kill().
  void StartHost(std::size_t aHost);

  /// Starts a LoadClient with the further arguments aExtraArguments. It appends outcomes to
  /// outcomes.jsonl.
  void StartCallers(const std::string& aName, const std::vector<std::string>& aExtraArguments);

  /// Sends SIGTERM to a LoadClient. Returns false if it does not exit within the timeout.
  bool StopCallers(const std::string& aName);

  /// Blocks the directions between hosts for which aIsBlocked returns true and unblocks all others.
  void BlockLinks(const std::function<bool(std::size_t aFrom, std::size_t aTo)>& aIsBlocked);

  /// Sends a request to the control address of host aHost and runs the loop until the response
  /// arrives.
  http::ClientResponse SendRequest(std::size_t aHost, const std::string& aMethod,
                                   const std::string& aTarget, const std::string& aBody,
                                   core::Duration aTimeout = std::chrono::seconds(3));

  /// Sets the faults of all upstreams, as JSON for POST /faults.
  void SetFaults(const std::string& aFaults);

  /// Returns the document with aWeight as the weight of one workspace, so that revisions differ.
  std::string MakeDocument(std::uint64_t aWeight) const;

  /// Returns the revision in force at a host, or 0 if the host does not report one.
  std::uint64_t GetRevision(std::size_t aHost);

  std::string DataFolder(std::size_t aHost) const;

  /// Address on which a host accepts control requests.
  process::settings::Endpoint ControlEndpoint(std::size_t aHost) const;

  Processes& ChildProcesses() { return mProcesses; }
  const std::string& Folder() const { return mOptions.folder; }
  /// Returns the data centre of a host as an index into kDataCentres.
  static std::size_t DataCentreOf(std::size_t aHost);

private:
  void StartRelays();
  void StartUpstreams();
  bool ApplyFirstDocument();
  std::string CallerEndpoints() const;
  http::ClientResponse SendRequestTo(const process::settings::Endpoint& aTo,
                                     const std::string& aMethod, const std::string& aTarget,
                                     const std::string& aBody, core::Duration aTimeout);
  std::uint16_t PortAt(std::size_t aOffset) const;

  time::LoopTimerService& mTimers;
  ClusterOptions mOptions;
  http::Client mClient;
  Processes mProcesses;
  std::vector<std::unique_ptr<relay::Relay>> mRelays; ///< Index 7 * i + j: from host i to host j.
};

} // namespace cuminfield::test_framework::prove
