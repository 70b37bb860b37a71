#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/admission/RetryBudget.h"
#include "cuminfield/request/placement/EngineSpeed.h"
#include "cuminfield/request/placement/UpstreamNotices.h"
#include "cuminfield/request/placement/UpstreamPacer.h"
#include "cuminfield/request/placement/WaitPolicy.h"

#include <cstdint>

namespace cuminfield::request::placement {

/// Settings of UpstreamTable.
struct UpstreamTableSettings
{
  /// Nominal latency of the first event at an idle engine with an empty prompt. This and the three
  /// nominal values below hold until observations outweigh them.
  core::Duration baseFirstEventLatency = std::chrono::milliseconds(40);
  /// Nominal prefill speed of an engine.
  double promptTokensPerMs = 100;
  /// Nominal time between tokens.
  double tokenIntervalMs = 5;
  /// Nominal service time of a plain call.
  core::Duration plainServiceTime = std::chrono::milliseconds(20);
  /// Time constant of the decay of observations: problems last for seconds.
  core::Duration observationDecayTime = std::chrono::seconds(3);
  /// Weight of the nominal values, as a number of observations.
  double speedPriorWeight = 0.5;
  /// Successful attempts credited to every upstream, so that a single failure doesn't exclude it.
  double attemptPriorWeight = 6;
  /// Bounds of an upstream's first event latency relative to the prediction.
  double minFirstEventFactor = 0.2;
  double maxFirstEventFactor = 20;
  /// Added to the score of an upstream in another data centre: links cost money and time.
  core::Duration otherDataCentrePenalty = std::chrono::milliseconds(25);
  /// Weight in the score of a stream's duration after its first event: a slot that becomes free
  /// sooner serves the next request.
  double streamDurationWeight = 0.2;
  /// Engines compared for one request. Three nearly always include a good one, and keep the choice
  /// random where many hosts have the same information.
  std::size_t sampleSize = 3;
  /// The same for the upstreams of a plain service, which are few and alike: comparing more of them
  /// lets all hosts choose the one that was free a moment ago.
  std::size_t plainSampleSize = 2;
  /// Sampling weight of upstreams in this data centre: links to others cost money, and an upstream
  /// used by fewer hosts is better known to them.
  double sameDataCentreWeight = 6;
  /// Random part of a score: hosts with the same stale figures must not all choose the same
  /// upstream.
  double scoreJitter = 0.25;
  /// How long a freed slot is known only to the host whose request freed it: report, exchange and
  /// feed have periods of 50 ms each, plus network delay.
  core::Duration freedSlotLifetime = std::chrono::milliseconds(200);
  /// How long the load that an upstream reported with a response takes precedence over the hosts'
  /// sums.
  core::Duration loadReportLifetime = std::chrono::milliseconds(250);
  /// Ejection after a failure to connect, doubled by each further one up to maxEjection.
  core::Duration connectFailureEjection = std::chrono::milliseconds(400);
  core::Duration maxEjection = std::chrono::milliseconds(3200);
  /// Ejection of an upstream that refused a request because it was full.
  core::Duration refusalEjection = std::chrono::milliseconds(120);
  /// An upstream whose failure ratio exceeds the mean of the service's other upstreams by more than
  /// this gets no work.
  double maxExcessFailureRatio = 0.15;
  /// Added to the score in proportion to the failure ratio: a failed request is lost or late.
  core::Duration failurePenalty = std::chrono::milliseconds(600);
  /// Ejection after repeated failures, before the upstream gets one request at a time.
  core::Duration failureEjection = std::chrono::milliseconds(1500);
  /// An engine with requests in flight that sends nothing for this long gets no new requests.
  core::Duration engineSilenceTimeout = std::chrono::milliseconds(700);
  /// The same for an upstream of a plain service.
  core::Duration plainSilenceTimeout = std::chrono::milliseconds(600);
  /// A host confirms an upstream for this long after it received data from it; the streams of a
  /// loaded upstream deliver an event every 100 ms.
  core::Duration confirmationLifetime = std::chrono::milliseconds(300);
  /// Time between the requests that probe an upstream which is silent to this host, doubled by each
  /// probe.
  core::Duration probeInterval = std::chrono::milliseconds(500);
  /// The same, randomized by +/- 50 %, for an upstream that only other hosts suspect: a network
  /// partition may separate them from it.
  core::Duration suspectProbeInterval = std::chrono::milliseconds(2000);
  /// Requests queued at an upstream of a plain service beyond its slots, as a multiple of the
  /// slots. With a short queue, all hosts stop at the same figure and start again at the same one,
  /// and what they send meanwhile overflows the upstream.
  double plainQueueFactor = 3.0;
  /// Requests at an engine, as a multiple of its slots, up to which it gets Urgency::Top requests.
  double topFillFactor = 1.0;
  /// The same for Urgency::Normal: slots must remain for other hosts' urgent requests.
  double normalFillFactor = 0.9;
  /// The same for Urgency::Late: late requests get only spare slots.
  double lateFillFactor = 0.75;
  /// Prompt tokens that an engine processes between two tokens of its running streams.
  double prefillChunkTokens = 1024;
  /// Part of the token gap target that a predicted gap may take.
  double tokenGapTargetShare = 0.8;
  /// Part of the remaining time that a predicted response may take.
  double remainingTimeShare = 0.8;
  /// The same as loadReportLifetime for a plain upstream that reports its speed: its report is the
  /// newer figure only until the hosts' sums are as recent.
  core::Duration plainLoadReportLifetime = std::chrono::milliseconds(150);
  EngineSpeedSettings speed;
  /// Part of a stream's duration to which the current speed applies: it lasts for a fraction of a
  /// second.
  core::Duration speedHorizon = std::chrono::milliseconds(250);
  UpstreamNoticesSettings notices;
  UpstreamPacerSettings pacer;
  /// Factor of the sampling weight of an upstream in slow start. Only a few hosts may send to it,
  /// and at usual weights one of them would take seconds to choose it among a hundred.
  double slowStartWeight = 10;
  /// A first event or response later than this multiple of the prediction shrinks the window of
  /// slow start, unless it is faster than slowStartMinLatency: a busy host measures its own delays.
  double slowStartLatencyFactor = 2;
  core::Duration slowStartMinLatency = std::chrono::milliseconds(150);
  /// Weight of the newest response in the mean first event latency of a service relative to the
  /// nominal one, by which a new upstream is judged.
  double typicalFactorLearningRate = 0.02;
};

/// Settings of PlacementScheduler.
struct PlacementSettings
{
  UpstreamTableSettings upstreamTable;
  /// Time between two checks of the queues.
  core::Duration tickInterval = std::chrono::milliseconds(20);
  /// How long a request may wait beyond its target, as a multiple of the target. Callers abandon a
  /// stream that hasn't begun after four targets, and a caller that is shed early enough can retry.
  double extraWaitFactor = 1.0;
  /// Part of the slots of a service's engines that is shared by rank when the demand of all hosts
  /// exceeds them.
  double sharedSlotRatio = 1.0;
  /// Part of the slots that each rank may use regardless of the demand of more urgent ranks.
  double minRankShare = 0.05;
  /// Demand of all hosts relative to the slots, above which a host fills only the slots that its
  /// own requests free and its part of the other free slots.
  double contentionThreshold = 0.7;
  /// Part of the free slots that all hosts together take in one reporting round, shared in
  /// proportion to their backlogs. It takes two more rounds until all hosts know which slots were
  /// taken.
  double freeSlotRatioPerRound = 0.35;
  /// Weight of the newest observation of how long a rank's requests hold their slots, and of the
  /// lengths of their prompts and responses.
  double rankLearningRate = 0.1;
  /// How often the slots suitable for a rank's requests are counted.
  core::Duration slotCountInterval = std::chrono::milliseconds(100);
  /// Minimum number of requests ahead of a new one for which its wait is predicted.
  std::size_t minQueueForPrediction = 4;
  /// Upper bound of the first event latency under load relative to an idle upstream.
  double maxLoadFactor = 4.0;
  /// Weight of the newest observation of this load factor.
  double loadLearningRate = 0.05;
  /// Bounds of Retry-After.
  core::Duration minRetryAfter = std::chrono::milliseconds(300);
  core::Duration maxRetryAfter = std::chrono::milliseconds(5000);
  /// Part of a caller's remaining time up to which it waits for Retry-After. Bursts last seconds
  /// and a caller that retries too early is shed again, so most of this part is used.
  double retryAfterShare = 0.32;
  /// Minimum part of it used for Retry-After; the rest is randomized to spread callers that were
  /// shed together.
  double minRetryAfterRatio = 0.6;
  /// Retry-After of a request with a quarantined part: the least duration of a quarantine. A caller
  /// that comes back earlier is turned away again.
  core::Duration quarantineRetryAfter = std::chrono::minutes(30);
  /// Retry-After of a request that no upstream may serve now: the time in which an upstream that
  /// runs, or starts, registers with a heartbeat.
  core::Duration registrationInterval = std::chrono::milliseconds(1200);
  admission::RetryBudgetSettings retryBudget{ .retryRatio = 0.12,
                                              .maxSavedRetries = 3,
                                              .maxAttempts = 4 };
  WaitPolicySettings wait;
  /// Unused part of a rank's floor that a host keeps, in requests.
  double maxFloorCredit = 3;
  /// Loads of the other hosts older than this are not used: what waits at this
  /// host decides alone.
  core::Duration maxLoadAge = std::chrono::milliseconds(1500);
};

} // namespace cuminfield::request::placement
