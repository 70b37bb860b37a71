#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfield::process::cluster {

/// Tunables of an OrderWatch.
struct OrderWatchSettings
{
  /// An order that waits for longer is reported: callers move on to another host after a second.
  core::Duration slow = std::chrono::milliseconds(500);
  /// Between two reports.
  core::Duration period = std::chrono::milliseconds(1000);
};

/// The orders from outside that wait for the group, so that an answer that does not come leaves a
/// trace. Touched by one thread.
class OrderWatch
{
public:
  /// One order.
  struct Order
  {
    std::string kind;      ///< `document`, `move` or `leave`.
    std::string name;      ///< Number of the document; service; upstream.
    std::size_t bytes = 0; ///< Size of the command.
    core::Instant since;
  };

  /// What is reported while orders wait.
  struct Report
  {
    std::size_t waiting = 0; ///< Orders that wait.
    Order oldest;
    core::Duration waited{ 0 }; ///< Of the oldest.
  };

  explicit OrderWatch(OrderWatchSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// An order came; the number names it to End().
  std::uint64_t Begin(Order aOrder);

  /// The order was answered; it is given back.
  Order End(std::uint64_t aNumber);

  /// Something when orders wait for too long and the last report is a period ago.
  std::optional<Report> TakeReport(core::Instant aNow);

private:
  OrderWatchSettings mSettings;
  std::map<std::uint64_t, Order> mOrders;
  std::uint64_t mNext = 1;
  core::Instant mReportDue{};
};

} // namespace cuminfield::process::cluster
