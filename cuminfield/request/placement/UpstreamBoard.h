#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::placement {

/// How pressing a request is when places are scarce.
enum class Pressure
{
  Top,   ///< Of the highest rank, and can be in time; or its caller reads already.
  Lower, ///< Can be in time.
  Late,  ///< Cannot be in time any more.
};

/// One upstream as this host sees it.
struct BoardEntry
{
  UpstreamAnnouncement upstream;
  bool up = true; ///< Takes new work.

  // Its load.
  std::uint32_t own = 0;      ///< Requests of this host in flight there.
  std::int64_t ownPrompt = 0; ///< Their prompt tokens, until their first event.
  std::uint32_t others = 0;   ///< Requests of all other hosts, as last heard.
  std::int64_t othersPrompt = 0;
  core::Instant othersAt{}; ///< When that was heard.
  core::Instant toldAt{};   ///< When the upstream itself last told its load.

  // Its speed.
  double firstFactor = 1; ///< Observed time to the first event, relative to the prediction.
  double tokenMs = 0;     ///< Time between tokens; 0: not known yet.

  // Its health.
  double failShare = 0; ///< Of its answers lately.
  std::uint32_t failuresInRow = 0;
  core::Instant pausedUntil{};
  bool onTrial = false;  ///< One request at a time until one succeeds.
  core::Instant heard{}; ///< Last byte from it, or last dispatch to it when it was idle.

  std::uint32_t Load() const { return own + others; }
};

/// The upstreams of all services as one host sees them: which there are, how much is in flight at
/// each, how fast each is, and which can be trusted. Compares them for one request.
///
/// Answers the load where every host reads the same old figures: a host's own work counts at once,
/// the others' as they last reported it, and a random part keeps hosts from all choosing the
/// upstream that was idle a moment ago. Free of I/O.
class UpstreamBoard
{
public:
  UpstreamBoard(const UpstreamBoardSettings& aSettings, core::DataCentreId aDataCentre,
                core::Random& aRandom);

  void Up(const UpstreamAnnouncement& aUpstream);
  void Gone(const core::UpstreamId& aUpstream);

  /// The best upstream that has room for the request; null: none.
  BoardEntry* Choose(const RequestSpec& aSpec, const core::VersionId& aVersion, Pressure aPressure,
                     core::Instant aNow);

  BoardEntry* Find(const core::UpstreamId& aUpstream);

  /// True when some upstream of the service and version takes work, whether it has room or not.
  bool Any(const core::ServiceId& aService, const core::VersionId& aVersion) const;

  /// Requests that the service's engines take at once; 0 for a plain service.
  double EnginePlaces(const core::ServiceId& aService) const;

  /// Predicted time from a dispatch to the first event, or to the answer of a plain call.
  core::Duration First(const BoardEntry& aEntry, const RequestSpec& aSpec) const;

  /// The same at an idle upstream of usual speed.
  core::Duration FirstIdle(const RequestSpec& aSpec) const;

  void Dispatched(BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow);

  /// The first event came; aPredicted is what First() said at the dispatch.
  void FirstCame(BoardEntry& aEntry, const RequestSpec& aSpec, core::Duration aTook,
                 core::Duration aPredicted, core::Instant aNow);
  void Heard(BoardEntry& aEntry, core::Instant aNow) { aEntry.heard = aNow; }

  /// A try ended. aBegan: its first event came before.
  void Ended(BoardEntry& aEntry, const RequestSpec& aSpec, TryOutcome aOutcome, bool aBegan,
             core::Instant aNow);

  /// A stream's mean time between tokens.
  void Paced(BoardEntry& aEntry, double aTokenMs);

  /// The other hosts' work in flight as the control host told it.
  void SetOthers(const core::UpstreamId& aUpstream, std::uint32_t aRequests, std::int64_t aPrompt,
                 core::Instant aNow);

  /// An upstream told its load with an answer.
  void SetTold(const core::UpstreamId& aUpstream, std::uint32_t aRequests, core::Instant aNow);

  std::unordered_map<core::UpstreamId, BoardEntry>& All() { return mEntries; }

private:
  bool Usable(const BoardEntry& aEntry, Pressure aPressure, double aMeanFailShare,
              core::Instant aNow) const;
  bool HasRoom(const BoardEntry& aEntry, Pressure aPressure) const;
  bool Suits(const BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow) const;
  double TokenMs(const BoardEntry& aEntry) const;
  bool Silent(const BoardEntry& aEntry, core::Instant aNow) const;
  double Score(const BoardEntry& aEntry, const RequestSpec& aSpec);
  void NoteFailure(BoardEntry& aEntry, core::Duration aPause, core::Instant aNow) const;

  UpstreamBoardSettings mSettings;
  core::DataCentreId mDataCentre;
  core::Random& mRandom;
  std::unordered_map<core::UpstreamId, BoardEntry> mEntries;
};

} // namespace cuminfield::request::placement
