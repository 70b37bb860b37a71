#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace cuminfield::core {

/// Seeded random number generator. The same seed gives the same numbers on every platform, since
/// Boost.Random specifies its distributions, unlike the standard library. Not thread-safe.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// Returns a uniform integer in [0, aBound); aBound must be positive.
  std::uint64_t UniformBelow(std::uint64_t aBound);

  /// Returns a uniform number in [0, 1).
  double Uniform();

  /// Returns true with this probability.
  bool Chance(double aProbability) { return Uniform() < aProbability; }

  /// Samples the exponential distribution.
  double Exponential(double aMean);

  /// Samples the normal distribution.
  double Normal(double aMean, double aDeviation);

  /// Returns 64 random bits.
  std::uint64_t Bits() { return mEngine(); }

private:
  boost::random::mt19937_64 mEngine;
};

} // namespace cuminfield::core
