#include "cuminfield/process/cluster/GroupMetrics.h"

namespace cuminfield::process::cluster {

void AddGroupMetrics(const GroupView& aView, metrics::GaugeText& aGauges)
{
  aGauges.Add("group_has_leader", aView.leader.IsEmpty() ? 0 : 1);
  if (aView.health) {
    aGauges.Add("group_voters", aView.health->Voters().size());
    aGauges.Add("group_voters_silent", aView.health->SilentVoterCount());
    aGauges.Add("group_learners_ready", aView.health->ReadyHosts().size());
    aGauges.Add("group_losses_tolerated", aView.health->LossesTolerated());
    aGauges.Add("group_losses_wanted", aView.health->LossesWanted());
  }
  if (aView.leader.IsEmpty()) {
    const auto summary = log::LeaderSearch::Summarize(aView.searchedHosts);
    aGauges.Add("group_hosts_asked", summary.asked);
    aGauges.Add("group_hosts_answering", summary.answering);
    aGauges.Add("group_hosts_belonging", summary.belonging);
  }
}

} // namespace cuminfield::process::cluster
