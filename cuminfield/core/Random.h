#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace cuminfield::core {

/// Seeded source of randomness for decisions: the same seed gives the same decisions on every
/// platform (Boost.Random's distributions are specified, the standard library's are not).
/// Owned by one loop; not safe to share between threads.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// A number in [0, aBound); aBound must be positive.
  std::uint64_t Below(std::uint64_t aBound);

  /// A number in [0, 1).
  double Uniform();

  /// True with probability aProbability.
  bool Chance(double aProbability) { return Uniform() < aProbability; }

  /// A draw from the exponential distribution with this mean.
  double Exponential(double aMean);

  /// A draw from the normal distribution.
  double Normal(double aMean, double aDeviation);

  /// 64 random bits.
  std::uint64_t Bits() { return mEngine(); }

private:
  boost::random::mt19937_64 mEngine;
};

} // namespace cuminfield::core
