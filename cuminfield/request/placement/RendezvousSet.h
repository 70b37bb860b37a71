#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminfield::request::placement {

/// Orders the known hosts for each upstream by a hash of host and upstream (rendezvous hashing).
/// Hosts with the same list agree on who is among the first without a message. A host that joins or
/// leaves changes the order of the others for no upstream, and in a part of the list the hosts of
/// that part keep their order: of two parts of a partitioned cluster, each has its own first K, and
/// lists between the part and the whole add no further hosts.
class RendezvousSet
{
public:
  /// Hash of a host's or upstream's id, as sent between hosts.
  static std::uint32_t HashOf(std::string_view aId);

  /// Hash of a sorted list, never 0: equal lists have equal revisions at all control hosts.
  static std::uint64_t RevisionOf(const std::vector<std::uint32_t>& aSortedMembers);

  /// Replaces the list. Returns false if it was the same.
  bool Assign(std::uint32_t aSelf, std::vector<std::uint32_t> aMembers);

  std::size_t Size() const { return mMembers.size(); }

  /// True if this host is in the list. Otherwise it has no place in the order.
  bool ContainsSelf() const { return mContainsSelf; }

  /// Increases with each change of the list; 0 before the first list.
  std::uint64_t Generation() const { return mGeneration; }

  /// Number of hosts that precede this one for the upstream.
  std::size_t RankOfSelf(std::uint32_t aUpstream) const;

private:
  std::uint32_t mSelf = 0;
  std::vector<std::uint32_t> mMembers; ///< Sorted.
  bool mContainsSelf = false;
  std::uint64_t mGeneration = 0;
};

} // namespace cuminfield::request::placement
