#pragma once

#include "cuminfield/core/Units.h"

#include <sys/time.h>

namespace cuminfield::core {

/// Converts a duration for libevent.
inline timeval ToTimeval(Duration aDuration)
{
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aDuration);
  return { .tv_sec = seconds.count(), .tv_usec = (aDuration - seconds).count() };
}

} // namespace cuminfield::core
