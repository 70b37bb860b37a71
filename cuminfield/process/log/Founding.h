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
  void Hear(const Member& aMember, bool aBelongs, const Configuration& aAgreed);

  /// Sets what this host has agreed to; it never changes afterwards.
  void Agree(Configuration aFounders) { mAgreed = std::move(aFounders); }

  /// What this host has agreed to; empty: nothing yet.
  const Configuration& Agreed() const { return mAgreed; }

  /// The set to agree to, once all voters have been heard as blank and nothing was agreed to yet.
  std::optional<Configuration> Proposal() const;

  /// True when every voter has announced that it agreed to the same set as this one.
  bool Unanimous() const;

private:
  struct Heard
  {
    Member member;
    bool belongs = false;
    Configuration agreed;
  };

  Member mSelf;
  std::vector<core::HostId> mVoters;
  std::map<core::HostId, Heard> mHeard;
  Configuration mAgreed;
};

} // namespace cuminfield::process::log
