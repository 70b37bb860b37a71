#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace cuminfield::core {

/// Length of time; the resolution of all decisions is one microsecond.
using Duration = std::chrono::microseconds;

/// Clock tag of the monotonic time that decisions are made by. Has no now(): time comes from
/// a TimerService, so that decisions can be replayed.
struct MonotonicClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time of one process. Never sent to another process.
using Instant = MonotonicClock::time_point;

/// A point in civil time (Unix epoch). May step; used only where hosts must compare times.
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

/// A multiple of a length of time.
constexpr Duration Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

/// A count in one unit that cannot be mixed up with a count in another.
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

/// Tokens of prompt or answer.
using Tokens = Quantity<struct TokensTag>;
/// Bytes on a link, on disk or in memory.
using Bytes = Quantity<struct BytesTag>;

} // namespace cuminfield::core
