#pragma once

#include "cuminfield/process/log/Configuration.h"
#include "cuminfield/process/log/LogStorage.h"

#include <map>
#include <optional>
#include <vector>

namespace cuminfield::process::log {

/// Decides when a group whose hosts do not know whether they start for the first time may be
/// founded: only when every voter of the settings is blank and all of them have durably agreed to
/// the same set of incarnations. An incarnation agrees to at most one set, so two foundings never
/// share a voter, even if messages are late or repeated.
///
/// Hosts that do know it need no agreement, see MakeFirstContents().
class Founding
{
public:
  Founding(Member aSelf, std::vector<core::HostId> aVoters);

  /// The entry that founds a group, the same at every founder.
  static proto::Entry MakeFirstEntry(const Configuration& aFounders);

  /// What a host of the settings stores when all of them start for the first time, with empty disks
  /// and the same settings. Each gets the same incarnation, which no host gets at another time, so
  /// all know the founders without a message.
  static LogContents MakeFirstContents(const std::vector<core::HostId>& aHosts);

  /// Records what another host announced.
  void RecordAnnouncement(const Member& aMember, bool aHoldsState,
                          const Configuration& aAgreedFounders);

  /// Sets the founders that this host has agreed to, which then never change.
  void SetAgreedFounders(Configuration aFounders) { mAgreedFounders = std::move(aFounders); }

  /// The founders that this host has agreed to; empty when it has not agreed yet.
  const Configuration& AgreedFounders() const { return mAgreedFounders; }

  /// The founders to agree to, once every voter has announced that it is blank; nothing when this
  /// host has agreed already.
  std::optional<Configuration> ProposeFounders() const;

  /// True when every voter has announced that it agreed to the same founders as this host.
  bool IsUnanimous() const;

private:
  struct ReceivedAnnouncement
  {
    Member member;
    bool holdsState = false;
    Configuration agreedFounders;
  };

  Member mSelf;
  std::vector<core::HostId> mVoters;
  std::map<core::HostId, ReceivedAnnouncement> mAnnouncements;
  Configuration mAgreedFounders;
};

} // namespace cuminfield::process::log
