#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/log.pb.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace cuminfield::process::log {

/// One life of a host's data folder. A host whose disk was lost comes back as another member.
struct Member
{
  core::HostId host;
  core::Incarnation incarnation;

  auto operator<=>(const Member&) const = default;
};

proto::Member ToProto(const Member& aMember);
Member FromProto(const proto::Member& aMember);

/// The voters of a group from one point of its log on.
struct Configuration
{
  std::vector<Member> voters; ///< Sorted.

  /// How many voters make a quorum.
  std::size_t Majority() const { return voters.size() / 2 + 1; }

  /// True if exactly this life of the host votes.
  bool Contains(const Member& aMember) const;

  /// The voting life of a host; null when it does not vote.
  const Member* FindVoter(const core::HostId& aHost) const;

  /// This configuration with one voter more.
  Configuration WithVoter(const Member& aMember) const;

  /// This configuration with one voter less.
  Configuration WithoutVoter(const Member& aMember) const;

  /// How many voters stand in only one of the two.
  static std::size_t CountDifferences(const Configuration& aLeft, const Configuration& aRight);

  bool operator==(const Configuration&) const = default;
};

proto::Configuration ToProto(const Configuration& aConfiguration);
Configuration FromProto(const proto::Configuration& aConfiguration);

} // namespace cuminfield::process::log
