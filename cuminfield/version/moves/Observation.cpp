#include "cuminfield/version/moves/Observation.h"

#include <algorithm>

namespace cuminfield::version::moves {

namespace {

void AddCounts(LatencyCounts& aSum, const LatencyCounts& aCounts)
{
  for (std::size_t it = 0; it < aSum.size(); ++it) {
    aSum[it] += aCounts[it];
  }
}

void SubtractCounts(LatencyCounts& aLeft, const LatencyCounts& aRight)
{
  for (std::size_t it = 0; it < aLeft.size(); ++it) {
    aLeft[it] -= aRight[it];
  }
}

bool AnyDecreased(const LatencyCounts& aLater, const LatencyCounts& aEarlier)
{
  for (std::size_t it = 0; it < aLater.size(); ++it) {
    if (aLater[it] < aEarlier[it]) {
      return true;
    }
  }
  return false;
}

bool CountersWereReset(const Observation& aLater, const Observation& aEarlier)
{
  return aLater.succeeded < aEarlier.succeeded || aLater.failed < aEarlier.failed ||
         AnyDecreased(aLater.firstToken, aEarlier.firstToken) ||
         AnyDecreased(aLater.tokenGap, aEarlier.tokenGap);
}

} // namespace

bool Observation::HasSameKey(const Observation& aOther) const
{
  return version == aOther.version && route == aOther.route && service == aOther.service;
}

void Observation::Add(const Observation& aOther)
{
  succeeded += aOther.succeeded;
  failed += aOther.failed;
  AddCounts(firstToken, aOther.firstToken);
  AddCounts(tokenGap, aOther.tokenGap);
}

Observation Observation::DeltaSince(const Observation& aEarlier) const
{
  if (CountersWereReset(*this, aEarlier)) {
    return *this;
  }
  Observation delta = *this;
  delta.succeeded -= aEarlier.succeeded;
  delta.failed -= aEarlier.failed;
  SubtractCounts(delta.firstToken, aEarlier.firstToken);
  SubtractCounts(delta.tokenGap, aEarlier.tokenGap);
  return delta;
}

std::size_t LatencyClass(core::Duration aLatency)
{
  const auto* it = std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), aLatency);
  return static_cast<std::size_t>(it - kLatencyBounds.begin());
}

core::Duration NormalizeFirstToken(core::Duration aMeasured, core::Duration aPredicted)
{
  const double predicted = static_cast<double>(std::max<std::int64_t>(aPredicted.count(), 1));
  const double ratio = static_cast<double>(aMeasured.count()) / predicted;
  constexpr double kMaxRatio = 1e6;
  const double scaled =
    std::min(ratio, kMaxRatio) * static_cast<double>(kReferenceFirstToken.count());
  return core::Duration(static_cast<std::int64_t>(scaled));
}

} // namespace cuminfield::version::moves
