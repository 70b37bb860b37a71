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

/// Where a cluster's programs and files are.
struct ClusterOptions
{
  std::string build = "build"; ///< Folder of the programs.
  std::string folder;          ///< Settings, data, records and logs.
  std::uint16_t portBase = 8300;
  std::uint64_t seed = 1;
};

/// The Consortium's seven hosts and their stand-in upstreams as processes on loopback, with a
/// relay on each way from one host to another.
class Cluster
{
public:
  static constexpr std::array kHosts = { "g1", "g2", "g3", "l1", "l2", "e1", "e2" };
  static constexpr std::array kCentres = { "gent-a", "luik-a", "elsene-a" };

  Cluster(time::LoopTimerService& aTimers, ClusterOptions aOptions);

  /// Starts everything and puts the document in force; false when that fails.
  bool Start();

  /// Starts host aHost, again after Processes().Kill().
  void StartHost(std::size_t aHost);

  /// Starts callers that write their outcomes to outcomes.jsonl.
  void StartCallers(const std::string& aName, const std::vector<std::string>& aExtra);

  /// Asks the callers to end and waits until they have.
  bool EndCallers(const std::string& aName);

  /// Cuts (or heals) the ways from hosts for which aCut says so.
  void Cut(const std::function<bool(std::size_t aFrom, std::size_t aTo)>& aCut);

  /// Sends a request to host aHost and waits for the answer, while the loop runs.
  http::ClientResponse Ask(std::size_t aHost, const std::string& aMethod,
                           const std::string& aTarget, const std::string& aBody,
                           core::Duration aTimeout = std::chrono::seconds(3));

  /// Gives all upstreams these faults (JSON as in POST /faults).
  void SetFaults(const std::string& aFaults);

  /// The document with aWeight as the weight of one workspace, to make revisions that differ.
  std::string Document(std::uint64_t aWeight) const;

  /// Revision in force at a host, or 0 when it does not say.
  std::uint64_t RevisionAt(std::size_t aHost);

  /// Path of host aHost's data folder.
  std::string DataFolder(std::size_t aHost) const;

  /// Where a host listens for operators.
  process::settings::Endpoint Control(std::size_t aHost) const;

  Processes& Children() { return mProcesses; }
  const std::string& Folder() const { return mOptions.folder; }
  /// The data centre (index into kCentres) of a host.
  static std::size_t CentreOf(std::size_t aHost);

private:
  void StartRelays();
  void StartUpstreams();
  bool ApplyFirstDocument();
  std::string CallerHosts() const;
  http::ClientResponse AskAt(const process::settings::Endpoint& aTo, const std::string& aMethod,
                             const std::string& aTarget, const std::string& aBody,
                             core::Duration aTimeout);
  std::uint16_t Port(std::size_t aOffset) const;

  time::LoopTimerService& mTimers;
  ClusterOptions mOptions;
  http::Client mClient;
  Processes mProcesses;
  std::vector<std::unique_ptr<relay::Relay>> mRelays; ///< From host i to j: number 7 * i + j.
};

} // namespace cuminfield::test_framework::prove
