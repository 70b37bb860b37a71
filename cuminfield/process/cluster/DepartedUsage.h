#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cuminfield::process::cluster {

/// An incarnation of a host, and how many control hosts it has followed.
struct FollowVersion
{
  std::uint64_t life = 0;
  std::uint64_t epoch = 0;
};

/// Quota usage last reported by hosts that report no more: lost hosts, and former incarnations of
/// hosts that have started again. What they granted still counts until the quota window has passed
/// since their last report. Performs no I/O.
class DepartedUsage
{
public:
  using Uses = google::protobuf::RepeatedPtrField<proto::Demand>;
  using UsedByWorkspace = std::map<std::string, double>;

  explicit DepartedUsage(core::Duration aWindow)
    : mWindow(aWindow)
  {
  }

  /// Keeps what an incarnation of a host had used when it last reported.
  void Add(const core::HostId& aHost, const FollowVersion& aVersion, const Uses& aUses,
           core::Instant aReportedAt);

  /// Drops the usage of an incarnation that reports again, unless the report is older than the one
  /// that is kept.
  void Remove(const core::HostId& aHost, const FollowVersion& aVersion);

  /// Drops what is outside of the quota window.
  void Expire(core::Instant aNow);

  /// Adds the units used, by workspace.
  void AddTo(UsedByWorkspace& aUsed) const;

private:
  struct Record
  {
    std::uint64_t epoch = 0;
    Uses uses;
    core::Instant reportedAt{};
  };

  core::Duration mWindow;
  std::map<std::pair<core::HostId, std::uint64_t>, Record> mRecords; ///< By host and incarnation.
};

} // namespace cuminfield::process::cluster
