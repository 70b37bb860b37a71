#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <cstdlib>

int main(int argc, char** argv)
{
  // Property tests use a fixed seed, so that runs are reproducible, unless the environment sets
  // one.
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", "seed=20261204 max_success=200", kKeepExisting);
  // The leak detector is disabled because it would report static caches of libraries.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
