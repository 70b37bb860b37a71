#pragma once

#include "cuminfield/process/log/Configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace cuminfield::process::log {

/// Decides when a group may be founded: only when every voter of the settings is blank and all
/// have durably agreed to the same set of incarnations. Each incarnation agrees to one set in its
/// life, so two foundings can never share a voter, whatever messages are late or repeated.
class Founding
{
public:
  Founding(Member aSelf, std::vector<core::HostId> aVoters);

  /// Takes up what another host announced.
  void RecordAnnouncement(const Member& aMember, bool aBelongs, const Configuration& aAgreed);

  /// Sets what this host has agreed to; it never changes afterwards.
  void SetAgreedFounders(Configuration aFounders) { mAgreedFounders = std::move(aFounders); }

  /// What this host has agreed to; empty: nothing yet.
  const Configuration& AgreedFounders() const { return mAgreedFounders; }

  /// The set to agree to, once all voters have been heard as blank and nothing was agreed to yet.
  std::optional<Configuration> ProposeFounders() const;

  /// True when every voter has announced that it agreed to the same set as this one.
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
