#pragma once

#include <string>

namespace cuminfield::performance_test::decisions {

/// Runs one scheduling measurement by name (goodput, prefill, regions, share, straggler, leave) and
/// prints its table and its summary. Arguments: --seeds N, --policies a,b,c, --loads x,y,
/// --set name=value. Returns a process exit status.
int RunDecisionMeasurement(const std::string& aName, int aCount, char** aValues);

} // namespace cuminfield::performance_test::decisions
