#pragma once

#include "cuminfield/process/documents/DocumentDistributor.h"
#include "cuminfield/process/host/Groups.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"
#include "cuminfield/process/metrics/Metrics.h"
#include "cuminfield/process/peer/GrpcPeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/version/document/DocumentIndex.h"
#include "cuminfield/version/moves/MoveShares.h"

#include <memory>
#include <string>

namespace cuminfield::process::host {

/// Report that `cuminfield show` prints for one host: documents, moves, upstreams, tiers, groups.
class ShowReport
{
public:
  struct Sources
  {
    const settings::HostSettings& settings;
    const Groups& groups;
    const documents::DocumentDistributor& distributor;
    const membership::UpstreamDirectory& directory;
    const metrics::Metrics& metrics;
    const version::moves::MoveShares& shares;
    const peer::GrpcPeerLinks& links;
    std::shared_ptr<const version::document::DocumentIndex> document;
    std::size_t inFlight = 0;
    bool stopping = false;
  };

  explicit ShowReport(Sources aSources);

  std::string ToJson() const;

private:
  Sources mSources;
};

} // namespace cuminfield::process::host
