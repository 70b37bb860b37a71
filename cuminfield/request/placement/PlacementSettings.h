#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/admission/RetryBudget.h"

#include <cstdint>

namespace cuminfield::request::placement {

/// Tunables of the upstreams' board.
struct UpstreamTableSettings
{
  /// First event of an idle engine with an empty prompt, before any answer taught better.
  core::Duration baseFirstEventLatency = std::chrono::milliseconds(40);
  /// Prompt tokens that an engine reads in a millisecond, likewise.
  double promptTokensPerMs = 100;
  /// Time between tokens, likewise.
  double tokenIntervalMs = 5;
  /// Work of a plain call, likewise.
  core::Duration plainServiceTime = std::chrono::milliseconds(20);
  /// Observations of upstreams count about this long: troubles last seconds.
  core::Duration observationDecayTime = std::chrono::seconds(3);
  /// Observations that the figures above stand for, until others outweigh them.
  double speedPriorWeight = 0.5;
  /// Good answers that every upstream starts with: one failure does not condemn it.
  double attemptPriorWeight = 6;
  /// Bounds of what an upstream's speed may be learned to be, relative to the prediction.
  double minFirstEventFactor = 0.2;
  double maxFirstEventFactor = 20;
  /// Added for an upstream of another data centre: links cost money, and time.
  core::Duration otherDataCentrePenalty = std::chrono::milliseconds(25);
  /// Part of the time that a stream takes after its first event that counts in a comparison: a slot
  /// that is free again sooner serves the next request.
  double streamDurationWeight = 0.2;
  /// Upstreams that are compared for one request. Three find a good one nearly always, and leave
  /// the choice to chance where many hosts know the same.
  std::size_t sampleSize = 3;
  /// Weight of this data centre's upstreams in the draw: links to others cost money, and each
  /// upstream is then used by fewer hosts, which know it better.
  double sameDataCentreWeight = 6;
  /// Random part of a comparison: hosts with the same stale figures must not all choose the same.
  double scoreJitter = 0.25;
  /// A place that a request of this host has left is known to this host only for about this long:
  /// report, exchange and feed are 50 ms apart each, and take their way.
  core::Duration freedSlotLifetime = std::chrono::milliseconds(200);
  /// Load that an upstream told with an answer is preferred to the hosts' sums for this long.
  core::Duration loadReportLifetime = std::chrono::milliseconds(250);
  /// After a failure to connect, and doubled by each further one up to the longest.
  core::Duration connectFailureEjection = std::chrono::milliseconds(400);
  core::Duration maxEjection = std::chrono::milliseconds(3200);
  /// No new work for an upstream that refused some because it was full.
  core::Duration refusalEjection = std::chrono::milliseconds(120);
  /// Share of failures above the mean of its service's others from which an upstream gets no work.
  double maxExcessFailureRatio = 0.15;
  /// Added in a comparison for a failure that is certain; a request that fails is lost, or late.
  core::Duration failurePenalty = std::chrono::milliseconds(600);
  /// How long such an upstream is left alone before it is tried with one request at a time.
  core::Duration failureEjection = std::chrono::milliseconds(1500);
  /// An engine with requests in flight that sends nothing for this long gets no new ones.
  core::Duration engineSilenceTimeout = std::chrono::milliseconds(700);
  /// The same for a plain service.
  core::Duration plainSilenceTimeout = std::chrono::milliseconds(600);
  /// A host that heard from an upstream this lately vouches for it; the streams of a loaded one
  /// bring an event every 100 ms.
  core::Duration confirmationLifetime = std::chrono::milliseconds(300);
  /// Between two requests that a host sends to an upstream that is silent here, to see whether it
  /// answers; doubled by each one.
  core::Duration probeInterval = std::chrono::milliseconds(500);
  /// The same, half as long to half again as long, where only other hosts find it silent: they may
  /// be cut off from it.
  core::Duration suspectProbeInterval = std::chrono::milliseconds(2000);
  /// Requests at a plain service beyond its slots, as a multiple of the slots.
  double plainQueueFactor = 1.0;
  /// Requests at an engine, as a multiple of its slots, up to which the most urgent are sent there.
  double topFillFactor = 1.0;
  /// The same for those below: other hosts' urgent requests must find a place, too.
  double normalFillFactor = 0.9;
  /// The same for those that are late already: they get what is spare.
  double lateFillFactor = 0.75;
  /// Prompt tokens that an engine reads between two tokens of the answers beside.
  double prefillChunkTokens = 1024;
  /// Part of the pause target that a predicted pause may take.
  double tokenGapTargetShare = 0.8;
  /// Part of the time left that a predicted answer may take.
  double remainingTimeShare = 0.8;
};

/// Tunables of PlacementScheduler.
struct PlacementSettings
{
  UpstreamTableSettings upstreamTable;
  /// Between two checks of what waits.
  core::Duration tickInterval = std::chrono::milliseconds(20);
  /// How long a request may wait for a late answer, beyond its target, as a multiple of the target.
  /// Callers give a stream up that has not begun after four targets, and one who is turned away
  /// while there is time can come back.
  double extraWaitFactor = 1.0;
  /// Part of the places of a service's engines that are shared out, rank by rank, when all hosts
  /// together want more.
  double sharedSlotRatio = 1.0;
  /// Part of the places that each rank may use however much the more urgent ones want.
  double minRankShare = 0.05;
  /// Places that all hosts want, relative to those there are, from which a host fills only the
  /// places that its own requests leave, and its part of the free ones.
  double contentionThreshold = 0.7;
  /// Part of the free places that all hosts together take in a round of figures, shared by what
  /// waits: until what they took is known to all, two more rounds pass.
  double freeSlotRatioPerRound = 0.35;
  /// Weight of the newest observation of how long a rank's requests hold their places, and of the
  /// lengths of their prompts and answers.
  double rankLearningRate = 0.1;
  /// The places that suit a rank's requests are counted this often.
  core::Duration slotCountInterval = std::chrono::milliseconds(100);
  /// Requests ahead of a new one from which its wait is predicted at all.
  std::size_t minQueueForPrediction = 4;
  /// Bounds of what the first event takes under load, relative to an idle upstream.
  double maxLoadFactor = 4.0;
  /// Weight of the newest observation of that.
  double loadLearningRate = 0.05;
  /// Bounds of Retry-After.
  core::Duration minRetryAfter = std::chrono::milliseconds(300);
  core::Duration maxRetryAfter = std::chrono::milliseconds(5000);
  /// Callers heed Retry-After up to this part of the time that they have left. Bursts last seconds,
  /// and one who comes back too early is turned away again: the part is used nearly whole.
  double retryAfterShare = 0.32;
  /// Least part of it that is told; the rest spreads callers who were turned away together.
  double minRetryAfterRatio = 0.6;
  admission::RetryBudgetSettings retryBudget{ .retryRatio = 0.12,
                                              .maxSavedRetries = 3,
                                              .maxAttempts = 4 };
};

} // namespace cuminfield::request::placement
