#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/log.pb.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace cuminfield::process::log {

/// One incarnation of a host's data folder. A host whose disk was lost comes back as another
/// member.
struct Member
{
  core::HostId host;
  core::Incarnation incarnation;

  auto operator<=>(const Member&) const = default;
};

proto::Member ToProto(const Member& aMember);
Member FromProto(const proto::Member& aMember);

/// The voters of a group from a certain position of its log on.
struct Configuration
{
  std::vector<Member> voters; ///< Sorted.

  /// Number of voters that make a quorum.
  std::size_t Majority() const { return voters.size() / 2 + 1; }

  /// True if exactly this incarnation of the host votes.
  bool Contains(const Member& aMember) const;

  /// The voting incarnation of a host; null when the host does not vote.
  const Member* FindVoter(const core::HostId& aHost) const;

  Configuration WithVoter(const Member& aMember) const;

  Configuration WithoutVoter(const Member& aMember) const;

  /// Number of hosts that vote in only one of the two configurations, or as another incarnation.
  static std::size_t CountDifferences(const Configuration& aLeft, const Configuration& aRight);

  bool operator==(const Configuration&) const = default;
};

proto::Configuration ToProto(const Configuration& aConfiguration);
Configuration FromProto(const proto::Configuration& aConfiguration);

} // namespace cuminfield::process::log
