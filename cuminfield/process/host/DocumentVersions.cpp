#include "cuminfield/process/host/DocumentVersions.h"

namespace cuminfield::process::host {

core::VersionId DocumentVersions::Choose(const core::ServiceId& aService, const core::RouteId&,
                                         double) const
{
  const auto document = mSource();
  const auto* service = document ? document->FindService(aService) : nullptr;
  return service ? service->version : core::VersionId();
}

} // namespace cuminfield::process::host
