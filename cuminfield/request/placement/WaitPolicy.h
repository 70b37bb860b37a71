#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <map>
#include <optional>
#include <vector>

namespace cuminfield::request::placement {

/// Settings of WaitPolicy.
struct WaitPolicySettings
{
  /// Part of its caller's time that a request may wait: the rest is for a second try elsewhere.
  double maxWaitShare = 0.5;
  /// A request may wait this multiple of its target, if that is less.
  double maxWaitTargets = 2.0;
  /// Part of its remaining time that a rejected caller waits before it tries elsewhere, at most.
  double retryAfterShare = 0.33;
  core::Duration minRetryAfter = std::chrono::milliseconds(300);
  /// Spread of Retry-After above the predicted time, or below the longest one.
  double retryAfterSpread = 0.25;
  /// Time constant with which the mean time in a slot follows the loads. It is longer than most
  /// responses: at the start of a burst, requests in flight rise before those that end.
  core::Duration slotTimeSmoothing = std::chrono::seconds(3);
  /// Time constant of the rate at which a rank's requests end.
  core::Duration rateSmoothing = std::chrono::milliseconds(500);
  /// Time over which the change of the backlog is judged.
  core::Duration drainSmoothing = std::chrono::seconds(1);
  /// Part of all slots that each rank but the most urgent one gets while it has waiting requests,
  /// whatever the more urgent ranks ask for.
  double floorShare = 0.09;
  /// Smoothed rate below which the mean time in a slot is no longer updated: it stays known after a
  /// quiet time.
  double minRateForSlotTime = 0.5;
};

/// Requests of one rank of a service at one host or at all hosts.
struct RankLoad
{
  double requests = 0;      ///< In flight and waiting.
  double waiting = 0;       ///< Those of them that are not at an upstream.
  double donePerSecond = 0; ///< Requests that ended at an upstream in the last second.
};

/// Why a request was rejected because of its wait.
enum class WaitRejectionCause
{
  Predicted, ///< At arrival: it would have waited longer than it may.
  Expired,   ///< It waited for as long as it may.
  Late,      ///< It missed its target, and waits in vain or for on-time requests.
};

/// The figures on which a request was rejected.
struct WaitRejection
{
  WaitRejectionCause cause = WaitRejectionCause::Predicted;
  core::Duration predictedWait{ 0 };
  core::Duration maxWait{ 0 }; ///< From arrival.
  core::Duration waited{ 0 };
  double waiting = 0; ///< Requests of this and more urgent ranks at all hosts.
  core::Duration retryAfter{ 0 };
};

/// The times of a request that its wait depends on.
struct RequestTimes
{
  core::Duration target{ 0 };      ///< From arrival to the first event.
  core::Duration deadline{ 0 };    ///< From arrival until the caller gives up.
  core::Duration serviceTime{ 0 }; ///< Expected from dispatch to the end of the response.
};

/// Decides how long the requests of one service may wait at their hosts. It applies to services
/// whose callers have hardly more time than the target, where a bound by the target alone leaves
/// the caller no time to go elsewhere. Does no I/O.
class WaitPolicy
{
public:
  explicit WaitPolicy(const WaitPolicySettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// How long after its arrival a request may be dispatched at the latest.
  core::Duration MaxWait(const RequestTimes& aTimes) const;

  /// Sets the loads of all hosts together, and the free slots as far as this host knows. The sums
  /// are 100 to 300 ms old. Decisions concern waits of a second and more, so hosts that decide on
  /// the same old sums don't empty the queues between two rounds.
  void SetLoad(const std::map<TierRank, RankLoad>& aLoad, double aFreeSlots, core::Instant aNow);

  /// Predicts the wait of a new request; 0 if nothing is known yet. The smaller one of two: the
  /// work that goes first, divided by the slots that more urgent ranks leave; and the waiting
  /// requests of the rank, divided by the rate at which the rank's requests end.
  core::Duration PredictWait(TierRank aRank) const;

  /// When a rejected request can probably be served, as the time after which its caller should come
  /// back. aRemaining: its caller's time. aPoint is uniform in [0, 1) and spreads callers that were
  /// rejected together.
  core::Duration RetryAfter(TierRank aRank, core::Duration aRemaining, double aPoint) const;

  /// Rate at which the hosts together start requests of a rank at least, while it has enough: the
  /// floor in slots, divided by the rank's mean time in a slot. 0 for the most urgent rank.
  double FloorPerSecond(TierRank aRank) const;

  /// Rate at which a rank may start requests before more urgent ones: the floor, or less if its
  /// requests end faster than that anyway.
  double FloorEarnedPerSecond(TierRank aRank) const;

  /// The part of a rank's waiting requests that a host with aLocal of them has.
  double LocalShare(TierRank aRank, double aLocal) const;

  /// Ranks that have had requests.
  std::vector<TierRank> Ranks() const;

  /// Time until this and more urgent ranks have no backlog, as it shrinks now; nothing if it does
  /// not shrink.
  std::optional<core::Duration> TimeToDrain(TierRank aRank) const;

  /// Waiting requests of this and more urgent ranks at all hosts.
  double WaitingUpTo(TierRank aRank) const;

private:
  struct RankState
  {
    RankLoad load;
    double inFlight = 0;        ///< Smoothed.
    double endedPerSecond = 0;  ///< Smoothed like inFlight.
    double recentPerSecond = 0; ///< Smoothed with rateSmoothing.
    double slotSeconds = 0;     ///< Mean time in a slot; 0 if not known yet.
    double waitingBefore = 0;   ///< Waiting requests, smoothed with drainSmoothing.
  };

  WaitPolicySettings mSettings;
  std::map<TierRank, RankState> mRanks;
  double mFreeSlots = 0;
  core::Instant mUpdatedAt{};
};

} // namespace cuminfield::request::placement
