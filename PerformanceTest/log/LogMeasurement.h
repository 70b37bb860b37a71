#pragma once

namespace cuminfield::performance_test::log {

/// Measures commits per second and commit latency of a group of three voters on this machine: real
/// files and fdatasync, in-memory links, 160-byte commands, one outstanding command per client.
/// Arguments: FOLDER SECONDS CLIENTS. Prints one line and returns 0 on success.
int RunLogMeasurement(int aCount, char** aArguments);

} // namespace cuminfield::performance_test::log
