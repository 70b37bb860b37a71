#pragma once

namespace cuminfield::performance_test::moves {

/// Runs the `versions` measurement: by default 100 moves per seed, half of them to a bad version,
/// in virtual time. Prints a table by seed and by fault, and a last line of key=value pairs.
/// Options: --seeds N, --moves N, --threads N, --verbose, and --rate R (requests per second outside
/// bursts; 0 draws a rate).
int RunMoveMeasurement(int aArgc, char** aArgv);

} // namespace cuminfield::performance_test::moves
