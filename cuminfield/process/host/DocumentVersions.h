#pragma once

#include "cuminfield/request/Scheduler.h"
#include "cuminfield/version/document/DocumentIndex.h"

#include <functional>
#include <memory>

namespace cuminfield::process::host {

/// Chooses for each service the version that the document in force names.
class DocumentVersions : public request::VersionChooser
{
public:
  using Source = std::function<std::shared_ptr<const version::document::DocumentIndex>()>;

  explicit DocumentVersions(Source aSource)
    : mSource(std::move(aSource))
  {
  }

  core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                         double aPoint) const override;

private:
  Source mSource;
};

} // namespace cuminfield::process::host
