#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfield::process::cluster {

/// Tunables of an OrderWatch.
struct ControlRequestTrackerSettings
{
  /// An order that waits for longer is reported: callers move on to another host after a second.
  core::Duration slowThreshold = std::chrono::milliseconds(500);
  /// Between two reports.
  core::Duration reportInterval = std::chrono::milliseconds(1000);
};

/// The orders from outside that wait for the group, so that an answer that does not come leaves a
/// trace. Touched by one thread.
class ControlRequestTracker
{
public:
  /// One order.
  struct Request
  {
    std::string kind;      ///< `document`, `move` or `leave`.
    std::string name;      ///< Number of the document; service; upstream.
    std::size_t bytes = 0; ///< Size of the command.
    core::Instant receivedAt;
  };

  /// What is reported while orders wait.
  struct Report
  {
    std::size_t pending = 0; ///< Orders that wait.
    Request oldest;
    core::Duration oldestWait{ 0 }; ///< Of the oldest.
  };

  explicit ControlRequestTracker(ControlRequestTrackerSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// An order came; the number names it to End().
  std::uint64_t Begin(Request aOrder);

  /// The order was answered; it is given back.
  Request End(std::uint64_t aNumber);

  /// Something when orders wait for too long and the last report is a period ago.
  std::optional<Report> TakeReport(core::Instant aNow);

private:
  ControlRequestTrackerSettings mSettings;
  std::map<std::uint64_t, Request> mPending;
  std::uint64_t mNextNumber = 1;
  core::Instant mNextReportAt{};
};

} // namespace cuminfield::process::cluster
