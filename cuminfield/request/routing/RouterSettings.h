#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/routing/CircuitBreaker.h"
#include "cuminfield/request/routing/InFlightLimit.h"
#include "cuminfield/request/routing/OutlierDetector.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/RateEstimator.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// How slow or failing upstreams are detected.
enum class HealthPolicy
{
  OutlierDetection, ///< Comparison with other upstreams of the pool.
  CircuitBreaker,   ///< One circuit breaker per upstream.
  None,
};

/// Settings of Router, Fleet and their components.
struct RouterSettings
{
  /// Queued prefill time at an upstream above which it accepts no requests below the highest tier.
  core::Duration maxLowerTierBacklog{ 100'000 };
  /// Prefill time that all hosts together may have in flight at an upstream. Each host gets a part
  /// in proportion to its share of the slots, but at least one request.
  core::Duration prefillBudget{ 120'000 };
  /// Prefill time above which a request counts as long.
  core::Duration longPrefillThreshold{ 120'000 };
  /// Fraction of a region's slots in a pool that accepts long prefills. These are the largest
  /// upstreams, which compute long prompts fastest; the others stay free of long prefills.
  double longPrefillShare = 0.4;
  /// Cost added for a short request at an upstream that accepts long prefills.
  core::Duration longPrefillPenalty{ 100'000 };
  /// Upstreams sampled per decision, in addition to those that hold the request's prefix.
  std::uint32_t sampledUpstreams = 8;
  /// Weight of uncached prefill relative to queueing time in the predicted cost.
  double prefillWeight = 2.0;
  /// Cost of a full batch.
  core::Duration fullBatchCost{ 40'000 };
  /// Random fraction of the cost, so that hosts do not all choose the same upstream.
  double costJitter = 0.2;
  /// Multiple of the prediction error added to a predicted first token before comparison with the
  /// target.
  double predictionErrorWeight = 1.0;
  /// Relative error added per second of a load report's age.
  double reportAgeErrorPerSecond = 0.1;
  /// One-way network delay between regions.
  core::Duration interRegionDelay{ 8'000 };
  /// Cost of a byte between regions, as the microseconds of queueing accepted to avoid it.
  double microsPerInterRegionByte = 5;
  /// Network bytes per token of a prompt or response.
  double bytesPerToken = 4;
  /// Reported load of all hosts up to which a grant may be used, as a multiple of the limit.
  /// Reports are stale and grants are not, but other regions send requests without a grant.
  double maxLoadWithGrant = 1.1;
  /// Fraction of an upstream's prefill budget that one host of another region may use.
  double otherRegionPrefillShare = 0.1;
  /// Fraction of an upstream's in-flight limit that other regions may fill.
  double otherRegionShare = 0.3;
  /// Fraction of the limit that requests of the highest tier from other regions may fill.
  double otherRegionTopTierShare = 1.0;
  /// First tokens observed before the learned rates of an upstream may rule it out for a request.
  std::uint32_t minRateSamples = 8;
  /// Time without new requests after an upstream rejected one.
  core::Duration rejectionBackoff{ 200'000 };
  /// Time between two health evaluations.
  core::Duration evaluationPeriod{ 200'000 };
  /// Time after which a removed upstream is purged.
  core::Duration removedRetention{ 60'000'000 };
  HealthPolicy healthPolicy = HealthPolicy::OutlierDetection;
  InFlightLimitSettings inFlightLimit;
  RateEstimatorSettings rates;
  PrefixIndexSettings prefixIndex;
  OutlierDetectorSettings outlierDetector;
  CircuitBreakerSettings circuitBreaker;
};

} // namespace cuminfield::request::routing
