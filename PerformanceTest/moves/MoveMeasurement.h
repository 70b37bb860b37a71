#pragma once

namespace cuminfield::performance_test::moves {

/// `versions`: 100 moves a seed, half of them bad, in virtual time. Prints a table over the seeds
/// and a last line of key=value figures. Options: --seeds N, --moves N, --threads N, --verbose.
int RunMoveMeasurement(int aArgc, char** aArgv);

} // namespace cuminfield::performance_test::moves
