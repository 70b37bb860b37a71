#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/GroupView.h"
#include "cuminfield/process/logging/EventLog.h"

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string_view>

namespace cuminfield::process::cluster {

/// Settings of GroupHealthLog.
struct GroupHealthLogSettings
{
  /// A voter that is silent for longer is logged. One that a ready host replaces sooner is not.
  core::Duration silentAfter = std::chrono::seconds(2);
  /// A voter that is heard again, or another number of tolerated losses, is logged when it has
  /// lasted for this long: longer than an election or the exchange of a voter takes.
  core::Duration settleDuration = std::chrono::seconds(2);
  /// What has not changed and needs an operator is logged again after this time.
  core::Duration repeatInterval = std::chrono::minutes(1);
  /// A missing leader is logged each time that it has been missing for this much longer.
  core::Duration searchInterval = std::chrono::seconds(1);
};

/// Logs changes of a control host's group: the voters, silent voters, how many losses the group
/// tolerates, and, without a leader, whom this host has asked. Each kind of line is limited in
/// rate, and each line in length.
class GroupHealthLog
{
public:
  using Writer = std::function<void(logging::Level, std::string_view aEvent,
                                    std::initializer_list<logging::Field> aFields)>;

  explicit GroupHealthLog(GroupHealthLogSettings aSettings, Writer aWrite = &logging::Event);

  /// Call several times a second.
  void Update(const GroupView& aView, core::Instant aNow);

private:
  struct SilentVoter
  {
    core::Duration longestSilence{ 0 };
    core::Instant lastInactiveAt; ///< When it last lacked a recent reply.
    core::Instant loggedAt;
  };

  /// A number of tolerated losses and since when it has been so.
  struct Losses
  {
    std::size_t tolerated = 0;
    std::size_t wanted = 0;
    core::Instant since;

    bool IsTooFew() const { return tolerated < wanted; }
  };

  void LogVoters(const GroupView& aView);
  void LogSilentVoters(const log::GroupHealth& aHealth, core::Instant aNow);
  void LogSilentVoter(const log::GroupHealth& aHealth, const log::GroupHealth::Voter& aVoter);
  void LogHeardVoters(const log::GroupHealth& aHealth, core::Instant aNow);
  void LogLosses(const log::GroupHealth& aHealth, core::Instant aNow);
  bool IsLossesLineDue(core::Instant aNow) const;
  void LogSearch(const GroupView& aView, core::Instant aNow);

  GroupHealthLogSettings mSettings;
  Writer mWrite;
  log::Configuration mLoggedVoters;
  std::map<core::HostId, SilentVoter> mSilentVoters; ///< The logged ones.
  std::optional<Losses> mLosses;                     ///< As of the last call.
  std::optional<Losses> mLoggedLosses;               ///< `since` is when it was logged.
  std::optional<core::Instant> mLeaderlessSince;
  core::Instant mSearchLogDue;
};

} // namespace cuminfield::process::cluster
