#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/version/catalogue/Catalogue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace cuminfield::request::forward {

/// Tunables of the quotas.
struct WorkspaceQuotaSettings
{
  /// Demand is averaged over about this long.
  core::Duration window = std::chrono::milliseconds(1000);
  /// Part of a host's share of the rate that it has even when it saw no demand lately, as a part
  /// of an even share.
  double floor = 0.2;
  /// Sums of other hosts that are older than this are not used: every host has an even share then.
  core::Duration sumsLast = std::chrono::milliseconds(2500);
};

/// Holds workspaces to their quotas, which count over all hosts. Each host uses of the rate the
/// share that it has of all hosts' demand, so that a caller population that is uneven over the
/// hosts still gets the whole quota. Free of I/O.
class WorkspaceQuota
{
public:
  explicit WorkspaceQuota(WorkspaceQuotaSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Takes a request's units out of the quota. When it has none left: how long until it has.
  std::optional<core::Duration> Take(const version::catalogue::WorkspaceRule& aRule, double aUnits,
                                     core::Instant aNow);

  /// The demand of all hosts together.
  void SetSums(const std::map<core::WorkspaceId, double>& aUnitsPerSecond, std::uint32_t aHosts,
               core::Instant aNow);

  /// This host's demand by workspace, in units a second.
  std::map<core::WorkspaceId, double> Demand(core::Instant aNow) const;

private:
  struct Account
  {
    double demand = 0; ///< Units a second, averaged.
    double tokens = 0; ///< Units that may be used now.
    double share = 0;  ///< Of the rate, when last refilled.
    core::Instant at{};
    bool started = false;
  };

  double ShareOf(const core::WorkspaceId& aId, const Account& aAccount, core::Instant aNow) const;
  void Decay(Account& aAccount, core::Instant aNow) const;

  WorkspaceQuotaSettings mSettings;
  std::unordered_map<core::WorkspaceId, Account> mAccounts;
  std::map<core::WorkspaceId, double> mSums;
  std::uint32_t mHosts = 0;
  core::Instant mSumsAt{};
};

} // namespace cuminfield::request::forward
