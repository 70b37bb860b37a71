#include "cuminfield/process/cluster/EvacuationLog.h"

#include "cuminfield/process/logging/EventLog.h"

namespace cuminfield::process::cluster {

void EvacuationLog::Update(const std::set<core::DataCentreId>& aEvacuated)
{
  if (aEvacuated == mEvacuated) {
    return;
  }
  for (const core::DataCentreId& it : aEvacuated) {
    if (!mEvacuated.contains(it)) {
      logging::Event(logging::Level::Warning, "evacuation-in-force",
                     { { "data_centre", it.Text() } });
    }
  }
  for (const core::DataCentreId& it : mEvacuated) {
    if (!aEvacuated.contains(it)) {
      logging::Event(logging::Level::Info, "evacuation-ended", { { "data_centre", it.Text() } });
    }
  }
  mEvacuated = aEvacuated;
}

} // namespace cuminfield::process::cluster
