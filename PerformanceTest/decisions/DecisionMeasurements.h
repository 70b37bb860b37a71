#pragma once

#include <string>

namespace cuminfield::performance_test::decisions {

/// Runs one measurement of the decisions by name (goodput, prefill, regions, straggler, leave)
/// and prints its table and its figures. Arguments: --seeds N, --policies a,b,c, --loads x,y.
/// Returns a process exit status.
int RunDecisionMeasurement(const std::string& aName, int aCount, char** aValues);

} // namespace cuminfield::performance_test::decisions
