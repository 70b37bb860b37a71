#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// Tunables of Circuit.
struct CircuitBreakerSettings
{
  std::uint32_t failureThreshold = 8;         ///< Failures inside the window that open the circuit.
  core::Duration failureWindow{ 60'000'000 }; ///< How long a failure counts.
  core::Duration openDuration{ 30'000'000 };  ///< How long calls are refused after opening.
  std::uint32_t maxProbes = 2;                ///< Trial calls, and successes needed to close.
};

/// Circuit breaker of one upstream: closed, open, half-open with a few probes (after milon/fuse).
/// Kept as a policy to be measured against PeerComparison.
class CircuitBreaker
{
public:
  explicit CircuitBreaker(const CircuitBreakerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Whether a call may run now; a half-open circuit lets only its probes through.
  bool AllowsRequest(core::Instant aNow, std::uint32_t aInFlight) const;

  /// A call ended well.
  void RecordSuccess(core::Instant aNow);

  /// A call ended with a fault that counts.
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
