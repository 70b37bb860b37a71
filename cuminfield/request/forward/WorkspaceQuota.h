#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/version/catalogue/Catalogue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cuminfield::request::forward {

/// Tunables of the quotas.
struct WorkspaceQuotaSettings
{
  /// The quota is judged over any window of this length.
  core::Duration window = std::chrono::seconds(8);
  /// Tolerated above the quota in a window: a share of it,
  double overshootRatio = 0;
  /// and units of all hosts together.
  double slackUnits = 0;
  /// Part of that tolerance that is used; the rest is for requests that arrive later than counted.
  double usedToleranceRatio = 0.1;
  /// What hosts tell each other is known to all of them by then: three periods of 100 ms, and the
  /// delays of small, busy hosts.
  core::Duration propagationDelay = std::chrono::milliseconds(1000);
  /// Demand relative to the rate from which only this share of the limit is used: a demand that
  /// grows fast takes many units before all hosts know of it.
  double highDemandThreshold = 1.3;
  double highDemandLimitRatio = 0.93;
  /// Demand relative to the rate from which a forgotten part of the window counts this many times:
  /// eight, so that hosts that all restart together begin with nothing and are back in the window's
  /// last second. Callers who come back after an outage ask for up to about twice the rate.
  double exhaustionThreshold = 2.0;
  double exhaustedHistoryWeight = 8;
  /// Demand is averaged over about this long.
  core::Duration demandWindow = std::chrono::milliseconds(1000);
  /// Figures of other hosts that are older than this are not used: every host then has an even
  /// part.
  core::Duration remoteUseLifetime = std::chrono::milliseconds(2500);
  /// Bounds of the time after which a refused caller is asked to come back.
  core::Duration minRetryAfter = std::chrono::milliseconds(500);
  core::Duration maxRetryAfter = std::chrono::milliseconds(4000);
};

/// What one host, or all together, did with a workspace's quota lately.
struct QuotaUse
{
  double used = 0;   ///< Units taken in the last window.
  double demand = 0; ///< Units asked for in a second.
  /// Units that all hosts had taken when that was recorded last, within the window: hosts that
  /// restart have forgotten them.
  double recorded = 0;
};

/// Of how many hosts the figures of all others tell.
struct QuotaCoverage
{
  std::uint32_t reportingHosts = 0; ///< Hosts whose use is in the figures, with this one.
  std::uint32_t knownHosts = 0;     ///< With those that were heard of lately, and are silent now.
  /// Parts of the window that the told ones remember, added up: a host that has just started has
  /// forgotten what it took before.
  double historySum = 0;
  std::uint32_t partialHistoryHosts =
    0;                    ///< Those of the told ones that do not remember a whole window.
  bool hasRecord = false; ///< There is a record of what was used before.
};

/// Holds workspaces to their quotas, which count over all hosts. Each host knows what all have
/// used of the window, some time ago, and leaves room for what the others will probably take before
/// they hear of this request.
///
/// Answers the load of a small workspace with large requests: parts of the quota handed out to each
/// host would all be smaller than the request, though the quota is hardly used.
///
/// Answers cuts and restarts, too: hosts that hear of a part of all hosts keep to that part's share
/// of the quota, and what hosts have forgotten counts as used. Free of I/O.
class WorkspaceQuota
{
public:
  /// aRemembersAll: nothing can have been taken before aStarted.
  WorkspaceQuota(WorkspaceQuotaSettings aSettings, core::Instant aStarted, bool aRemembersAll)
    : mSettings(aSettings)
    , mStartedAt(aStarted)
    , mHasFullHistory(aRemembersAll)
  {
  }

  /// Takes a request's units out of the quota. When there is no room: when to come back.
  std::optional<core::Duration> Take(const version::catalogue::WorkspaceRule& aRule, double aUnits,
                                     core::Instant aNow);

  /// Gives units back that were taken for a request that did not run.
  void Return(const core::WorkspaceId& aWorkspace, double aUnits, core::Instant aNow);

  /// The use of the other hosts together, as told by a control host.
  void SetRemoteUse(std::map<core::WorkspaceId, QuotaUse> aOthers, const QuotaCoverage& aHosts,
                    core::Instant aNow);

  /// Part of what was recorded that counts, since hosts have forgotten it.
  static double MissingHistoryWeight(const QuotaCoverage& aHosts);

  /// Part of the window that this host remembers, from 0 to 1.
  double HistoryShare(core::Instant aNow) const;

  /// This host's use, for a report.
  std::map<core::WorkspaceId, QuotaUse> ReportUse(core::Instant aNow);

private:
  struct Charge
  {
    core::Instant at{};
    double units = 0;
  };
  struct Account
  {
    std::deque<Charge> charges; ///< In the last window, oldest first.
    double used = 0;            ///< Their sum.
    double demand = 0;          ///< Units a second, averaged.
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
