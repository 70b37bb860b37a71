#pragma once

#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/forward/ForwardObserver.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace cuminfield::process::cluster {

/// Tunables of the shares.
struct VersionSharesSettings
{
  /// Share of a service's requests that go to a new version until it is proved. Below the bound on
  /// what a bad version may get, so that the last step has room in that bound.
  double canaryShare = 0.045;
  /// Stretches of one stream that count as evidence of its version's pace.
  std::uint32_t maxSamplesPerStream = 4;
};

/// Which version of a service a request goes to, by the moves that the control hosts tell, and the
/// evidence on both versions that this host has seen. Free of I/O.
class VersionShares : public request::VersionChooser
{
public:
  explicit VersionShares(VersionSharesSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Takes over the moves and versions of a feed that has them.
  void ApplyFeed(const proto::Feed& aFeed);

  core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                         double aPoint) const override;

  /// Counts one try that ran at an upstream of this version.
  void CountAttempt(const core::ServiceId& aService, const core::RouteId& aRoute,
                    const core::VersionId& aVersion, bool aGood, core::Duration aFirst);

  /// Counts a stretch of a stream of an upstream of this version.
  void CountTokenInterval(const core::ServiceId& aService, const core::RouteId& aRoute,
                          const core::VersionId& aVersion,
                          const request::forward::TokenIntervalSample& aPace);

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

  /// Null unless a move of the service runs.
  proto::Evidence* FindOrCreateEvidence(const core::ServiceId& aService,
                                        const core::RouteId& aRoute,
                                        const core::VersionId& aVersion);

  VersionSharesSettings mSettings;
  std::map<core::ServiceId, proto::Move> mMoves;
  std::map<core::ServiceId, core::VersionId> mVersions;
  std::map<EvidenceKey, proto::Evidence> mEvidence;
};

} // namespace cuminfield::process::cluster
