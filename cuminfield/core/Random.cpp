#include "cuminfield/core/Random.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cuminfield::core {

std::uint64_t Random::UniformBelow(std::uint64_t aBound)
{
  return boost::random::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
}

double Random::Uniform()
{
  return boost::random::uniform_01<double>()(mEngine);
}

double Random::Exponential(double aMean)
{
  return boost::random::exponential_distribution<double>(1.0 / aMean)(mEngine);
}

double Random::Normal(double aMean, double aDeviation)
{
  return boost::random::normal_distribution<double>(aMean, aDeviation)(mEngine);
}

} // namespace cuminfield::core
