#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/documents/documents.pb.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cuminfield::process::documents {

struct DocumentDistributorSettings
{
  /// Interval between comparisons with a random peer.
  core::Duration compareInterval = std::chrono::milliseconds(500);
  /// Number of hosts in the same data centre that are notified of a new record at once. One host in
  /// every other data centre is notified as well.
  std::uint32_t localFanout = 4;
  /// Minimum time before the same version of a record is requested again, from any peer.
  core::Duration requestRetryInterval = std::chrono::milliseconds(400);
};

/// Distributes accepted documents and the steps of their version moves to all hosts, including
/// those that are not voters of the documents' group. Hosts send each other the revisions that they
/// have, a host that lacks a record requests it from one that has it, and each host periodically
/// compares its revisions with those of a random peer (anti-entropy: Demers et al., Epidemic
/// Algorithms for Replicated Database Maintenance, 1987). A record is replaced only by a newer one.
class DocumentDistributor : public sigc::trackable
{
public:
  struct Options
  {
    DocumentDistributorSettings settings{};
    core::DataCentreId dataCentre;
    std::vector<settings::PeerSettings> peers;
    core::TimerService& timers;
    core::Random& random;
    peer::PeerLinks& links;
  };

  explicit DocumentDistributor(Options aOptions);

  /// Stores a committed record if it is newer than the known one, else ignores it. Returns true if
  /// it was stored.
  bool StoreIfNewer(const state::proto::EnvironmentRecord& aRecord);

  /// Returns the newest record of an environment that this host knows, or null.
  const state::proto::EnvironmentRecord* FindRecord(const core::EnvironmentId& aEnvironment) const;

  /// Returns the current revision of an environment at each peer as last reported; 0 if the peer
  /// reported none.
  std::map<core::HostId, std::uint64_t> GetPeerRevisions(
    const core::EnvironmentId& aEnvironment) const;

  /// Emitted for each record that replaces an older one or is the first of its environment.
  sigc::signal<void(const state::proto::EnvironmentRecord&)>& OnNewerRecord()
  {
    return mOnNewerRecord;
  }

private:
  static std::uint64_t CountMoveSteps(const state::proto::EnvironmentRecord& aRecord);
  static bool IsNewer(std::uint64_t aRevision, std::uint64_t aSteps, std::uint64_t aOtherRevision,
                      std::uint64_t aOtherSteps);
  void CompareWithRandomPeer();
  void NotifyPeers();
  void AddKnownRevisions(proto::Spread& aSpread) const;
  void Send(const core::HostId& aTo, const proto::Spread& aSpread);
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void Reply(const core::HostId& aFrom, const proto::Spread& aSpread);
  bool ShouldRequest(const proto::Have& aPeerVersion);

  /// Version of a record that was last requested from a peer, and the time of the request.
  struct LastRequest
  {
    std::uint64_t revision = 0;
    std::uint64_t steps = 0;
    core::Instant sentAt{};
  };

  Options mOptions;
  std::map<std::string, state::proto::EnvironmentRecord> mRecords;
  std::map<core::HostId, std::map<std::string, std::uint64_t>> mPeerRevisions;
  std::map<std::string, LastRequest> mLastRequests;
  core::TimerHandle mCompareTimer;
  sigc::signal<void(const state::proto::EnvironmentRecord&)> mOnNewerRecord;
};

} // namespace cuminfield::process::documents
