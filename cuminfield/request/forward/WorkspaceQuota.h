#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/version/catalogue/Catalogue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cuminfield::request::forward {

/// Settings of WorkspaceQuota.
struct WorkspaceQuotaSettings
{
  /// Length of the sliding window to which the quota applies.
  core::Duration window = std::chrono::seconds(8);
  /// Tolerance above the quota of a window, as a part of the quota.
  double overshootRatio = 0;
  /// Tolerance added to this, in units of all hosts together.
  double slackUnits = 0;
  /// Part of the tolerance that is used; the rest covers requests that arrive later than counted.
  double usedToleranceRatio = 0.1;
  /// Time after which a host's report is known to all hosts: three periods of 100 ms, plus the
  /// delays of small, busy hosts.
  core::Duration propagationDelay = std::chrono::milliseconds(1000);
  /// If the demand relative to the rate exceeds this, only highDemandLimitRatio of the limit is
  /// used: a fast-growing demand takes many units before all hosts know of it.
  double highDemandThreshold = 1.3;
  double highDemandLimitRatio = 0.93;
  /// If the demand relative to the rate exceeds this, the part of the window without history counts
  /// exhaustedHistoryWeight times. With 8, hosts that all restart together start with no units and
  /// recover in the last second of the window. Callers that return after an outage demand up to
  /// about twice the rate.
  double exhaustionThreshold = 2.0;
  double exhaustedHistoryWeight = 8;
  /// Time constant of the average of the demand.
  core::Duration demandWindow = std::chrono::milliseconds(1000);
  /// Older figures of the other hosts are not used; every host then gets an equal part of the
  /// quota.
  core::Duration remoteUseLifetime = std::chrono::milliseconds(2500);
  /// Bounds of Retry-After for a rejected caller.
  core::Duration minRetryAfter = std::chrono::milliseconds(500);
  core::Duration maxRetryAfter = std::chrono::milliseconds(4000);
};

/// Recent use of a workspace's quota by one host or by several hosts together.
struct QuotaUse
{
  double used = 0;   ///< Units taken within the last window.
  double demand = 0; ///< Units requested per second.
  /// Units that all hosts had taken within the window according to the last record. Covers hosts
  /// that have lost their history in a restart.
  double recorded = 0;
  /// Units taken within the window by hosts that report no more. Not part of `used`.
  double departed = 0;
};

/// How many hosts, and how much of their history, the reported figures cover.
struct QuotaCoverage
{
  std::uint32_t reportingHosts = 0; ///< Hosts included in the figures, this one too.
  std::uint32_t knownHosts = 0;     ///< These and the recently known hosts that are silent now.
  /// Sum of the parts of the window for which the reporting hosts have history: a host that has
  /// just started doesn't know what it took before.
  double historySum = 0;
  /// Reporting hosts without the history of a complete window.
  std::uint32_t partialHistoryHosts = 0;
  bool hasRecord = false; ///< A record of the earlier use exists.
};

/// Enforces the quotas of workspaces, which apply to all hosts together. Does no I/O. Each host
/// knows the use of all hosts as of some time ago, and reserves what the others will probably take
/// before they learn of this request.
///
/// The quota isn't divided among the hosts: for a small workspace with large requests each part
/// would be smaller than a request, even with the quota hardly used.
///
/// In a network partition the hosts that still receive each other's reports keep to their share of
/// the quota. After restarts, lost history counts as used. What lost hosts had taken counts as used
/// until it has left the window, and their share of the quota stays reserved if that is more.
class WorkspaceQuota
{
public:
  /// aHasFullHistory: nothing can have been taken before aStartedAt.
  WorkspaceQuota(WorkspaceQuotaSettings aSettings, core::Instant aStartedAt, bool aHasFullHistory)
    : mSettings(aSettings)
    , mStartedAt(aStartedAt)
    , mHasFullHistory(aHasFullHistory)
  {
  }

  /// Takes a request's units from the quota. If there are too few, returns when to retry.
  std::optional<core::Duration> Take(const version::catalogue::WorkspaceRule& aRule, double aUnits,
                                     core::Instant aNow);

  /// Returns the units of a request that has not run.
  void Return(const core::WorkspaceId& aWorkspace, double aUnits, core::Instant aNow);

  /// Sets the use of all other hosts together, as reported by a control host.
  void SetRemoteUse(std::map<core::WorkspaceId, QuotaUse> aRemoteUse,
                    const QuotaCoverage& aCoverage, core::Instant aNow);

  /// Part of the recorded use that counts because hosts lack the history for it.
  static double MissingHistoryWeight(const QuotaCoverage& aCoverage);

  /// Part of the window for which this host has history, from 0 to 1.
  double HistoryShare(core::Instant aNow) const;

  /// Use of this host, for a report to the control hosts.
  std::map<core::WorkspaceId, QuotaUse> ReportUse(core::Instant aNow);

private:
  struct Charge
  {
    core::Instant at{};
    double units = 0;
  };
  struct Account
  {
    std::deque<Charge> charges; ///< Within the last window, oldest first.
    double used = 0;            ///< Sum of the charges.
    double demand = 0;          ///< Average of units per second.
    core::Instant demandUpdatedAt{};
  };

  double KnownQuotaRatio(bool aExhausted) const;
  double Tolerance(const version::catalogue::WorkspaceRule& aRule) const;
  static double ChargedSince(const Account& aAccount, core::Instant aSince);
  double AvailableUnits(const version::catalogue::WorkspaceRule& aRule, const Account& aAccount,
                        core::Instant aNow) const;
  void AdvanceAccount(Account& aAccount, core::Instant aNow) const;

  WorkspaceQuotaSettings mSettings;
  std::map<core::WorkspaceId, Account> mAccounts;
  std::map<core::WorkspaceId, QuotaUse> mRemoteUse;
  QuotaCoverage mCoverage;
  core::Instant mRemoteUseReceivedAt{};
  core::Instant mStartedAt;
  bool mHasFullHistory;
};

} // namespace cuminfield::request::forward
