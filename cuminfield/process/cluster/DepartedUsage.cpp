#include "cuminfield/process/cluster/DepartedUsage.h"

namespace cuminfield::process::cluster {

void DepartedUsage::Add(const core::HostId& aHost, const FollowVersion& aVersion, const Uses& aUses,
                        core::Instant aReportedAt)
{
  if (!aUses.empty()) {
    mRecords[{ aHost, aVersion.life }] = { .epoch = aVersion.epoch,
                                           .uses = aUses,
                                           .reportedAt = aReportedAt };
  }
}

void DepartedUsage::Remove(const core::HostId& aHost, const FollowVersion& aVersion)
{
  const auto it = mRecords.find({ aHost, aVersion.life });
  if (it != mRecords.end() && aVersion.epoch >= it->second.epoch) {
    mRecords.erase(it);
  }
}

void DepartedUsage::Expire(core::Instant aNow)
{
  std::erase_if(mRecords,
                [&](const auto& aItem) { return aNow - aItem.second.reportedAt > mWindow; });
}

void DepartedUsage::AddTo(UsedByWorkspace& aUsed) const
{
  for (const auto& [key, record] : mRecords) {
    for (const proto::Demand& it : record.uses) {
      aUsed[it.workspace()] += it.used();
    }
  }
}

} // namespace cuminfield::process::cluster
