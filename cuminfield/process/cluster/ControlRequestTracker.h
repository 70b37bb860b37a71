#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfield::process::cluster {

/// Settings of ControlRequestTracker.
struct ControlRequestTrackerSettings
{
  /// A request that waits longer is reported. Callers switch to another host after a second.
  core::Duration slowThreshold = std::chrono::milliseconds(500);
  /// Time between two reports.
  core::Duration reportInterval = std::chrono::milliseconds(1000);
};

/// Tracks control requests that wait for the group, so that a missing response can be logged. Not
/// thread-safe.
class ControlRequestTracker
{
public:
  struct Request
  {
    std::string kind;      ///< `document`, `move`, `leave` or `evacuation`.
    std::string name;      ///< Document number, service, upstream or data centre, by the kind.
    std::size_t bytes = 0; ///< Size of the command.
    core::Instant receivedAt;
  };

  /// Summary of the pending requests.
  struct Report
  {
    std::size_t pending = 0; ///< Number of pending requests.
    Request oldest;
    core::Duration oldestWait{ 0 }; ///< Waiting time of the oldest request.
  };

  explicit ControlRequestTracker(ControlRequestTrackerSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Starts tracking a request and returns its number, which is passed to End().
  std::uint64_t Begin(Request aRequest);

  /// Stops tracking a request that got its response, and returns it.
  Request End(std::uint64_t aNumber);

  /// Returns a report if the oldest request waits too long and the last report is at least one
  /// interval old.
  std::optional<Report> TakeReport(core::Instant aNow);

private:
  ControlRequestTrackerSettings mSettings;
  std::map<std::uint64_t, Request> mPending;
  std::uint64_t mNextNumber = 1;
  core::Instant mNextReportAt{};
};

} // namespace cuminfield::process::cluster
