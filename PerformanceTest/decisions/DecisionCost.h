#pragma once

#include <string>

namespace cuminfield::performance_test::decisions {

/// Measures what one decision of the TieredScheduler costs at 300 upstreams in view, with few and
/// with many workspaces, and how much of it allocates. Returns a process exit status.
int RunDecisionCost(const std::string& aName, int aCount, char** aValues);

} // namespace cuminfield::performance_test::decisions
