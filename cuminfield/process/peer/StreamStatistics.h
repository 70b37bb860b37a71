#pragma once

#include "cuminfield/core/Units.h"

#include <cstddef>
#include <optional>

namespace cuminfield::process::peer {

/// Settings of StreamStatistics.
struct StreamStatisticsSettings
{
  /// Least time between two reports.
  core::Duration reportInterval = std::chrono::seconds(1);
  /// A stream that takes longer to open, or an urgent message that waits longer to be sent, is
  /// worth a report.
  core::Duration slowAfter = std::chrono::milliseconds(500);
};

/// Counts how attempts to open streams to other hosts end, and how long urgent messages wait. Tells
/// a host whose connections are given up before they are open from one whose open streams are slow.
/// Does no I/O.
class StreamStatistics
{
public:
  explicit StreamStatistics(StreamStatisticsSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// What happened since the last report.
  struct Report
  {
    std::size_t opened = 0;             ///< Streams that have taken their first batch.
    std::size_t givenUp = 0;            ///< Streams that ended before.
    core::Duration longestOpening{ 0 }; ///< Of the opened ones.
    core::Duration longestUrgentWait{ 0 };
  };

  void OnOpened(core::Duration aOpeningTime);
  void OnGivenUp();

  /// An urgent message was passed to its stream after waiting for aWait.
  void OnUrgentSent(core::Duration aWait);

  /// Returns what happened since the last report, if that is worth one and one is due.
  std::optional<Report> TakeReport(core::Instant aNow);

  /// Streams opened, and given up, since the start.
  std::size_t OpenedCount() const { return mOpenedCount; }
  std::size_t GivenUpCount() const { return mGivenUpCount; }

private:
  StreamStatisticsSettings mSettings;
  Report mCurrent;
  std::size_t mOpenedCount = 0;
  std::size_t mGivenUpCount = 0;
  std::optional<core::Instant> mReportedAt;
};

} // namespace cuminfield::process::peer
