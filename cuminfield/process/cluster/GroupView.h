#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/GroupHealth.h"
#include "cuminfield/process/log/LeaderSearch.h"
#include "cuminfield/process/log/LogGroup.h"

#include <optional>
#include <vector>

namespace cuminfield::process::cluster {

/// What a control host knows of its group at one moment, for logs and metrics.
struct GroupView
{
  log::Role role = log::Role::Learner;
  core::Term term;
  core::HostId leader; ///< Empty when none is known.
  log::Configuration voters;
  core::LogIndex votersIndex;             ///< Where in the log the voters stand.
  std::optional<log::GroupHealth> health; ///< Only on the leader.
  std::vector<log::LeaderSearch::Host> searchedHosts;
};

GroupView ViewGroup(const log::LogGroup& aGroup);

} // namespace cuminfield::process::cluster
