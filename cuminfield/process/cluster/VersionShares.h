#pragma once

#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/forward/ForwardObserver.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace cuminfield::process::cluster {

/// Settings of VersionShares.
struct VersionSharesSettings
{
  /// Share of a service's requests that go to a new version until it is proved. It is below the
  /// bound on the requests that a bad version may get, which leaves room for the last step.
  double canaryShare = 0.045;
  /// Token interval samples of one stream that count as evidence.
  std::uint32_t maxSamplesPerStream = 4;
};

/// Chooses the version of a service for each request, following the moves in the feeds, and
/// collects the local evidence on both versions of a move. Performs no I/O.
class VersionShares : public request::VersionChooser
{
public:
  explicit VersionShares(VersionSharesSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Applies the moves and versions of a feed, if it has any.
  void ApplyFeed(const proto::Feed& aFeed);

  core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                         double aPoint) const override;

  /// Counts one attempt that ran on an upstream of this version.
  void CountAttempt(const core::ServiceId& aService, const core::RouteId& aRoute,
                    const core::VersionId& aVersion, bool aIsGood,
                    core::Duration aFirstEventLatency);

  /// Counts one token interval sample from an upstream of this version.
  void CountTokenInterval(const core::ServiceId& aService, const core::RouteId& aRoute,
                          const core::VersionId& aVersion,
                          const request::forward::TokenIntervalSample& aSample);

  /// Adds the evidence on running moves to a report.
  void FillReport(proto::Report& aReport) const;

private:
  struct EvidenceKey
  {
    std::uint64_t move = 0;
    std::string route;
    bool target = false;

    auto operator<=>(const EvidenceKey&) const = default;
  };

  /// Returns null unless a move of the service is running.
  proto::Evidence* FindOrCreateEvidence(const core::ServiceId& aService,
                                        const core::RouteId& aRoute,
                                        const core::VersionId& aVersion);

  VersionSharesSettings mSettings;
  std::map<core::ServiceId, proto::Move> mMoves;
  std::map<core::ServiceId, core::VersionId> mVersions;
  std::map<EvidenceKey, proto::Evidence> mEvidence;
};

} // namespace cuminfield::process::cluster
