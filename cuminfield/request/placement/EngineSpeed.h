#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>

namespace cuminfield::request::placement {

/// Settings of EngineSpeed.
struct EngineSpeedSettings
{
  /// A figure counts in full up to this age, and hosts report it to the others for as long. It
  /// changes many times a second.
  core::Duration fullWeightAge = std::chrono::milliseconds(250);
  /// Time after that in which its weight falls to zero.
  core::Duration fadeTime = std::chrono::milliseconds(500);
  /// Age of the other hosts' figures when they arrive: report, exchange and feed, with periods of
  /// 50 ms each.
  core::Duration transferTime = std::chrono::milliseconds(100);
  /// Time constant of the mean figure; equal to that of the observations, which the momentary speed
  /// influenced while they were made.
  core::Duration meanDecayTime = std::chrono::seconds(3);
};

/// How long work takes at one upstream at this moment, as a multiple of its usual time: the figure
/// that it reports with each response, to this host and to the others. Does no I/O.
///
/// Observations over seconds were made at some momentary speed and contain it. The figure therefore
/// scales an observed value by its ratio to the mean figure of the time of the observations.
class EngineSpeed
{
public:
  static constexpr std::uint32_t kMinPercent = 1;
  static constexpr std::uint32_t kMaxPercent = 100'000;

  /// Records a figure that this host has read in a response; 100 is usual, larger is slower.
  void SetReported(std::uint32_t aPercent, core::Instant aNow,
                   const EngineSpeedSettings& aSettings);

  /// Records the sum of the other hosts' figures, as received; ignored if there is none or their
  /// mean is out of range.
  void SetRemote(std::uint64_t aPercentSum, std::uint32_t aSamples, core::Instant aNow,
                 const EngineSpeedSettings& aSettings);

  /// True if the upstream has ever reported a figure, to any host.
  bool IsKnown() const { return mReported || mRemote; }

  /// Returns the figure to report to the other hosts: one that was read just now, and any other one
  /// once, so that a figure read right after a report is not lost.
  std::optional<std::uint32_t> TakeReport(core::Instant aNow, const EngineSpeedSettings& aSettings);

  /// Returns by how much an observed time is to be multiplied to get that of this moment; 1 if no
  /// figure is known. aObservations: weight of the observations it is the mean of; aPriorWeight:
  /// weight of the nominal value in it.
  double Correction(double aObservations, double aPriorWeight, core::Instant aNow,
                    const EngineSpeedSettings& aSettings) const;

private:
  struct Figure
  {
    double factor = 1; ///< Work takes this multiple of its usual time.
    core::Instant readAt{};
  };

  /// Returns the newest figure; one must be known.
  const Figure& Newest() const;

  /// Adds the time since the last update to the mean, at the figure known until now.
  void UpdateMean(core::Instant aNow, const EngineSpeedSettings& aSettings);

  std::optional<Figure> mReported;
  std::optional<Figure> mRemote;
  std::uint64_t mRemotePercentSum = 0;
  std::uint32_t mRemoteSamples = 0;
  std::uint32_t mReportedPercent = 0;
  bool mIsReportDue = false; ///< The last figure read has not been reported yet.
  double mMeanSum = 0;       ///< Factors weighted by seconds; older ones have decayed.
  double mMeanWeight = 0;
  core::Instant mUpdatedAt{};
};

} // namespace cuminfield::request::placement
