#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/exchange/IncomingRequest.h"

#include <optional>

namespace cuminfield::request::exchange {

/// How a caller's request ended, as the caller saw it.
enum class ExchangeEnd
{
  Completed,          ///< Whole answer.
  NotRun,             ///< Told not-run.
  Unknown,            ///< Told unknown.
  Aborted,            ///< The answer broke off after its head.
  CallerDisconnected, ///< The caller left first.
};

/// One ended request, for metrics, logs and the watch over versions.
struct ExchangeSummary
{
  ExchangeEnd end = ExchangeEnd::Completed;
  int status = 0;
  std::optional<UpstreamAnnouncement> upstream;            ///< Of the last try, if any.
  std::optional<AttemptOutcome> attemptOutcome;            ///< How the last try ended.
  std::optional<core::Duration> firstTokenLatency;         ///< Since arrival.
  std::optional<core::Duration> upstreamFirstTokenLatency; ///< Since it was sent to the upstream.
  core::Duration duration{ 0 };
  std::uint64_t tokens = 0;
  core::Duration meanTokenGap{ 0 }; ///< Between tokens.
  core::Duration maxTokenGap{ 0 };  ///< Between tokens.
  std::uint64_t responseBytes = 0;
  bool followed = false; ///< Answered from another arrival's outcome or stream.
};

/// Told of each request that ended.
class ExchangeObserver
{
public:
  virtual ~ExchangeObserver() = default;
  virtual void OnEnded(const IncomingRequest& aRequest, const ExchangeSummary& aSummary) = 0;
};

} // namespace cuminfield::request::exchange
