#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Upstream.h"

#include <array>
#include <cstdint>

namespace cuminfield::request::routing {

/// Load of one upstream as estimated by this host: the last report, minus this host's load when the
/// report was made, plus its current load. The uncertainty grows with the age of the report.
class LoadEstimate
{
public:
  /// Adds a dispatched request with this much uncached prompt.
  void RecordDispatch(core::Tokens aPrefill, core::Instant aNow);

  /// Removes the prefill of a request that received its first token or ended before.
  void RecordPrefillEnd(core::Tokens aPrefill, core::Instant aNow);

  /// Removes an ended request.
  void RecordRequestEnd(core::Instant aNow);

  /// Updates the load from other hosts. Ignores reports that are not newer than the last.
  void ApplyReport(const LoadReport& aReport, core::Instant aNow);

  /// Accepts the restarted report sequence of a restarted upstream.
  void ResetReportSequence() { mReportSequence = 0; }

  /// Requests of this host at the upstream.
  std::uint32_t LocalInFlight() const { return mLocalInFlight; }

  /// Requests of all hosts at the upstream.
  std::uint32_t InFlight() const { return mLocalInFlight + mRemoteInFlight; }

  /// Uncached prompt tokens of this host's requests that have not received their first token.
  core::Tokens LocalPrefill() const { return mLocalPrefill; }

  /// Uncached prompt tokens of all other hosts, as last reported.
  core::Tokens RemotePrefill() const { return mRemotePrefill; }

  /// Last time that one of this host's prompts made progress at the upstream.
  core::Instant LastPrefillProgress() const { return mLastPrefillProgress; }

  /// Age of the last report.
  core::Duration ReportAge(core::Instant aNow) const { return aNow - mReportMadeAt; }

  bool HasReport() const { return mHasReport; }

private:
  struct Snapshot
  {
    core::Instant at{};
    std::uint32_t inFlight = 0;
    core::Tokens prefill{ 0 };
  };

  /// For times before the oldest snapshot, the oldest one is used.
  static constexpr std::size_t kMaxSnapshots = 64;

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
