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

/// Tunables of the spread.
struct DocumentSpreadSettings
{
  /// How often this host compares what it has with another one.
  core::Duration period = std::chrono::milliseconds(500);
  /// Hosts that are told of a new record at once, besides one in every other data centre.
  std::uint32_t tellTo = 4;
  /// A record that was asked for is not asked for elsewhere before this has passed.
  core::Duration askAgain = std::chrono::milliseconds(400);
};

/// Carries accepted documents and the steps of their moves to every host, voters of the documents'
/// group or not: hosts tell each other what they have, a host that lacks a record asks one that has
/// it, and each host compares with a random other one now and then (anti-entropy: Demers et al.,
/// Epidemic Algorithms for Replicated Database Maintenance, 1987). A record only ever gives way to
/// a newer one.
class DocumentSpread : public sigc::trackable
{
public:
  struct Options
  {
    DocumentSpreadSettings settings{};
    core::DataCentreId dataCentre;
    std::vector<settings::PeerSettings> peers;
    core::TimerService& timers;
    core::Random& random;
    peer::PeerLinks& links;
  };

  explicit DocumentSpread(Options aOptions);

  /// Takes in a committed record; an older one than known is dropped. True if it was newer.
  bool Offer(const state::proto::EnvironmentRecord& aRecord);

  /// The newest record of an environment known here, or null.
  const state::proto::EnvironmentRecord* Find(const core::EnvironmentId& aEnvironment) const;

  /// Revision of an environment in force at a peer, as last told; 0 when not heard of.
  std::map<core::HostId, std::uint64_t> RevisionsAt(const core::EnvironmentId& aEnvironment) const;

  /// Emitted for each record that is newer than what was known.
  sigc::signal<void(const state::proto::EnvironmentRecord&)>& OnNewer() { return mOnNewer; }

private:
  static std::uint64_t Steps(const state::proto::EnvironmentRecord& aRecord);
  static bool Newer(std::uint64_t aRevision, std::uint64_t aSteps, std::uint64_t aThanRevision,
                    std::uint64_t aThanSteps);
  void Compare();
  void Tell();
  void FillHave(proto::Spread& aSpread) const;
  void Send(const core::HostId& aTo, const proto::Spread& aSpread);
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void Answer(const core::HostId& aFrom, const proto::Spread& aSpread);
  bool ShouldAsk(const proto::Have& aTheirs);

  /// The version of a record that was asked for last, and when.
  struct Asked
  {
    std::uint64_t revision = 0;
    std::uint64_t steps = 0;
    core::Instant at{};
  };

  Options mOptions;
  std::map<std::string, state::proto::EnvironmentRecord> mRecords;
  std::map<core::HostId, std::map<std::string, std::uint64_t>> mPeerRevisions;
  std::map<std::string, Asked> mAsked;
  core::TimerHandle mTimer;
  sigc::signal<void(const state::proto::EnvironmentRecord&)> mOnNewer;
};

} // namespace cuminfield::process::documents
