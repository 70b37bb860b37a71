#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// Tunables of Circuit.
struct CircuitSettings
{
  std::uint32_t threshold = 8;               ///< Failures inside the window that open the circuit.
  core::Duration window{ 60'000'000 };       ///< How long a failure counts.
  core::Duration openDuration{ 30'000'000 }; ///< How long calls are refused after opening.
  std::uint32_t probes = 2;                  ///< Trial calls, and successes needed to close.
};

/// Circuit breaker of one upstream: closed, open, half-open with a few probes (after milon/fuse).
/// Kept as a policy to be measured against PeerComparison.
class Circuit
{
public:
  explicit Circuit(const CircuitSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Whether a call may run now; a half-open circuit lets only its probes through.
  bool Allows(core::Instant aNow, std::uint32_t aInFlight) const;

  /// A call ended well.
  void Succeeded(core::Instant aNow);

  /// A call ended with a fault that counts.
  void Failed(core::Instant aNow);

private:
  CircuitSettings mSettings;
  std::uint32_t mFailures = 0;
  std::uint32_t mProbesPassed = 0;
  core::Instant mFirstFailure{};
  core::Instant mOpenUntil{};
  bool mOpen = false;
};

} // namespace cuminfield::request::routing
