#include "cuminfield/request/quarantine/StartedParts.h"

#include <cstddef>
#include <utility>

namespace cuminfield::request::quarantine {

namespace {

/// Twice this many parts are kept at most, with some 100 bytes each.
constexpr std::size_t kMaxLatestParts = 2048;

} // namespace

void StartedParts::Insert(const ServicePart& aPart)
{
  mLatest.insert(aPart);
  if (mLatest.size() >= kMaxLatestParts) {
    mOlder = std::exchange(mLatest, {});
  }
}

bool StartedParts::Contains(const ServicePart& aPart) const
{
  return mLatest.contains(aPart) || mOlder.contains(aPart);
}

} // namespace cuminfield::request::quarantine
