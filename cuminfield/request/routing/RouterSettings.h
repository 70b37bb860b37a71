#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/routing/Circuit.h"
#include "cuminfield/request/routing/InFlightLimit.h"
#include "cuminfield/request/routing/PeerComparison.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/RateEstimator.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// How slow or failing upstreams are found.
enum class HealthPolicy
{
  Peers,   ///< By comparison with the other upstreams of their pool.
  Circuit, ///< By a circuit breaker for each upstream.
  None,    ///< Not at all.
};

/// Tunables of Router and Fleet and of the classes that they are made of.
struct RouterSettings
{
  /// Prefill queued at an upstream, in time, ahead of a request below the highest tier.
  core::Duration lowerBacklog{ 100'000 };
  /// Prefill that all hosts together may have in flight at an upstream, in time; each has its part
  /// by its part of the slots, but at least one request.
  core::Duration prefillBudget{ 120'000 };
  /// A request with a longer prefill of its own counts as long.
  core::Duration longPrefill{ 120'000 };
  /// Share of a region's slots in a pool that take long requests: the largest upstreams, which
  /// compute long prompts fastest. The others stay quick.
  double longShare = 0.4;
  /// Counted against an upstream that takes long requests when a quick one is placed.
  core::Duration longPenalty{ 100'000 };
  /// Upstreams sampled for one decision, besides those that hold the request's prefix.
  std::uint32_t choices = 8;
  /// Weight of uncached prefill against waiting time when upstreams are compared.
  double prefillWeight = 2.0;
  /// Time that a full batch counts for when upstreams are compared.
  core::Duration batchWeight{ 40'000 };
  /// Random part of a comparison, so that hosts do not all pick the same upstream.
  double jitter = 0.2;
  /// Deviations added to a predicted first token before it is held against its target.
  double spreadWeight = 1.0;
  /// Added to the relative spread per second of a load report's age.
  double agePerSecond = 0.1;
  /// One way between regions.
  core::Duration regionDelay{ 8'000 };
  /// Price of a byte between regions, in microseconds of waiting that it is worth avoiding.
  double microsPerRegionByte = 5;
  /// Bytes that a token of a prompt or an answer takes on a link.
  double bytesPerToken = 4;
  /// Reported load of all hosts up to which a grant is used, as a multiple of the limit: reports
  /// are stale, grants are not, but other regions send work without a grant.
  double overGrant = 1.1;
  /// Part of a remote upstream's prefill budget that one host of another region may use.
  double remotePrefill = 0.1;
  /// Share of a remote upstream's in-flight limit that other regions may fill.
  double remoteShare = 0.3;
  /// The same for the highest tier.
  double remoteTopShare = 1.0;
  /// First tokens before an upstream's learned rates are trusted to turn a request away.
  std::uint32_t trustedSamples = 8;
  /// No new work for an upstream that has just refused some.
  core::Duration refusalPause{ 200'000 };
  /// Between two judgements of peers.
  core::Duration judgePeriod{ 200'000 };
  /// After which an upstream that is gone is forgotten.
  core::Duration forgetAfter{ 60'000'000 };
  HealthPolicy health = HealthPolicy::Peers;
  InFlightLimitSettings inFlight;
  RateEstimatorSettings rates;
  PrefixIndexSettings prefix;
  PeerComparisonSettings peers;
  CircuitSettings circuit;
};

} // namespace cuminfield::request::routing
