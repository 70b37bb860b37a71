#include "cuminfield/process/cluster/GroupView.h"

namespace cuminfield::process::cluster {

GroupView ViewGroup(const log::LogGroup& aGroup)
{
  return { .role = aGroup.CurrentRole(),
           .term = aGroup.CurrentTerm(),
           .leader = aGroup.Leader(),
           .voters = aGroup.Voters(),
           .votersIndex = aGroup.VotersIndex(),
           .health = aGroup.Health(),
           .searchedHosts = aGroup.SearchedHosts() };
}

} // namespace cuminfield::process::cluster
