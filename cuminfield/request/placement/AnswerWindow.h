#pragma once

#include "cuminfield/core/Units.h"

#include <cstddef>

namespace cuminfield::request::placement {

/// Settings of AnswerWindow.
struct AnswerWindowSettings
{
  /// Requests that all hosts together have in flight before the first response.
  double initial = 2;
  /// Time constant of the decay of both sums: one slow response has no permanent effect.
  core::Duration decayTime = std::chrono::seconds(3);
  /// Further failed or slow responses don't shrink the window: after several slow seconds it would
  /// take as long again to recover.
  double maxBad = 3;
  /// Part of a halving that a response as predicted undoes.
  double goodPerBad = 0.5;
  /// The window ends after this long with few failed or slow responses, even if it has not reached
  /// the slots: at low load too few responses arrive, and a later burst would find it small.
  core::Duration limit = std::chrono::seconds(3);
  /// Sum of failed or slow responses up to which it ends then.
  double fewBad = 0.5;
};

/// The number of requests that all hosts together may have in flight at an upstream in slow start.
/// It follows from sums over all hosts of responses that arrived as predicted and of those that
/// failed or were slow, so all hosts compute the same one. Does no I/O.
class AnswerWindow
{
public:
  explicit AnswerWindow(const AnswerWindowSettings& aSettings)
    : mSettings(&aSettings)
  {
  }

  /// Starts again; this host's sums are dropped.
  void Start(core::Instant aNow);

  void Stop() { mIsActive = false; }

  void Record(bool aAsPredicted, core::Instant aNow);
  void SetRemote(double aGood, double aBad, core::Instant aNow);

  bool IsActive() const { return mIsActive; }

  /// Ends it if it has reached the slots, or has lasted long enough since aWarmSince.
  void Update(std::size_t aSlots, core::Instant aWarmSince, core::Instant aNow);

  /// The window, at least 1.
  double Size(core::Instant aNow) const;

  /// This host's part of the window, by its rank among all hosts.
  std::size_t Allowance(std::size_t aRank, std::size_t aHosts, core::Instant aNow) const;

  /// This host's decayed sums.
  double LocalGood(core::Instant aNow) const;
  double LocalBad(core::Instant aNow) const;

  core::Instant StartedAt() const { return mStartedAt; }

private:
  struct Sums
  {
    double good = 0;
    double bad = 0;
    core::Instant at{};
  };
  double DecayOf(const Sums& aSums, core::Instant aNow) const;
  double Bad(core::Instant aNow) const;

  const AnswerWindowSettings* mSettings;
  bool mIsActive = false;
  core::Instant mStartedAt{};
  Sums mLocal;
  Sums mRemote;
};

} // namespace cuminfield::request::placement
