#pragma once

#include "cuminfield/core/RegionSet.h"
#include "cuminfield/request/RequestSpec.h"

namespace cuminfield::request::placement {

/// Tells in which regions a request may be served. Asked whenever an upstream is chosen, since the
/// configuration may change while a request waits.
class RegionPolicy
{
public:
  virtual ~RegionPolicy() = default;

  /// Returns the regions that are allowed now, or null if there is no restriction. The set is valid
  /// until the configuration changes or the request ends.
  virtual const core::RegionSet* AllowedRegions(const RequestSpec& aSpec) const = 0;
};

} // namespace cuminfield::request::placement
