#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace cuminfield::core {

/// Length of time; all decisions have a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// Clock tag of the monotonic time used for decisions. It has no now(): the time comes from a
/// TimerService, so that decisions can be replayed.
struct MonotonicClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Monotonic time of one process; must not be sent to another process.
using Instant = MonotonicClock::time_point;

/// Wall clock time since the Unix epoch. May jump, so it is used only to compare times of hosts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

constexpr double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

constexpr double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

constexpr Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

constexpr Duration FromMilliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

constexpr Duration Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// A strongly typed count of one unit.
template<typename Tag>
struct Quantity
{
  std::int64_t value = 0;

  constexpr auto operator<=>(const Quantity&) const = default;
  constexpr Quantity operator+(Quantity aOther) const { return { value + aOther.value }; }
  constexpr Quantity operator-(Quantity aOther) const { return { value - aOther.value }; }
  constexpr Quantity& operator+=(Quantity aOther)
  {
    value += aOther.value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    value -= aOther.value;
    return *this;
  }
};

/// Tokens of a prompt or response.
using Tokens = Quantity<struct TokensTag>;
using Bytes = Quantity<struct BytesTag>;

} // namespace cuminfield::core
