#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <cstdlib>

int main(int argc, char** argv)
{
  // Same verdict every time: property tests use a fixed seed unless the environment gives one.
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", "seed=20261204 max_success=200", kKeepExisting);
  // Without the leak detector: libraries keep static caches that it would report.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
