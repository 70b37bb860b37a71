#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/quarantine/CrashReport.h"
#include "cuminfield/request/quarantine/StartedParts.h"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace cuminfield::request::quarantine {

/// What one host knows of the parts of prompts that crash upstreams, and what it has to report of
/// them. The control hosts draw the conclusions (see CrashAttribution), since no single host sees
/// enough requests.
///
/// A request that breaks off is reported only once its upstream no longer accepts connections: an
/// upstream that fails part of its requests, and a connection that is reset, are no crash.
/// Performs no I/O; OnBreakOff() asks the owner to check the upstream.
class QuarantineTable
{
public:
  /// A report that has not been acknowledged.
  struct PendingReport
  {
    std::uint64_t sequence = 0;
    CrashReport report;
  };

  /// The state of the control hosts; revisions increase.
  struct State
  {
    std::uint64_t revision = 0;
    std::vector<ServicePart> suspects;
    std::vector<ServicePart> repeatSuspects{}; ///< Suspects of several crashes.
    /// Suspects of which it is to be reported whether requests had begun before.
    std::vector<ServicePart> suspectsWithoutStart{};
    std::vector<PartGroup> quarantined;
  };

  /// Takes over a newer state; returns false if it isn't newer.
  bool Update(State aState, core::Instant aNow);

  /// True if the request must not be sent. One that has begun at another upstream is not fatal.
  bool IsQuarantined(const RequestSpec& aSpec) const;

  /// Records that the request began at an upstream of its service.
  void RecordStart(const RequestSpec& aSpec);

  /// Records that the request broke off before its first token.
  void RecordBreakOff(const RequestSpec& aSpec, const Crash& aCrash, core::Instant aSentAt);

  /// Records whether the upstream still accepts connections after requests broke off there.
  void RecordCheck(const Crash& aCrash, bool aIsReachable);

  /// The control hosts have received all reports up to this sequence.
  void Acknowledge(std::uint64_t aSequence);

  const std::deque<PendingReport>& PendingReports() const { return mPending; }

  /// Suspected parts with which a request has begun since.
  const std::set<ServicePart>& Started() const { return mStarted; }

  /// Suspected parts with which requests had begun before, as the control hosts ask for.
  const std::set<ServicePart>& StartedBefore() const { return mStartedBefore; }

  /// Emitted when a request broke off; RecordCheck() must follow, also if nothing can be checked.
  sigc::signal<void(const Crash&)>& OnBreakOff() { return mOnBreakOff; }

  /// Emitted when there is a new crash to report.
  sigc::signal<void()>& OnCrashRecorded() { return mOnCrashRecorded; }

  std::uint64_t Revision() const { return mRevision; }
  std::size_t QuarantinedCount() const { return mQuarantined.size(); }

private:
  std::uint64_t mRevision = 0;
  std::uint64_t mLastSequence = 0;
  std::set<ServicePart> mSuspects;
  std::map<ServicePart, core::Instant> mRepeatSuspects; ///< With the time when this was learned.
  std::vector<PartGroup> mQuarantined;
  std::set<ServicePart> mStarted;
  std::set<ServicePart> mStartedBefore;
  StartedParts mStartedParts;
  std::map<Crash, std::vector<CrashReport>> mUnchecked; ///< Reports that wait for RecordCheck().
  std::deque<PendingReport> mPending;
  sigc::signal<void(const Crash&)> mOnBreakOff;
  sigc::signal<void()> mOnCrashRecorded;
};

} // namespace cuminfield::request::quarantine
