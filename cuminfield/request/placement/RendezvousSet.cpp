#include "cuminfield/request/placement/RendezvousSet.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cuminfield::request::placement {

namespace {

std::uint64_t WeightOf(std::uint32_t aMember, std::uint32_t aUpstream)
{
  return XXH64(&aMember, sizeof(aMember), aUpstream);
}

} // namespace

std::uint32_t RendezvousSet::HashOf(std::string_view aId)
{
  return XXH32(aId.data(), aId.size(), 0);
}

std::uint64_t RendezvousSet::RevisionOf(const std::vector<std::uint32_t>& aSortedMembers)
{
  const std::uint64_t hash =
    XXH64(aSortedMembers.data(), aSortedMembers.size() * sizeof(std::uint32_t), 0);
  return std::max<std::uint64_t>(1, hash);
}

bool RendezvousSet::Assign(std::uint32_t aSelf, std::vector<std::uint32_t> aMembers)
{
  std::sort(aMembers.begin(), aMembers.end());
  aMembers.erase(std::unique(aMembers.begin(), aMembers.end()), aMembers.end());
  if (mSelf == aSelf && mMembers == aMembers) {
    return false;
  }
  mSelf = aSelf;
  mMembers = std::move(aMembers);
  mContainsSelf = std::binary_search(mMembers.begin(), mMembers.end(), mSelf);
  ++mGeneration;
  return true;
}

std::size_t RendezvousSet::RankOfSelf(std::uint32_t aUpstream) const
{
  const auto own = std::pair(WeightOf(mSelf, aUpstream), mSelf);
  return static_cast<std::size_t>(
    std::count_if(mMembers.begin(), mMembers.end(), [&](std::uint32_t aMember) {
      return std::pair(WeightOf(aMember, aUpstream), aMember) < own;
    }));
}

} // namespace cuminfield::request::placement
