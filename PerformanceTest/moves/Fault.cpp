#include "PerformanceTest/moves/Fault.h"

namespace cuminfield::performance_test::moves {

namespace {

double DrawUniform(core::Random& aRandom, double aMin, double aMax)
{
  return aMin + (aMax - aMin) * aRandom.Uniform();
}

void DrawSlowdown(Fault& aFault, core::Random& aRandom)
{
  const double factor =
    aFault.isSevere ? DrawUniform(aRandom, 3.0, 6.0) : DrawUniform(aRandom, 1.7, 2.0);
  const std::uint64_t slowedPart = aRandom.UniformBelow(3);
  if (slowedPart != 1) {
    aFault.firstTokenFactor = factor;
  }
  if (slowedPart != 0) {
    aFault.tokenGapFactor = factor;
  }
}

const char* TimingName(FaultTiming aTiming)
{
  switch (aTiming) {
    case FaultTiming::Immediate:
      return "at once";
    case FaultTiming::Delayed:
      return "late";
    case FaultTiming::UnderLoad:
      return "under load";
    case FaultTiming::SingleRoute:
      return "one route";
  }
  return "";
}

} // namespace

std::string Fault::Label() const
{
  return std::string(kind == FaultKind::Failing ? "failing " : "slow ") + TimingName(timing) +
         (isSevere ? " severe" : " mild");
}

Fault DrawFault(std::uint32_t aIndex, std::uint32_t aRoutes, core::Random& aRandom)
{
  Fault fault;
  fault.kind = static_cast<FaultKind>(aIndex % 2);
  fault.timing = static_cast<FaultTiming>(aIndex / 2 % 4);
  fault.isSevere = aIndex / 8 % 2 == 0;
  fault.onsetShare = DrawUniform(aRandom, 0.15, 0.80);
  fault.affectedRoute = static_cast<std::uint32_t>(aRandom.UniformBelow(aRoutes));
  fault.hangs = aRandom.Chance(0.5);
  if (fault.kind == FaultKind::Slow) {
    DrawSlowdown(fault, aRandom);
    return fault;
  }
  fault.addedFailureRate =
    fault.isSevere ? DrawUniform(aRandom, 0.3, 1.0) : DrawUniform(aRandom, 0.08, 0.12);
  return fault;
}

} // namespace cuminfield::performance_test::moves
