#pragma once

#include "cuminfield/request/quarantine/CrashReport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cuminfield::request::quarantine {

/// Settings of CrashAttribution. Times are wall clock times, since the state outlives processes.
struct CrashAttributionSettings
{
  /// Crashes of different upstreams or incarnations after which a part is quarantined. Two may
  /// coincide: a request breaks off in an ordinary crash, and once more where it is sent again.
  std::size_t minCrashes = 3;
  /// The same for a part with which requests had begun before. It is likelier to have been near
  /// ordinary crashes, or beside a fatal part; still, upstreams may have changed.
  std::size_t minCrashesOfStartedPart = 5;
  /// Crashes kept for one part. With fewer, the first ones would look unexplained by a part that
  /// has crashed many upstreams, and be blamed on parts beside it.
  std::size_t maxCrashesPerPart = 64;
  /// Parts kept; callers choose how many there are.
  std::size_t maxParts = 1024;
  /// A suspected part without further crashes is forgotten after this long.
  std::uint64_t suspicionMs = 600'000;
  /// A quarantine ends after this long, doubled each time; one more crash renews it.
  std::uint64_t quarantineMs = 1'800'000;
};

/// Finds the parts of prompts that crash the upstreams which begin to answer on them. Replicated:
/// the same calls in the same order give the same result on every control host.
///
/// When an upstream crashes, the requests that it had not begun to answer are suspected, each with
/// all shared parts of its prompt. A part is cleared once a request with it begins anywhere, which
/// happens soon to every part but the fatal one. A part is quarantined when enough upstreams have
/// crashed with none of its requests beginning in between. At least one of these requests must have
/// been sent after several crashes were known: upstreams that fail together have many parts in
/// common.
///
/// A part with few requests may not begin for seconds while upstreams are down. Hosts therefore
/// report of parts with several crashes whether requests with them had begun before; it then takes
/// more.
///
/// A crash has one cause. Parts whose crashes are all explained by another part's stay free, and
/// parts with exactly the same crashes are quarantined only in combination. A request with one of
/// them then either begins, which clears that part, or crashes an upstream, which tells them apart.
class CrashAttribution
{
public:
  /// What is known of one suspected part.
  struct Record
  {
    std::vector<Crash> crashes; ///< Since the part was last cleared, the oldest first.
    /// One of the requests was sent although several crashes were known.
    bool wasSuspected = false;
    bool hasStartedBefore = false; ///< Requests with the part had begun before the first crash.
    std::uint64_t lastCrashMs = 0;
    std::uint32_t releases = 0; ///< Number of quarantines that have ended.
  };
  using RecordMap = std::map<core::PromptPartId, Record>;

  explicit CrashAttribution(const CrashAttributionSettings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Returns true if the report changed anything; repeated reports don't.
  bool RecordCrash(const CrashReport& aReport, std::uint64_t aNowMs);

  /// Records that a request with the part began at the service.
  bool RecordStart(const ServicePart& aStarted);

  /// Records that requests with the part had begun at the service before it was suspected.
  bool RecordEarlierStart(const ServicePart& aStarted);

  /// Ends quarantines and suspicions that have lasted long enough.
  bool Expire(std::uint64_t aNowMs);

  /// True if Expire() would change anything.
  bool HasExpired(std::uint64_t aNowMs) const;

  bool IsSuspect(const ServicePart& aPart) const;
  std::vector<ServicePart> Suspects() const;

  /// Suspects of several crashes.
  std::vector<ServicePart> RepeatSuspects() const;

  /// Those of them with which no request is known to have begun before.
  std::vector<ServicePart> SuspectsWithoutStart() const;

  /// Requests whose prompts contain all parts of one of these groups must not be sent.
  const std::vector<PartGroup>& Quarantined() const { return mQuarantined; }

  const RecordMap& Records() const { return mRecords; }
  void Restore(RecordMap aRecords);

private:
  template<typename Predicate>
  std::vector<ServicePart> ListSuspects(const Predicate& aPredicate) const;
  std::size_t MinCrashes(const Record& aRecord) const;
  bool IsQuarantined(const core::PromptPartId& aPart) const;
  bool IsExpired(const core::PromptPartId& aPart, const Record& aRecord,
                 std::uint64_t aNowMs) const;
  void EvictLeastSuspect();
  void UpdateQuarantined();
  /// Quarantines the part, or parts, with the most crashes that aExplained doesn't have. Returns
  /// false if none has enough.
  bool QuarantineNext(bool aHasStartedBefore, std::set<Crash>& aExplained);

  CrashAttributionSettings mSettings;
  RecordMap mRecords;
  std::vector<PartGroup> mQuarantined;
};

} // namespace cuminfield::request::quarantine
