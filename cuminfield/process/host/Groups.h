#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/log/DiskOperations.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/log/RemoteGroup.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/state/GroupStateMachine.h"

#include <map>
#include <memory>

namespace cuminfield::process::host {

/// The replicated groups of the settings. This host is a voter of a group that names it if it has a
/// data folder; it uses every other group as a remote client. Lives for the process.
class Groups
{
public:
  struct Options
  {
    const settings::HostSettings& settings;
    core::EventLoop& loop;
    peer::PeerLinks& links;
    core::Random& random;
  };

  /// One group on this host.
  struct Entry
  {
    std::unique_ptr<state::GroupStateMachine> stateMachine; ///< Null for a remote group.
    std::unique_ptr<log::DiskOperations>
      diskOperations; ///< Used by the storage thread of this group only.
    std::unique_ptr<log::LogStorage> fileStorage;
    std::unique_ptr<log::LogStorage> storage; ///< Runs `fileStorage` on its own thread.
    std::unique_ptr<log::LogGroup> voter;
    std::unique_ptr<log::RemoteGroup> remote;

    log::Group& Group() const;
  };

  explicit Groups(Options aOptions);

  /// Reads the data folder and starts the voters. Io or Corrupt when the folder can't be used.
  core::Result<void> Start();

  /// The group that stores the environment documents.
  Entry& DocumentsGroup();

  /// The group with this id, or null.
  Entry* Find(const core::GroupId& aId);

  /// The groups of the data centres, by data centre.
  std::map<core::DataCentreId, log::Group*> GroupsByDataCentre() const;

  const std::map<core::GroupId, Entry>& AllGroups() const { return mEntries; }

  /// Emitted when a group's storage fails; the process should then exit.
  sigc::signal<void(const core::Error&)>& OnFailure() { return mOnFailure; }

  static const core::GroupId kDocumentsGroup;

private:
  bool IsVoter(const settings::GroupSettings& aGroup) const;
  void AddGroup(const settings::GroupSettings& aGroup);

  Options mOptions;
  std::map<core::GroupId, Entry> mEntries;
  sigc::signal<void(const core::Error&)> mOnFailure;
};

} // namespace cuminfield::process::host
