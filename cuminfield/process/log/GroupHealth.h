#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/Configuration.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cuminfield::process::log {

/// What a leader knows of its group: which voters are silent, which hosts could replace them, and
/// how many more voters may fail before nothing can be committed. Knows nothing of full disks: a
/// voter that replies counts as active.
class GroupHealth
{
public:
  struct Options
  {
    Configuration voters{};
    /// Time since the last reply of each voter. A voter without one counts as silent.
    std::map<Member, core::Duration> silence{};
    core::Duration silentAfter{ 0 };        ///< A voter that is silent for longer is not active.
    std::vector<core::HostId> readyHosts{}; ///< Hosts without a vote that could vote at once.
    std::size_t targetVoters = 0;           ///< Voters that the settings ask for.
  };

  struct Voter
  {
    core::HostId host;
    core::Duration silence{ 0 };
    bool isActive = false;
  };

  explicit GroupHealth(Options aOptions);

  const std::vector<Voter>& Voters() const { return mVoters; }
  const std::vector<core::HostId>& ReadyHosts() const { return mReadyHosts; }
  std::size_t ActiveVoterCount() const;
  std::size_t SilentVoterCount() const { return mVoters.size() - ActiveVoterCount(); }

  /// How many active voters may fail at once while the others still are a majority.
  std::size_t LossesTolerated() const;

  /// LossesTolerated() of a group with as many voters as the settings ask for, all active.
  std::size_t LossesWanted() const { return mLossesWanted; }

private:
  std::vector<Voter> mVoters;
  std::vector<core::HostId> mReadyHosts;
  std::size_t mMajority;
  std::size_t mLossesWanted;
};

} // namespace cuminfield::process::log
