#include "cuminfield/request/quarantine/CrashAttribution.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cuminfield::request::quarantine {

namespace {

/// Maximum number of times that the length of a quarantine is doubled.
constexpr std::uint32_t kMaxDoublings = 5;

bool Contains(const std::vector<Crash>& aCrashes, const Crash& aCrash)
{
  return std::find(aCrashes.begin(), aCrashes.end(), aCrash) != aCrashes.end();
}

std::set<Crash> Unexplained(const std::vector<Crash>& aCrashes, const std::set<Crash>& aExplained)
{
  std::set<Crash> crashes;
  std::copy_if(aCrashes.begin(), aCrashes.end(), std::inserter(crashes, crashes.end()),
               [&](const Crash& aCrash) { return !aExplained.contains(aCrash); });
  return crashes;
}

} // namespace

bool CrashAttribution::RecordCrash(const CrashReport& aReport, std::uint64_t aNowMs)
{
  bool changed = false;
  for (const SuspectPart& it : aReport.parts) {
    Record& record = mRecords[it.part];
    if (Contains(record.crashes, aReport.crash)) {
      continue;
    }
    changed = true;
    record.crashes.push_back(aReport.crash);
    if (record.crashes.size() > mSettings.maxCrashesPerPart) {
      record.crashes.erase(record.crashes.begin());
    }
    record.wasSuspected = record.wasSuspected || it.wasSuspected;
    record.lastCrashMs = aNowMs;
    if (mRecords.size() > mSettings.maxParts) {
      EvictLeastSuspect();
    }
  }
  if (changed) {
    UpdateQuarantined();
  }
  return changed;
}

void CrashAttribution::EvictLeastSuspect()
{
  mRecords.erase(
    std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.crashes.size(), aLeft.second.lastCrashMs) <
             std::pair(aRight.second.crashes.size(), aRight.second.lastCrashMs);
    }));
}

bool CrashAttribution::RecordStart(const ServicePart& aStarted)
{
  const auto it = mRecords.find(aStarted.second);
  if (it == mRecords.end()) {
    return false;
  }
  // Another service may still crash on the part.
  const std::size_t erased = std::erase_if(
    it->second.crashes, [&](const Crash& aCrash) { return aCrash.service == aStarted.first; });
  if (it->second.crashes.empty()) {
    mRecords.erase(it);
  }
  if (erased > 0) {
    UpdateQuarantined();
  }
  return erased > 0;
}

bool CrashAttribution::RecordEarlierStart(const ServicePart& aStarted)
{
  const auto it = mRecords.find(aStarted.second);
  if (it == mRecords.end() || std::exchange(it->second.hasStartedBefore, true)) {
    return false;
  }
  UpdateQuarantined();
  return true;
}

std::size_t CrashAttribution::MinCrashes(const Record& aRecord) const
{
  return aRecord.hasStartedBefore ? mSettings.minCrashesOfStartedPart : mSettings.minCrashes;
}

bool CrashAttribution::IsQuarantined(const core::PromptPartId& aPart) const
{
  return std::any_of(mQuarantined.begin(), mQuarantined.end(), [&](const PartGroup& aGroup) {
    return std::binary_search(aGroup.begin(), aGroup.end(), aPart);
  });
}

bool CrashAttribution::IsExpired(const core::PromptPartId& aPart, const Record& aRecord,
                                 std::uint64_t aNowMs) const
{
  const bool wasQuarantined = aRecord.releases > 0 || IsQuarantined(aPart);
  const std::uint64_t limitMs = wasQuarantined ? mSettings.quarantineMs
                                                   << std::min(aRecord.releases, kMaxDoublings)
                                               : mSettings.suspicionMs;
  return aNowMs > aRecord.lastCrashMs + limitMs;
}

bool CrashAttribution::HasExpired(std::uint64_t aNowMs) const
{
  return std::any_of(mRecords.begin(), mRecords.end(), [&](const auto& aItem) {
    return IsExpired(aItem.first, aItem.second, aNowMs);
  });
}

bool CrashAttribution::Expire(std::uint64_t aNowMs)
{
  bool changed = false;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    Record& record = it->second;
    if (!IsExpired(it->first, record, aNowMs)) {
      ++it;
      continue;
    }
    changed = true;
    if (!IsQuarantined(it->first)) {
      it = mRecords.erase(it);
      continue;
    }
    // On probation: the next crash completes the number needed.
    const std::size_t kept = std::min(record.crashes.size(), MinCrashes(record) - 1);
    record.crashes.erase(record.crashes.begin(),
                         record.crashes.end() - static_cast<std::ptrdiff_t>(kept));
    ++record.releases;
    record.lastCrashMs = aNowMs;
    ++it;
  }
  if (changed) {
    UpdateQuarantined();
  }
  return changed;
}

bool CrashAttribution::IsSuspect(const ServicePart& aPart) const
{
  const auto it = mRecords.find(aPart.second);
  return it != mRecords.end() &&
         std::any_of(it->second.crashes.begin(), it->second.crashes.end(),
                     [&](const Crash& aCrash) { return aCrash.service == aPart.first; });
}

template<typename Predicate>
std::vector<ServicePart> CrashAttribution::ListSuspects(const Predicate& aPredicate) const
{
  std::set<ServicePart> suspects;
  for (const auto& [part, record] : mRecords) {
    if (!aPredicate(record)) {
      continue;
    }
    for (const Crash& it : record.crashes) {
      suspects.emplace(it.service, part);
    }
  }
  return { suspects.begin(), suspects.end() };
}

std::vector<ServicePart> CrashAttribution::Suspects() const
{
  return ListSuspects([](const Record&) { return true; });
}

std::vector<ServicePart> CrashAttribution::RepeatSuspects() const
{
  return ListSuspects([](const Record& aRecord) { return aRecord.crashes.size() > 1; });
}

std::vector<ServicePart> CrashAttribution::SuspectsWithoutStart() const
{
  return ListSuspects(
    [](const Record& aRecord) { return aRecord.crashes.size() > 1 && !aRecord.hasStartedBefore; });
}

void CrashAttribution::Restore(RecordMap aRecords)
{
  mRecords = std::move(aRecords);
  UpdateQuarantined();
}

void CrashAttribution::UpdateQuarantined()
{
  mQuarantined.clear();
  std::set<Crash> explained;
  // Parts that began before come last: one beside a fatal part shares all of its crashes and may
  // have ordinary ones besides.
  for (const bool hasStartedBefore : { false, true }) {
    while (QuarantineNext(hasStartedBefore, explained)) {
    }
  }
}

bool CrashAttribution::QuarantineNext(bool aHasStartedBefore, std::set<Crash>& aExplained)
{
  std::set<Crash> most;
  PartGroup group;
  for (const auto& [part, record] : mRecords) {
    if (record.hasStartedBefore != aHasStartedBefore || !record.wasSuspected ||
        record.crashes.size() < MinCrashes(record)) {
      continue;
    }
    std::set<Crash> crashes = Unexplained(record.crashes, aExplained);
    if (crashes.size() > most.size()) {
      most = std::move(crashes);
      group = { part };
    } else if (crashes == most) {
      group.push_back(part);
    }
  }
  if (most.size() < mSettings.minCrashes) {
    return false;
  }
  aExplained.insert(most.begin(), most.end());
  mQuarantined.push_back(std::move(group));
  return true;
}

} // namespace cuminfield::request::quarantine
