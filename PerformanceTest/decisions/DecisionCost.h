#pragma once

#include <string>

namespace cuminfield::performance_test::decisions {

/// Measures the time and the heap allocations of one TieredScheduler decision with 300 upstreams,
/// with few and with many workspaces. Returns a process exit status.
int RunDecisionCost(const std::string& aName, int aCount, char** aValues);

} // namespace cuminfield::performance_test::decisions
