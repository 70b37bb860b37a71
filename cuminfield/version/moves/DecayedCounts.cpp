#include "cuminfield/version/moves/DecayedCounts.h"

#include <numeric>

namespace cuminfield::version::moves {

void DecayedCounts::Add(const Observation& aObservation)
{
  mSucceeded += aObservation.succeeded;
  mFailed += aObservation.failed;
  AddWeights(mFirstTokenWeights, aObservation.firstToken);
  AddWeights(mTokenGapWeights, aObservation.tokenGap);
  if (RequestWeight() <= mCapacity) {
    return;
  }
  const double factor = mCapacity / RequestWeight();
  mSucceeded *= factor;
  mFailed *= factor;
  Scale(mFirstTokenWeights, factor);
  Scale(mTokenGapWeights, factor);
}

double DecayedCounts::FailureRate() const
{
  return RequestWeight() > 0.0 ? mFailed / RequestWeight() : 0.0;
}

double DecayedCounts::Sum(const Weights& aWeights)
{
  return std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
}

double DecayedCounts::FractionAbove(const Weights& aWeights, std::size_t aClass)
{
  const double all = Sum(aWeights);
  if (all <= 0.0) {
    return 0.0;
  }
  const auto first = aWeights.begin() + static_cast<std::ptrdiff_t>(aClass) + 1;
  return std::accumulate(first, aWeights.end(), 0.0) / all;
}

void DecayedCounts::AddWeights(Weights& aWeights, const LatencyCounts& aCounts)
{
  for (std::size_t it = 0; it < aWeights.size(); ++it) {
    aWeights[it] += aCounts[it];
  }
}

void DecayedCounts::Scale(Weights& aWeights, double aFactor)
{
  for (double& it : aWeights) {
    it *= aFactor;
  }
}

} // namespace cuminfield::version::moves
