#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Upstream.h"

#include <array>
#include <cstdint>

namespace cuminfield::request::routing {

/// One upstream's load as this host sees it: the last report, less what this host had there when
/// the report was made, plus what it has there now. The report's age widens the estimate.
class LoadEstimate
{
public:
  /// This host has sent a request with this much uncached prompt.
  void RecordDispatch(core::Tokens aPrefill, core::Instant aNow);

  /// A request's prompt has been computed, or the request ended before that.
  void RecordPrefillEnd(core::Tokens aPrefill, core::Instant aNow);

  /// One of this host's requests ended.
  void RecordRequestEnd(core::Instant aNow);

  /// A report was received.
  void ApplyReport(const LoadReport& aReport, core::Instant aNow);

  /// The upstream has restarted and numbers its reports anew.
  void ResetReportSequence() { mReportSequence = 0; }

  /// Requests of this host at the upstream.
  std::uint32_t LocalInFlight() const { return mLocalInFlight; }

  /// Requests at the upstream, of all hosts.
  std::uint32_t InFlight() const { return mLocalInFlight + mRemoteInFlight; }

  /// Uncached prompt tokens sent by this host whose first token is still to come.
  core::Tokens LocalPrefill() const { return mLocalPrefill; }

  /// The same for all other hosts, as last reported.
  core::Tokens RemotePrefill() const { return mRemotePrefill; }

  /// When this host last saw its prompts make progress there.
  core::Instant LastPrefillProgress() const { return mLastPrefillProgress; }

  /// Age of what is known of the others' load.
  core::Duration ReportAge(core::Instant aNow) const { return aNow - mReportMadeAt; }

  /// True once a report has been received.
  bool HasReport() const { return mHasReport; }

private:
  struct Snapshot
  {
    core::Instant at{};
    std::uint32_t inFlight = 0;
    core::Tokens prefill{ 0 };
  };

  static constexpr std::size_t kMaxSnapshots =
    64; ///< Changes remembered; older ones count as the oldest.

  void RecordSnapshot(core::Instant aNow);
  Snapshot SnapshotAt(core::Instant aInstant) const;

  std::uint32_t mLocalInFlight = 0;
  std::uint32_t mRemoteInFlight = 0;
  core::Tokens mLocalPrefill{ 0 };
  core::Tokens mRemotePrefill{ 0 };
  core::Instant mReportMadeAt{};
  core::Instant mLastPrefillProgress{};
  std::uint64_t mReportSequence = 0;
  bool mHasReport = false;
  std::array<Snapshot, kMaxSnapshots> mSnapshots{};
  std::size_t mNextSnapshot = 0;
};

} // namespace cuminfield::request::routing
