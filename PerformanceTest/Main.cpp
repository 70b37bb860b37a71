#include "PerformanceTest/moves/MoveMeasurement.h"

#include <array>
#include <cstdio>
#include <cstring>

namespace {

using Measurement = int (*)(int, char**);

struct NamedMeasurement
{
  const char* name;
  Measurement run;
};

/// What `Build/measure.sh NAME` can run.
constexpr std::array kMeasurements{
  NamedMeasurement{ "versions", cuminfield::performance_test::moves::RunMoveMeasurement },
};

} // namespace

int main(int argc, char** argv)
{
  for (const NamedMeasurement& it : kMeasurements) {
    if (argc > 1 && std::strcmp(argv[1], it.name) == 0) {
      return it.run(argc - 1, argv + 1);
    }
  }
  std::fprintf(stderr, "usage: PerformanceTest NAME [options]; the names are:\n");
  for (const NamedMeasurement& it : kMeasurements) {
    std::fprintf(stderr, "  %s\n", it.name);
  }
  return 2;
}
