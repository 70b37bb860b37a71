#include "cuminfield/process/log/Configuration.h"

#include <algorithm>
#include <iterator>

namespace cuminfield::process::log {

proto::Member ToProto(const Member& aMember)
{
  proto::Member result;
  result.set_host(aMember.host.Text());
  result.set_incarnation(aMember.incarnation.Value());
  return result;
}

Member FromProto(const proto::Member& aMember)
{
  return { .host = core::HostId(aMember.host()),
           .incarnation = core::Incarnation(aMember.incarnation()) };
}

bool Configuration::Contains(const Member& aMember) const
{
  return std::binary_search(voters.begin(), voters.end(), aMember);
}

const Member* Configuration::FindVoter(const core::HostId& aHost) const
{
  const auto it = std::find_if(voters.begin(), voters.end(),
                               [&](const Member& aMember) { return aMember.host == aHost; });
  return it == voters.end() ? nullptr : &*it;
}

Configuration Configuration::WithVoter(const Member& aMember) const
{
  Configuration result = *this;
  const auto it = std::lower_bound(result.voters.begin(), result.voters.end(), aMember);
  result.voters.insert(it, aMember);
  return result;
}

Configuration Configuration::WithoutVoter(const Member& aMember) const
{
  Configuration result = *this;
  std::erase(result.voters, aMember);
  return result;
}

std::size_t Configuration::CountDifferences(const Configuration& aLeft, const Configuration& aRight)
{
  std::vector<Member> difference;
  std::set_symmetric_difference(aLeft.voters.begin(), aLeft.voters.end(), aRight.voters.begin(),
                                aRight.voters.end(), std::back_inserter(difference));
  // Members are sorted by host.
  const auto end = std::unique(
    difference.begin(), difference.end(),
    [](const Member& aFirst, const Member& aNext) { return aFirst.host == aNext.host; });
  return static_cast<std::size_t>(end - difference.begin());
}

proto::Configuration ToProto(const Configuration& aConfiguration)
{
  proto::Configuration result;
  for (const Member& it : aConfiguration.voters) {
    *result.add_voters() = ToProto(it);
  }
  return result;
}

Configuration FromProto(const proto::Configuration& aConfiguration)
{
  Configuration result;
  for (const proto::Member& it : aConfiguration.voters()) {
    result.voters.push_back(FromProto(it));
  }
  std::sort(result.voters.begin(), result.voters.end());
  return result;
}

} // namespace cuminfield::process::log
