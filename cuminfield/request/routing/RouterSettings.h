#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/routing/CircuitBreaker.h"
#include "cuminfield/request/routing/InFlightLimit.h"
#include "cuminfield/request/routing/OutlierDetector.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/RateEstimator.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// How slow or failing upstreams are found.
enum class HealthPolicy
{
  OutlierDetection, ///< By comparison with the other upstreams of their pool.
  CircuitBreaker,   ///< By a circuit breaker for each upstream.
  None,             ///< Not at all.
};

/// Tunables of Router and Fleet and of the classes that they are made of.
struct RouterSettings
{
  /// Prefill queued at an upstream, in time, ahead of a request below the highest tier.
  core::Duration maxLowerTierBacklog{ 100'000 };
  /// Prefill that all hosts together may have in flight at an upstream, in time; each has its part
  /// by its part of the slots, but at least one request.
  core::Duration prefillBudget{ 120'000 };
  /// A request with a longer prefill of its own counts as long.
  core::Duration longPrefillThreshold{ 120'000 };
  /// Share of a region's slots in a pool that take long requests: the largest upstreams, which
  /// compute long prompts fastest. The others stay quick.
  double longPrefillShare = 0.4;
  /// Counted against an upstream that takes long requests when a quick one is placed.
  core::Duration longPrefillPenalty{ 100'000 };
  /// Upstreams sampled for one decision, besides those that hold the request's prefix.
  std::uint32_t sampledUpstreams = 8;
  /// Weight of uncached prefill against waiting time when upstreams are compared.
  double prefillWeight = 2.0;
  /// Time that a full batch counts for when upstreams are compared.
  core::Duration fullBatchCost{ 40'000 };
  /// Random part of a comparison, so that hosts do not all pick the same upstream.
  double costJitter = 0.2;
  /// Deviations added to a predicted first token before it is held against its target.
  double predictionErrorWeight = 1.0;
  /// Added to the relative spread per second of a load report's age.
  double reportAgeErrorPerSecond = 0.1;
  /// One way between regions.
  core::Duration interRegionDelay{ 8'000 };
  /// Price of a byte between regions, in microseconds of waiting that it is worth avoiding.
  double microsPerInterRegionByte = 5;
  /// Bytes that a token of a prompt or an answer takes on a link.
  double bytesPerToken = 4;
  /// Reported load of all hosts up to which a grant is used, as a multiple of the limit: reports
  /// are stale, grants are not, but other regions send work without a grant.
  double maxLoadWithGrant = 1.1;
  /// Part of a remote upstream's prefill budget that one host of another region may use.
  double otherRegionPrefillShare = 0.1;
  /// Share of a remote upstream's in-flight limit that other regions may fill.
  double otherRegionShare = 0.3;
  /// The same for the highest tier.
  double otherRegionTopTierShare = 1.0;
  /// First tokens before an upstream's learned rates are trusted to turn a request away.
  std::uint32_t minRateSamples = 8;
  /// No new work for an upstream that has just refused some.
  core::Duration rejectionBackoff{ 200'000 };
  /// Between two judgements of peers.
  core::Duration evaluationPeriod{ 200'000 };
  /// After which an upstream that is gone is forgotten.
  core::Duration removedRetention{ 60'000'000 };
  HealthPolicy healthPolicy = HealthPolicy::OutlierDetection;
  InFlightLimitSettings inFlightLimit;
  RateEstimatorSettings rates;
  PrefixIndexSettings prefixIndex;
  OutlierDetectorSettings outlierDetector;
  CircuitBreakerSettings circuitBreaker;
};

} // namespace cuminfield::request::routing
