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
  void Dispatched(core::Tokens aPrefill, core::Instant aNow);

  /// A request's prompt has been computed, or the request ended before that.
  void Prefilled(core::Tokens aPrefill, core::Instant aNow);

  /// One of this host's requests ended.
  void Ended(core::Instant aNow);

  /// A report was received.
  void Reported(const LoadReport& aReport, core::Instant aNow);

  /// The upstream has restarted and numbers its reports anew.
  void Restarted() { mReportSequence = 0; }

  /// Requests of this host at the upstream.
  std::uint32_t Own() const { return mOwn; }

  /// Requests at the upstream, of all hosts.
  std::uint32_t InFlight() const { return mOwn + mOthers; }

  /// Uncached prompt tokens sent by this host whose first token is still to come.
  core::Tokens OwnPrefill() const { return mOwnPrefill; }

  /// The same for all other hosts, as last reported.
  core::Tokens OthersPrefill() const { return mOthersPrefill; }

  /// When this host last saw its prompts make progress there.
  core::Instant LastProgress() const { return mLastProgress; }

  /// Age of what is known of the others' load.
  core::Duration Age(core::Instant aNow) const { return aNow - mReportMade; }

  /// True once a report has been received.
  bool HasReport() const { return mHasReport; }

private:
  struct Mark
  {
    core::Instant at{};
    std::uint32_t own = 0;
    core::Tokens prefill{ 0 };
  };

  static constexpr std::size_t kMarks = 64; ///< Changes remembered; older ones count as the oldest.

  void Remember(core::Instant aNow);
  Mark At(core::Instant aInstant) const;

  std::uint32_t mOwn = 0;
  std::uint32_t mOthers = 0;
  core::Tokens mOwnPrefill{ 0 };
  core::Tokens mOthersPrefill{ 0 };
  core::Instant mReportMade{};
  core::Instant mLastProgress{};
  std::uint64_t mReportSequence = 0;
  bool mHasReport = false;
  std::array<Mark, kMarks> mMarks{};
  std::size_t mNextMark = 0;
};

} // namespace cuminfield::request::routing
