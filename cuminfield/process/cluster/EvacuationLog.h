#pragma once

#include "cuminfield/core/Ids.h"

#include <cstddef>
#include <set>

namespace cuminfield::process::cluster {

/// Logs which data centres this host knows to be evacuated.
class EvacuationLog
{
public:
  /// Logs the evacuations that have come into force or ended since the last call.
  void Update(const std::set<core::DataCentreId>& aEvacuated);

  /// Number of data centres that are evacuated.
  std::size_t Count() const { return mEvacuated.size(); }

private:
  std::set<core::DataCentreId> mEvacuated;
};

} // namespace cuminfield::process::cluster
