#include "cuminfield/request/quarantine/QuarantineTable.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::quarantine {

namespace {

/// Reports kept while no control host acknowledges them; the newest replace the oldest.
constexpr std::size_t kMaxPendingReports = 64;

} // namespace

bool QuarantineTable::Update(State aState, core::Instant aNow)
{
  if (aState.revision <= mRevision) {
    return false;
  }
  mRevision = aState.revision;
  mQuarantined = std::move(aState.quarantined);
  mSuspects = { aState.suspects.begin(), aState.suspects.end() };
  std::erase_if(mStarted, [this](const ServicePart& aPart) { return !mSuspects.contains(aPart); });
  std::map<ServicePart, core::Instant> repeatSuspects;
  for (const ServicePart& it : aState.repeatSuspects) {
    const auto known = mRepeatSuspects.find(it);
    repeatSuspects.emplace(it, known == mRepeatSuspects.end() ? aNow : known->second);
  }
  mRepeatSuspects = std::move(repeatSuspects);
  mStartedBefore.clear();
  for (ServicePart& it : aState.suspectsWithoutStart) {
    if (mStartedParts.Contains(it)) {
      mStartedBefore.insert(std::move(it));
    }
  }
  return true;
}

bool QuarantineTable::IsQuarantined(const RequestSpec& aSpec) const
{
  const std::vector<core::PromptPartId>& parts = aSpec.sharedParts;
  return !aSpec.resumed &&
         std::any_of(mQuarantined.begin(), mQuarantined.end(), [&](const PartGroup& aGroup) {
           return std::all_of(aGroup.begin(), aGroup.end(), [&](const core::PromptPartId& aPart) {
             return std::find(parts.begin(), parts.end(), aPart) != parts.end();
           });
         });
}

void QuarantineTable::RecordStart(const RequestSpec& aSpec)
{
  for (const core::PromptPartId& it : aSpec.sharedParts) {
    ServicePart part(aSpec.service, it);
    mStartedParts.Insert(part);
    if (mSuspects.contains(part)) {
      mStarted.insert(std::move(part));
    }
  }
}

void QuarantineTable::RecordBreakOff(const RequestSpec& aSpec, const Crash& aCrash,
                                     core::Instant aSentAt)
{
  if (aSpec.sharedParts.empty()) {
    return;
  }
  CrashReport report{ .crash = aCrash, .parts = {} };
  for (const core::PromptPartId& it : aSpec.sharedParts) {
    const auto suspect = mRepeatSuspects.find({ aSpec.service, it });
    report.parts.push_back(
      { .part = it,
        .wasSuspected = suspect != mRepeatSuspects.end() && suspect->second <= aSentAt });
  }
  const auto [unchecked, isFirst] = mUnchecked.try_emplace(aCrash);
  if (unchecked->second.size() < kMaxPendingReports) {
    unchecked->second.push_back(std::move(report));
  }
  if (isFirst) {
    mOnBreakOff.emit(aCrash);
  }
}

void QuarantineTable::RecordCheck(const Crash& aCrash, bool aIsReachable)
{
  auto node = mUnchecked.extract(aCrash);
  if (node.empty() || aIsReachable) {
    return;
  }
  for (CrashReport& it : node.mapped()) {
    mPending.push_back({ .sequence = ++mLastSequence, .report = std::move(it) });
    if (mPending.size() > kMaxPendingReports) {
      mPending.pop_front();
    }
  }
  mOnCrashRecorded.emit();
}

void QuarantineTable::Acknowledge(std::uint64_t aSequence)
{
  while (!mPending.empty() && mPending.front().sequence <= aSequence) {
    mPending.pop_front();
  }
}

} // namespace cuminfield::request::quarantine
