#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

struct CircuitBreakerSettings
{
  std::uint32_t failureThreshold = 8; ///< Failures within the window that open the circuit.
  core::Duration failureWindow{ 60'000'000 };
  core::Duration openDuration{ 30'000'000 }; ///< Time from opening until probes are allowed.
  std::uint32_t maxProbes = 2;               ///< Concurrent probes, and successes needed to close.
};

/// Circuit breaker of one upstream: closed, open, or half-open with a few probes (after
/// milon/fuse). Available as a health policy for comparison with OutlierDetector.
class CircuitBreaker
{
public:
  explicit CircuitBreaker(const CircuitBreakerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns true if a request may be sent now. A half-open circuit allows only its probes.
  bool AllowsRequest(core::Instant aNow, std::uint32_t aInFlight) const;

  void RecordSuccess(core::Instant aNow);

  void RecordFailure(core::Instant aNow);

private:
  CircuitBreakerSettings mSettings;
  std::uint32_t mFailures = 0;
  std::uint32_t mSuccessfulProbes = 0;
  core::Instant mFirstFailureAt{};
  core::Instant mOpenUntil{};
  bool mOpen = false;
};

} // namespace cuminfield::request::routing
