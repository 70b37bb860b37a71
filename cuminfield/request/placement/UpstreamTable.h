#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/UpstreamObservations.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::placement {

/// How pressing a request is when places are scarce.
enum class Urgency
{
  Top,    ///< Of the highest rank, and can be in time; or its caller reads already.
  Normal, ///< Can be in time.
  Late,   ///< Cannot be in time any more.
};

/// One upstream as this host sees it.
struct UpstreamEntry
{
  UpstreamAnnouncement upstream;
  bool acceptsNewWork = true; ///< Takes new work.

  // Its load.
  std::uint32_t localInFlight = 0;    ///< Requests of this host in flight there.
  std::int64_t localPromptTokens = 0; ///< Their prompt tokens, until their first event.
  std::uint32_t remoteInFlight = 0;   ///< Requests of all other hosts, as last heard.
  std::int64_t remotePromptTokens = 0;
  core::Instant remoteReceivedAt{}; ///< When that was heard.
  std::uint32_t recentlyFreedSlots =
    0; ///< Places that this host's requests left, of which the others know not.
  core::Instant lastFreedAt{};    ///< The newest of them.
  core::Instant loadReportedAt{}; ///< When the upstream itself last told its load.

  // Its speed and its health.
  UpstreamObservations localObservations; ///< By this host.
  core::Instant decayedAt{};
  UpstreamObservations remoteObservations; ///< By all other hosts, as last heard.
  std::uint32_t consecutiveFailures = 0;
  core::Instant ejectedUntil{};
  bool onProbation = false;       ///< One request at a time until one succeeds.
  bool unreachable = false;       ///< The last try found no connection.
  core::Instant lastActivityAt{}; ///< Last byte from it, or last dispatch to it when it was idle.
  core::Instant lastReceivedAt{}; ///< Last byte from it.
  std::uint32_t probesSent = 0;   ///< Requests of this host sent to it since it fell silent here.
  core::Instant nextProbeAt{};

  std::uint32_t InFlight() const { return localInFlight + remoteInFlight; }
};

/// The upstreams of all services as one host sees them: which there are, how much is in flight at
/// each, how fast each is, and which can be trusted. Compares them for one request.
///
/// Answers the load where every host reads the same old figures: a host's own work counts at once,
/// the others' as they last reported it. Only a few upstreams are compared, drawn by their free
/// places: hosts that compared all of them would all choose the one that was idle a moment ago.
///
/// Answers the load where many hosts meet an upstream that has died, turned slow or fails: each of
/// them would have to lose requests of its own there. What one host found out counts for all; those
/// that hear nothing from it go on probing it, the others leave it alone. Free of I/O.
class UpstreamTable
{
public:
  UpstreamTable(const UpstreamTableSettings& aSettings, core::DataCentreId aDataCentre,
                core::Random& aRandom);

  void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream);
  void RemoveUpstream(const core::UpstreamId& aUpstream);

  /// Which free places count.
  enum class SlotFilter
  {
    Any,
    LocallyFreed, ///< Those that this host's own requests have just left.
  };

  /// The best upstream that has room for the request; null: none.
  UpstreamEntry* Choose(const RequestSpec& aSpec, const core::VersionId& aVersion,
                        Urgency aPressure, SlotFilter aFree, core::Instant aNow);

  /// Free places of the service's engines, as far as this host knows.
  double FreeEngineSlots(const core::ServiceId& aService, core::Instant aNow);

  /// Requests of all other hosts at the service's upstreams, as last heard.
  double RemoteInFlight(const core::ServiceId& aService) const;

  UpstreamEntry* Find(const core::UpstreamId& aUpstream);

  /// True when some upstream of the service and version takes work, whether it has room or not.
  bool HasUpstream(const core::ServiceId& aService, const core::VersionId& aVersion) const;

  /// Requests like this one that the engines which suit them take at once, as far as they can be
  /// used now; 0 for a plain service.
  double SuitableEngineSlots(const RequestSpec& aSpec, core::Instant aNow);

  /// Predicted time from a dispatch to the first event, or to the answer of a plain call.
  core::Duration PredictFirstEventLatency(const UpstreamEntry& aEntry,
                                          const RequestSpec& aSpec) const;

  /// The same if the upstream had the usual speed.
  core::Duration PredictNominalFirstEventLatency(const UpstreamEntry& aEntry,
                                                 const RequestSpec& aSpec) const;

  /// The same at an idle upstream of usual speed.
  core::Duration PredictIdleFirstEventLatency(const RequestSpec& aSpec) const;

  void RecordDispatch(UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow);

  /// The first event came; aPredicted is what FirstAtUsualSpeed() said at the dispatch.
  void RecordFirstEvent(UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Duration aTook,
                        core::Duration aPredicted, core::Instant aNow);
  static void RecordActivity(UpstreamEntry& aEntry, core::Instant aNow);

  /// A try ended. aBegan: its first event came before.
  void RecordAttemptEnd(UpstreamEntry& aEntry, const RequestSpec& aSpec, AttemptOutcome aOutcome,
                        bool aBegan, core::Instant aNow);

  /// A stretch of a stream had this mean time between tokens.
  void RecordTokenInterval(UpstreamEntry& aEntry, double aTokenMs, core::Instant aNow);

  /// What this host found out, for the others; with what it thinks of the upstream now.
  UpstreamObservations LocalObservations(UpstreamEntry& aEntry, core::Instant aNow) const;

  /// What all other hosts found out: whether they hear from it,
  void SetRemoteReachability(const core::UpstreamId& aUpstream, std::uint32_t aDoubting,
                             std::uint32_t aTrusting, core::Instant aNow);
  /// and the sums of the opinion.
  void SetRemoteObservations(const core::UpstreamId& aUpstream, const UpstreamObservations& aSums);

  double FirstEventFactor(const UpstreamEntry& aEntry) const;
  double TokenIntervalMs(const UpstreamEntry& aEntry) const;
  double FailureRatio(const UpstreamEntry& aEntry) const;

  /// The other hosts' work in flight as the control host told it.
  void SetRemoteLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                     std::int64_t aPrompt, core::Instant aNow);

  /// An upstream told its load with an answer.
  void SetReportedLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                       core::Instant aNow);

  std::unordered_map<core::UpstreamId, UpstreamEntry>& Entries() { return mEntries; }

private:
  /// The upstreams of one service, and what is compared over them.
  struct ServiceUpstreams
  {
    std::vector<UpstreamEntry*> entries;
    double failureRatioSum = 0; ///< Of all that are up.
    std::size_t upstreamCount = 0;
    core::Instant summedAt{};
  };

  struct Candidate
  {
    UpstreamEntry* entry = nullptr;
    double weight = 0; ///< In the draw.
  };

  ServiceUpstreams& UpstreamsOf(const core::ServiceId& aService, core::Instant aNow);
  void RebuildIndex();
  bool IsUsable(const UpstreamEntry& aEntry, const ServiceUpstreams& aService, Urgency aPressure,
                core::Instant aNow) const;
  core::Instant NextSuspectProbe(core::Instant aNow);
  bool CanBeProbed(const UpstreamEntry& aEntry, core::Instant aNow) const;
  bool IsSuspected(const UpstreamEntry& aEntry, core::Instant aNow) const;
  void DecayTo(UpstreamEntry& aEntry, core::Instant aNow) const;
  bool HasFreedSlot(const UpstreamEntry& aEntry, core::Instant aNow) const;
  UpstreamEntry* ChooseFromSample(const RequestSpec& aSpec);
  double SlotLimit(const UpstreamEntry& aEntry, Urgency aPressure) const;
  double FreeSlots(const UpstreamEntry& aEntry, Urgency aPressure) const;
  bool HasFreeSlot(const UpstreamEntry& aEntry, Urgency aPressure) const;
  bool IsSuitable(const UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow) const;
  bool IsSilent(const UpstreamEntry& aEntry, core::Instant aNow) const;
  double Score(const UpstreamEntry& aEntry, const RequestSpec& aSpec);
  void Eject(UpstreamEntry& aEntry, core::Duration aPause, core::Instant aNow) const;

  UpstreamTableSettings mSettings;
  core::DataCentreId mDataCentre;
  core::Random& mRandom;
  std::unordered_map<core::UpstreamId, UpstreamEntry> mEntries;
  std::map<core::ServiceId, ServiceUpstreams> mServices;
  std::vector<Candidate> mCandidates; ///< Kept for its memory.
};

} // namespace cuminfield::request::placement
