#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/exchange/IncomingRequest.h"

#include <optional>

namespace cuminfield::request::exchange {

/// How a caller's request ended, as the caller saw it.
enum class ExchangeEnd
{
  Answered, ///< Whole answer.
  NotRun,   ///< Told not-run.
  Unknown,  ///< Told unknown.
  Broken,   ///< The answer broke off after its head.
  Left,     ///< The caller left first.
};

/// One ended request, for metrics, logs and the watch over versions.
struct ExchangeSummary
{
  ExchangeEnd end = ExchangeEnd::Answered;
  int status = 0;
  std::optional<UpstreamAnnouncement> upstream;     ///< Of the last try, if any.
  std::optional<AttemptOutcome> tryOutcome;         ///< How the last try ended.
  std::optional<core::Duration> firstToken;         ///< Since arrival.
  std::optional<core::Duration> upstreamFirstToken; ///< Since it was sent to the upstream.
  core::Duration total{ 0 };
  std::uint64_t tokens = 0;
  core::Duration meanGap{ 0 };  ///< Between tokens.
  core::Duration worstGap{ 0 }; ///< Between tokens.
  std::uint64_t answerBytes = 0;
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
