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

/// The replicated groups of the settings, as this host takes part in them: as a voter where a
/// group names it and it has a data folder, otherwise from outside. Lives for the process.
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
    std::unique_ptr<state::GroupStateMachine> machine; ///< Null for a group seen from outside.
    std::unique_ptr<log::DiskOperations> disk;         ///< Of this group alone: its thread uses it.
    std::unique_ptr<log::LogStorage> file;
    std::unique_ptr<log::LogStorage> storage; ///< Runs `file` on a thread of its own.
    std::unique_ptr<log::LogGroup> voter;
    std::unique_ptr<log::RemoteGroup> remote;

    log::Group& Group() const;
  };

  explicit Groups(Options aOptions);

  /// Reads the data folder and takes part. Io or Corrupt where the folder cannot be used.
  core::Result<void> Start();

  /// The group of the environment documents.
  Entry& Documents();

  /// The group of a data centre, or null.
  Entry* Find(const core::GroupId& aId);

  /// The groups of the data centres, by home.
  std::map<core::DataCentreId, log::Group*> Homes() const;

  const std::map<core::GroupId, Entry>& All() const { return mEntries; }

  /// Emitted when a group's storage failed: the process should end.
  sigc::signal<void(const core::Error&)>& OnFailure() { return mOnFailure; }

  static const core::GroupId kDocuments;

private:
  bool Votes(const settings::GroupSettings& aGroup) const;
  void Add(const settings::GroupSettings& aGroup);

  Options mOptions;
  std::map<core::GroupId, Entry> mEntries;
  sigc::signal<void(const core::Error&)> mOnFailure;
};

} // namespace cuminfield::process::host
