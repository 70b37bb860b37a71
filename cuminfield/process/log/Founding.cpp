#include "cuminfield/process/log/Founding.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

Founding::Founding(Member aSelf, std::vector<core::HostId> aVoters)
  : mSelf(std::move(aSelf))
  , mVoters(std::move(aVoters))
{
}

void Founding::Hear(const Member& aMember, bool aBelongs, const Configuration& aAgreed)
{
  mHeard[aMember.host] = { .member = aMember, .belongs = aBelongs, .agreed = aAgreed };
}

std::optional<Configuration> Founding::Proposal() const
{
  if (!mAgreed.voters.empty()) {
    return std::nullopt;
  }
  Configuration founders;
  for (const core::HostId& host : mVoters) {
    if (host == mSelf.host) {
      founders.voters.push_back(mSelf);
      continue;
    }
    const auto it = mHeard.find(host);
    if (it == mHeard.end() || it->second.belongs) {
      return std::nullopt;
    }
    founders.voters.push_back(it->second.member);
  }
  std::sort(founders.voters.begin(), founders.voters.end());
  if (!founders.Contains(mSelf)) {
    return std::nullopt;
  }
  return founders;
}

bool Founding::Unanimous() const
{
  if (mAgreed.voters.empty()) {
    return false;
  }
  return std::all_of(mAgreed.voters.begin(), mAgreed.voters.end(), [&](const Member& aMember) {
    if (aMember == mSelf) {
      return true;
    }
    const auto it = mHeard.find(aMember.host);
    return it != mHeard.end() && it->second.member == aMember && it->second.agreed == mAgreed;
  });
}

} // namespace cuminfield::process::log
