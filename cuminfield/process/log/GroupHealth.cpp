#include "cuminfield/process/log/GroupHealth.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

GroupHealth::GroupHealth(Options aOptions)
  : mReadyHosts(std::move(aOptions.readyHosts))
  , mMajority(aOptions.voters.Majority())
  , mLossesWanted(aOptions.targetVoters == 0 ? 0 : (aOptions.targetVoters - 1) / 2)
{
  for (const Member& it : aOptions.voters.voters) {
    const auto silence = aOptions.silence.find(it);
    const bool isKnown = silence != aOptions.silence.end();
    mVoters.push_back({ .host = it.host,
                        .silence = isKnown ? silence->second : aOptions.silentAfter,
                        .isActive = isKnown && silence->second <= aOptions.silentAfter });
  }
}

std::size_t GroupHealth::ActiveVoterCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mVoters.begin(), mVoters.end(), [](const Voter& aIt) { return aIt.isActive; }));
}

std::size_t GroupHealth::LossesTolerated() const
{
  return ActiveVoterCount() - std::min(ActiveVoterCount(), mMajority);
}

} // namespace cuminfield::process::log
