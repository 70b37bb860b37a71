#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/UpstreamOpinion.h"

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
  std::uint32_t freed = 0; ///< Places that this host's requests left, of which the others know not.
  core::Instant freedAt{}; ///< The newest of them.
  core::Instant toldAt{};  ///< When the upstream itself last told its load.

  // Its speed and its health.
  UpstreamOpinion seen; ///< By this host.
  core::Instant fadedAt{};
  UpstreamOpinion told; ///< By all other hosts, as last heard.
  std::uint32_t failuresInRow = 0;
  core::Instant pausedUntil{};
  bool onTrial = false;     ///< One request at a time until one succeeds.
  bool unreachable = false; ///< The last try found no connection.
  core::Instant heard{};    ///< Last byte from it, or last dispatch to it when it was idle.
  core::Instant lastByte{}; ///< Last byte from it.
  std::uint32_t probes = 0; ///< Requests of this host sent to it since it fell silent here.
  core::Instant nextProbe{};

  std::uint32_t Load() const { return own + others; }
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
class UpstreamBoard
{
public:
  UpstreamBoard(const UpstreamBoardSettings& aSettings, core::DataCentreId aDataCentre,
                core::Random& aRandom);

  void Up(const UpstreamAnnouncement& aUpstream);
  void Gone(const core::UpstreamId& aUpstream);

  /// Which free places count.
  enum class Free
  {
    Any,
    Own, ///< Those that this host's own requests have just left.
  };

  /// The best upstream that has room for the request; null: none.
  BoardEntry* Choose(const RequestSpec& aSpec, const core::VersionId& aVersion, Pressure aPressure,
                     Free aFree, core::Instant aNow);

  /// Free places of the service's engines, as far as this host knows.
  double FreeEnginePlaces(const core::ServiceId& aService, core::Instant aNow);

  /// Requests of all other hosts at the service's upstreams, as last heard.
  double OthersInFlight(const core::ServiceId& aService) const;

  BoardEntry* Find(const core::UpstreamId& aUpstream);

  /// True when some upstream of the service and version takes work, whether it has room or not.
  bool Any(const core::ServiceId& aService, const core::VersionId& aVersion) const;

  /// Requests like this one that the engines which suit them take at once, as far as they can be
  /// used now; 0 for a plain service.
  double EnginePlaces(const RequestSpec& aSpec, core::Instant aNow);

  /// Predicted time from a dispatch to the first event, or to the answer of a plain call.
  core::Duration First(const BoardEntry& aEntry, const RequestSpec& aSpec) const;

  /// The same if the upstream had the usual speed.
  core::Duration FirstAtUsualSpeed(const BoardEntry& aEntry, const RequestSpec& aSpec) const;

  /// The same at an idle upstream of usual speed.
  core::Duration FirstIdle(const RequestSpec& aSpec) const;

  void Dispatched(BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow);

  /// The first event came; aPredicted is what FirstAtUsualSpeed() said at the dispatch.
  void FirstCame(BoardEntry& aEntry, const RequestSpec& aSpec, core::Duration aTook,
                 core::Duration aPredicted, core::Instant aNow);
  static void Heard(BoardEntry& aEntry, core::Instant aNow);

  /// A try ended. aBegan: its first event came before.
  void Ended(BoardEntry& aEntry, const RequestSpec& aSpec, TryOutcome aOutcome, bool aBegan,
             core::Instant aNow);

  /// A stretch of a stream had this mean time between tokens.
  void Paced(BoardEntry& aEntry, double aTokenMs, core::Instant aNow);

  /// What this host found out, for the others; with what it thinks of the upstream now.
  UpstreamOpinion Opinion(BoardEntry& aEntry, core::Instant aNow) const;

  /// What all other hosts found out: whether they hear from it,
  void SetTrust(const core::UpstreamId& aUpstream, std::uint32_t aDoubting, std::uint32_t aTrusting,
                core::Instant aNow);
  /// and the sums of the opinion.
  void SetTold(const core::UpstreamId& aUpstream, const UpstreamOpinion& aSums);

  double FirstFactor(const BoardEntry& aEntry) const;
  double TokenMs(const BoardEntry& aEntry) const;
  double FailShare(const BoardEntry& aEntry) const;

  /// The other hosts' work in flight as the control host told it.
  void SetOthers(const core::UpstreamId& aUpstream, std::uint32_t aRequests, std::int64_t aPrompt,
                 core::Instant aNow);

  /// An upstream told its load with an answer.
  void SetLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests, core::Instant aNow);

  std::unordered_map<core::UpstreamId, BoardEntry>& All() { return mEntries; }

private:
  /// The upstreams of one service, and what is compared over them.
  struct ServiceBoard
  {
    std::vector<BoardEntry*> entries;
    double failShares = 0; ///< Of all that are up.
    std::size_t up = 0;
    core::Instant summedAt{};
  };

  struct Candidate
  {
    BoardEntry* entry = nullptr;
    double weight = 0; ///< In the draw.
  };

  ServiceBoard& BoardOf(const core::ServiceId& aService, core::Instant aNow);
  void Index();
  bool Usable(const BoardEntry& aEntry, const ServiceBoard& aService, Pressure aPressure,
              core::Instant aNow) const;
  core::Instant NextDoubtedProbe(core::Instant aNow);
  bool MayBeProbed(const BoardEntry& aEntry, core::Instant aNow) const;
  bool IsDoubted(const BoardEntry& aEntry, core::Instant aNow) const;
  void FadeTo(BoardEntry& aEntry, core::Instant aNow) const;
  bool HasFreedPlace(const BoardEntry& aEntry, core::Instant aNow) const;
  BoardEntry* BestOfFew(const RequestSpec& aSpec);
  double Places(const BoardEntry& aEntry, Pressure aPressure) const;
  double FreePlaces(const BoardEntry& aEntry, Pressure aPressure) const;
  bool HasRoom(const BoardEntry& aEntry, Pressure aPressure) const;
  bool Suits(const BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow) const;
  bool Silent(const BoardEntry& aEntry, core::Instant aNow) const;
  double Score(const BoardEntry& aEntry, const RequestSpec& aSpec);
  void NoteFailure(BoardEntry& aEntry, core::Duration aPause, core::Instant aNow) const;

  UpstreamBoardSettings mSettings;
  core::DataCentreId mDataCentre;
  core::Random& mRandom;
  std::unordered_map<core::UpstreamId, BoardEntry> mEntries;
  std::map<core::ServiceId, ServiceBoard> mServices;
  std::vector<Candidate> mCandidates; ///< Kept for its memory.
};

} // namespace cuminfield::request::placement
