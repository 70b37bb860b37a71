#pragma once

namespace cuminfield::performance_test::log {

/// Measures commits per second and commit latency of a group of three voters on this machine: real
/// files and fdatasync, links in memory, 160-byte commands, each client with one under way.
/// Arguments: FOLDER SECONDS CLIENTS. Prints one line; returns 0 on success.
int RunLogMeasurement(int aCount, char** aArguments);

} // namespace cuminfield::performance_test::log
