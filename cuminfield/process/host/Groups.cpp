#include "cuminfield/process/host/Groups.h"

#include "cuminfield/process/log/FileLogStorage.h"
#include "cuminfield/process/log/PosixDisk.h"
#include "cuminfield/process/log/ThreadedLogStorage.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::host {

const core::GroupId Groups::kDocumentsGroup("documents");

log::Group& Groups::Entry::Group() const
{
  if (voter) {
    return *voter;
  }
  return *remote;
}

Groups::Groups(Options aOptions)
  : mOptions(aOptions)
{
  for (const settings::GroupSettings& it : mOptions.settings.groups) {
    AddGroup(it);
  }
}

core::Result<void> Groups::Start()
{
  for (auto& [id, entry] : mEntries) {
    if (!entry.voter) {
      continue;
    }
    entry.voter->OnFailure().connect(
      [this](const core::Error& aError) { mOnFailure.emit(aError); });
    if (auto started = entry.voter->Start(); !started) {
      return started.error();
    }
  }
  return core::Success();
}

Groups::Entry& Groups::DocumentsGroup()
{
  return mEntries.at(kDocumentsGroup);
}

Groups::Entry* Groups::Find(const core::GroupId& aId)
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second;
}

std::map<core::DataCentreId, log::Group*> Groups::GroupsByDataCentre() const
{
  std::map<core::DataCentreId, log::Group*> dataCentreGroups;
  for (const auto& [id, entry] : mEntries) {
    if (id != kDocumentsGroup) {
      dataCentreGroups[core::DataCentreId(id.Text())] = &entry.Group();
    }
  }
  return dataCentreGroups;
}

bool Groups::IsVoter(const settings::GroupSettings& aGroup) const
{
  const auto& voters = aGroup.voters;
  const bool isNamed =
    std::find(voters.begin(), voters.end(), mOptions.settings.id) != voters.end();
  return isNamed && mOptions.settings.dataFolder.has_value();
}

void Groups::AddGroup(const settings::GroupSettings& aGroup)
{
  Entry& entry = mEntries[aGroup.id];
  if (!IsVoter(aGroup)) {
    entry.remote = std::make_unique<log::RemoteGroup>(log::RemoteGroupOptions{
      .group = aGroup.id,
      .self = mOptions.settings.id,
      .voters = aGroup.voters,
      .peers = mOptions.links,
      .timers = mOptions.loop,
      .settings = {},
    });
    return;
  }
  const auto kind =
    aGroup.id == kDocumentsGroup ? state::GroupKind::Documents : state::GroupKind::DataCentre;
  state::GroupStateMachine::Settings machineSettings;
  machineSettings.kind = kind;
  entry.stateMachine = std::make_unique<state::GroupStateMachine>(machineSettings);
  entry.diskOperations = std::make_unique<log::PosixDisk>();
  entry.fileStorage = std::make_unique<log::FileLogStorage>(log::FileLogStorageOptions{
    .folder = *mOptions.settings.dataFolder, .group = aGroup.id, .disk = *entry.diskOperations });
  // Storage runs on its own thread, so that a slow disk does not delay the streams of callers.
  entry.storage = std::make_unique<log::ThreadedLogStorage>(log::ThreadedLogStorageOptions{
    .inner = *entry.fileStorage, .post = [&loop = mOptions.loop](std::function<void()> aWork) {
      loop.Post(std::move(aWork));
    } });
  entry.voter = std::make_unique<log::LogGroup>(log::LogGroupOptions{
    .group = aGroup.id,
    .self = mOptions.settings.id,
    .voters = aGroup.voters,
    .peers = mOptions.links,
    .timers = mOptions.loop,
    .storage = *entry.storage,
    .stateMachine = *entry.stateMachine,
    .random = core::Random(mOptions.random.Bits()),
    .settings = {},
  });
}

} // namespace cuminfield::process::host
