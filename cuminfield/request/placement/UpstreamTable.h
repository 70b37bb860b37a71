#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/RegionSet.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/EngineSpeed.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/UpstreamNotices.h"
#include "cuminfield/request/placement/UpstreamObservations.h"
#include "cuminfield/request/placement/UpstreamPacer.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::placement {

/// Urgency of a request when slots are scarce.
enum class Urgency
{
  Top,    ///< On time and of the most urgent rank, or a resumed stream that its caller is reading.
  Normal, ///< Can still meet its target.
  Late,   ///< Can no longer meet its target.
};

/// State of one upstream as known to this host.
struct UpstreamEntry
{
  UpstreamAnnouncement upstream;
  bool acceptsNewWork = true;
  bool isEvacuated = false; ///< Its data centre is evacuated: it gets no new requests.

  // Load.
  std::uint32_t localInFlight = 0;    ///< Requests of this host.
  std::int64_t localPromptTokens = 0; ///< Of this host's requests without a first event.
  std::uint32_t remoteInFlight = 0;   ///< Requests of all other hosts, as last reported.
  std::int64_t remotePromptTokens = 0;
  core::Instant remoteReceivedAt{}; ///< When remoteInFlight was received.
  /// Slots freed by this host's requests that the other hosts don't know of yet.
  std::uint32_t recentlyFreedSlots = 0;
  core::Instant lastFreedAt{};
  core::Instant loadReportedAt{}; ///< When the upstream itself last reported its load.

  // Speed and health.
  EngineSpeed speed;
  UpstreamObservations localObservations;
  core::Instant decayedAt{};
  UpstreamObservations remoteObservations; ///< Sums over all other hosts, as last reported.
  std::uint32_t consecutiveFailures = 0;
  core::Instant ejectedUntil{};
  core::Instant quietUntil{};     ///< The upstream asked for no requests until then.
  bool onProbation = false;       ///< Gets one request at a time until one succeeds.
  bool unreachable = false;       ///< The last attempt could not connect.
  core::Instant lastActivityAt{}; ///< Last byte received, or last dispatch while idle.
  core::Instant lastReceivedAt{}; ///< Last byte received.
  std::uint32_t probesSent = 0;   ///< Requests this host has sent since it became silent.
  core::Instant nextProbeAt{};

  /// The pacer must be asked before a request is sent. Stays set until it says otherwise.
  bool isPaced = false;
  core::Instant lastPacedAt{};

  std::uint32_t InFlight() const { return localInFlight + remoteInFlight; }
};

/// Tracks the load, speed and health of the upstreams of all services as known to this host, and
/// chooses the best upstream for a request. Does no I/O.
///
/// All hosts decide on the same stale figures: a host counts its own requests at once, those of the
/// other hosts as last reported. It compares only a few upstreams, sampled by their free slots; if
/// every host compared all of them, all would choose the one that was idle a moment ago.
///
/// Hosts share their observations, so that not every host has to lose requests of its own at an
/// upstream that has died, slowed down or fails. Hosts that receive nothing from an upstream keep
/// probing it; the others avoid it.
class UpstreamTable
{
public:
  UpstreamTable(const UpstreamTableSettings& aSettings, core::DataCentreId aDataCentre,
                core::Random& aRandom);

  void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream, core::Instant aNow = {});
  void RemoveUpstream(const core::UpstreamId& aUpstream, core::Instant aNow = {});

  /// Sets the services whose upstreams are paced while they are cold or in slow start.
  void SetPacedServices(std::map<core::ServiceId, PacedService> aServices);

  /// Records how long an upstream stays cold, as its heartbeat with this sequence said.
  void RecordColdTime(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                      std::uint64_t aSequence, core::Duration aLeft, core::Instant aNow);

  /// Records the same from a response to a request sent at aSentAt.
  void RecordColdTimeInResponse(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                                core::Duration aLeft, core::Instant aSentAt, core::Instant aNow);

  /// Other hosts used the upstream before this one started.
  void RecordFoundInUse(const core::UpstreamId& aUpstream) { mPacer.OnFoundInUse(aUpstream); }

  /// Records that this incarnation of an upstream accepts no connections.
  void RecordOutOfReach(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                        core::Instant aNow);

  /// The evacuation of their data centre was revoked: they may be cold, and start slowly.
  void ReleaseUpstreams(const std::vector<core::UpstreamId>& aUpstreams, core::Instant aNow);

  UpstreamPacer& Pacer() { return mPacer; }

  /// Sets the data centres whose upstreams get no new requests; what runs there goes on. Returns
  /// the upstreams of those that were evacuated until now.
  std::vector<UpstreamAnnouncement> SetEvacuated(std::set<core::DataCentreId> aDataCentres);

  const std::set<core::DataCentreId>& Evacuated() const { return mEvacuated; }
  bool IsEvacuated(const core::DataCentreId& aDataCentre) const
  {
    return mEvacuated.contains(aDataCentre);
  }

  /// Records what an upstream says of itself. It gets no new work from now on, or until the quiet
  /// time ends, whatever the control hosts' list says. Returns true if the notice is news.
  bool RecordNotice(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                    const UpstreamNotice& aNotice, core::Instant aNow);

  /// When the first upstream of the service and version takes requests again, if all have asked for
  /// none. Here and below, aRegions limits the upstreams to those of these regions unless it is
  /// null.
  std::optional<core::Instant> EarliestQuietEnd(const core::ServiceId& aService,
                                                const core::VersionId& aVersion, core::Instant aNow,
                                                const core::RegionSet* aRegions = nullptr) const;

  /// The same if all have asked for no requests or are ejected.
  std::optional<core::Instant> EarliestOpening(const core::ServiceId& aService,
                                               const core::VersionId& aVersion, core::Instant aNow,
                                               const core::RegionSet* aRegions) const;

  /// Which free slots may be used.
  enum class SlotFilter
  {
    Any,
    LocallyFreed, ///< Slots just freed by this host's requests.
  };

  /// Returns the best upstream with a free slot for the request, or null if there is none.
  UpstreamEntry* Choose(const RequestSpec& aSpec, const core::VersionId& aVersion, Urgency aUrgency,
                        SlotFilter aSlotFilter, core::Instant aNow,
                        const core::RegionSet* aRegions = nullptr);

  /// Number of free slots of the service's engines, as far as this host knows.
  double FreeEngineSlots(const core::ServiceId& aService, core::Instant aNow);

  /// Room for requests at the upstreams of a plain service that report their speed.
  struct PlainRoom
  {
    double limit = 0; ///< Requests up to which they get new ones.
    double free = 0;  ///< What is left of it, as far as this host knows.
  };
  PlainRoom FindPlainRoom(const core::ServiceId& aService, core::Instant aNow);

  /// Requests of all other hosts in flight at the service's upstreams, as last reported.
  double RemoteInFlight(const core::ServiceId& aService) const;

  UpstreamEntry* Find(const core::UpstreamId& aUpstream);

  /// True if an upstream of the service and version accepts work, even if it has no free slot now.
  /// Does not iterate over the upstreams, so it may be called for each request.
  /// aIncludeEvacuated: also counts those of evacuated data centres.
  bool HasUpstream(const core::ServiceId& aService, const core::VersionId& aVersion,
                   const core::RegionSet* aRegions = nullptr, bool aIncludeEvacuated = false) const;

  /// Number of slots at usable engines that are suitable for such a request, or at all usable
  /// engines if none is suitable; 0 for a plain service.
  double SuitableEngineSlots(const RequestSpec& aSpec, core::Instant aNow,
                             const core::RegionSet* aRegions = nullptr);

  /// Predicts the time from dispatch to the first event, or to the response of a plain call, at the
  /// upstream's current speed.
  core::Duration PredictFirstEventLatency(const UpstreamEntry& aEntry, const RequestSpec& aSpec,
                                          core::Instant aNow) const;

  /// Predicts the same for an upstream of nominal speed with this upstream's load.
  core::Duration PredictNominalFirstEventLatency(const UpstreamEntry& aEntry,
                                                 const RequestSpec& aSpec) const;

  /// Predicts the same for an idle upstream of nominal speed.
  core::Duration PredictIdleFirstEventLatency(const RequestSpec& aSpec) const;

  void RecordDispatch(UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow);

  /// Records the first event; aPredicted is the PredictNominalFirstEventLatency() at dispatch.
  void RecordFirstEvent(UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Duration aLatency,
                        core::Duration aPredicted, core::Instant aNow);

  /// Records that data was received from the upstream.
  static void RecordActivity(UpstreamEntry& aEntry, core::Instant aNow);

  /// Records the end of an attempt. aHasFirstEvent: its first event was recorded before.
  void RecordAttemptEnd(UpstreamEntry& aEntry, const RequestSpec& aSpec, AttemptOutcome aOutcome,
                        bool aHasFirstEvent, core::Instant aNow);

  /// Records a sample of a stream's token interval.
  void RecordTokenInterval(UpstreamEntry& aEntry, double aTokenIntervalMs, core::Instant aNow);

  /// This host's observations for the other hosts, with whether it now suspects or confirms the
  /// upstream.
  UpstreamObservations LocalObservations(UpstreamEntry& aEntry, core::Instant aNow);

  /// Sets how many other hosts suspect and how many confirm the upstream.
  void SetRemoteReachability(const core::UpstreamId& aUpstream, std::uint32_t aSuspecting,
                             std::uint32_t aConfirming, core::Instant aNow);

  /// This host's responses in slow start, for the other hosts.
  UpstreamPacer::AnswerSums LocalPacedAnswers(const UpstreamEntry& aEntry,
                                              core::Instant aNow) const;

  /// Sets the other hosts' sums of the same.
  void SetRemotePacedAnswers(const core::UpstreamId& aUpstream, double aGood, double aBad,
                             core::Instant aNow);

  /// Sets the sums of the other hosts' observations; the counts of hosts in aSums are ignored.
  void SetRemoteObservations(const core::UpstreamId& aUpstream, const UpstreamObservations& aSums);

  double FirstEventFactor(const UpstreamEntry& aEntry) const;
  /// Mean over the last seconds.
  double TokenIntervalMs(const UpstreamEntry& aEntry) const;
  /// The same at the upstream's current speed.
  double CurrentTokenIntervalMs(const UpstreamEntry& aEntry, core::Instant aNow) const;
  double FailureRatio(const UpstreamEntry& aEntry) const;

  /// Sets the other hosts' requests in flight as reported by the control host.
  void SetRemoteLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                     std::int64_t aPromptTokens, core::Instant aNow);

  /// Sets the load that an upstream reported with a response.
  void SetReportedLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                       core::Instant aNow);

  /// Sets the speed that an upstream reported with a response, in per cent of its usual time.
  void SetReportedSpeed(const core::UpstreamId& aUpstream, std::uint32_t aPercent,
                        core::Instant aNow);

  /// Sets the sum and number of the speeds that the other hosts report.
  void SetRemoteSpeed(const core::UpstreamId& aUpstream, std::uint64_t aPercentSum,
                      std::uint32_t aSamples, core::Instant aNow);

  /// Returns the speed of the upstream to be reported to the other hosts, if any is due.
  std::optional<std::uint32_t> TakeSpeedReport(UpstreamEntry& aEntry, core::Instant aNow) const;

  /// Number of upstreams that take new work and have reported their speed.
  std::size_t CountSpeedsKnown() const;

  std::unordered_map<core::UpstreamId, UpstreamEntry>& Entries() { return mEntries; }

private:
  /// Upstreams of a service that are alike in what restricts requests.
  struct UpstreamGroup
  {
    core::DataCentreId dataCentre;
    core::RegionId region;
    core::VersionId version;
  };

  /// The upstreams of one service with the sums used to compare them.
  struct ServiceUpstreams
  {
    std::vector<UpstreamEntry*> entries;
    /// Each combination that occurs in entries; there are as many as data centres and versions.
    /// Empty until it is needed.
    mutable std::vector<UpstreamGroup> groups;
    double failureRatioSum = 0;
    std::size_t upstreamCount = 0; ///< Number of entries in the sum.
    core::Instant summedAt{};
  };

  /// Failure ratios of the upstreams that an upstream is compared with, itself included.
  struct FailureSum
  {
    double ratios = 0;
    std::size_t upstreams = 0;
  };

  struct Candidate
  {
    UpstreamEntry* entry = nullptr;
    double weight = 0; ///< Relative probability of being sampled.
  };

  ServiceUpstreams& UpstreamsOf(const core::ServiceId& aService, core::Instant aNow);
  void RebuildIndex();
  FailureSum SumFailures(const ServiceUpstreams& aService, const core::RegionSet* aRegions) const;
  bool IsUsable(const UpstreamEntry& aEntry, const FailureSum& aFailures, Urgency aUrgency,
                core::Instant aNow) const;
  core::Instant NextSuspectProbe(core::Instant aNow);
  bool CanBeProbed(const UpstreamEntry& aEntry, core::Instant aNow) const;
  bool IsSuspected(const UpstreamEntry& aEntry, core::Instant aNow) const;
  void DecayTo(UpstreamEntry& aEntry, core::Instant aNow) const;
  bool HasFreedSlot(const UpstreamEntry& aEntry, core::Instant aNow) const;
  UpstreamEntry* ChooseFromSample(const RequestSpec& aSpec, core::Instant aNow);
  double SampleWeight(const UpstreamEntry& aEntry, Urgency aUrgency, core::Instant aNow) const;
  double FirstEventCorrection(const UpstreamEntry& aEntry, core::Instant aNow) const;
  double SlotLimit(const UpstreamEntry& aEntry, Urgency aUrgency) const;
  double FreeSlots(const UpstreamEntry& aEntry, Urgency aUrgency) const;
  bool HasFreeSlot(const UpstreamEntry& aEntry, Urgency aUrgency) const;
  bool IsSuitable(const UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow) const;
  bool IsSilent(const UpstreamEntry& aEntry, core::Instant aNow) const;
  double Score(const UpstreamEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow);
  void Eject(UpstreamEntry& aEntry, core::Duration aDuration, core::Instant aNow);
  void EjectUntil(UpstreamEntry& aEntry, core::Instant aEnd);
  bool MaySend(UpstreamEntry& aEntry, core::Instant aNow);
  void NoticeOutOfReach(UpstreamEntry& aEntry, core::Instant aNow);
  /// Tells the pacer whether the response was about as fast as predicted.
  void RecordPacedAnswer(UpstreamEntry& aEntry, core::Duration aLatency, core::Duration aPredicted,
                         core::Instant aNow);

  /// False while the upstream is ejected or has asked for no requests.
  static bool IsOpen(const UpstreamEntry& aEntry, core::Instant aNow);

  /// True if requests may be sent to the upstream, which is in one of the regions and not
  /// evacuated.
  static bool IsAllowed(const UpstreamEntry& aEntry, const core::RegionSet* aRegions);

  static const std::vector<UpstreamGroup>& GroupsOf(const ServiceUpstreams& aService);

  UpstreamTableSettings mSettings;
  UpstreamNotices mNotices;
  UpstreamPacer mPacer;
  core::DataCentreId mDataCentre;
  core::Random& mRandom;
  std::unordered_map<core::UpstreamId, UpstreamEntry> mEntries;
  std::map<core::ServiceId, ServiceUpstreams> mServices;
  core::Instant mLatestEjectionEnd{}; ///< Of any upstream.
  /// Mean first event latency of a service relative to the nominal one.
  std::map<core::ServiceId, double> mTypicalFactors;
  std::set<core::DataCentreId> mEvacuated;
  std::vector<Candidate> mCandidates; ///< Member only to reuse its allocation.
};

} // namespace cuminfield::request::placement
