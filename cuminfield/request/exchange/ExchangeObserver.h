#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/exchange/IncomingRequest.h"

#include <optional>

namespace cuminfield::request::exchange {

/// How a request ended from the caller's point of view.
enum class ExchangeEnd
{
  Completed,          ///< The complete response was sent.
  NotRun,             ///< The caller got `not-run`.
  Unknown,            ///< The caller got `unknown`.
  Aborted,            ///< The response was aborted after its headers were sent.
  CallerDisconnected, ///< The caller disconnected first.
};

/// Summary of an ended request, for metrics, logs and version observations.
struct ExchangeSummary
{
  ExchangeEnd end = ExchangeEnd::Completed;
  int status = 0;
  std::optional<UpstreamAnnouncement> upstream;    ///< Of the last attempt, if any.
  std::optional<AttemptOutcome> attemptOutcome;    ///< Of the last attempt, if any.
  std::optional<core::Duration> firstTokenLatency; ///< Since arrival.
  /// Since the request was sent to the upstream.
  std::optional<core::Duration> upstreamFirstTokenLatency;
  core::Duration duration{ 0 };
  std::uint64_t tokens = 0;
  core::Duration meanTokenGap{ 0 };
  core::Duration maxTokenGap{ 0 };
  std::uint64_t responseBytes = 0;
  bool followed = false; ///< The response came from another arrival's outcome or stream.
};

/// Notified when a request ends.
class ExchangeObserver
{
public:
  virtual ~ExchangeObserver() = default;
  virtual void OnEnded(const IncomingRequest& aRequest, const ExchangeSummary& aSummary) = 0;
};

} // namespace cuminfield::request::exchange
