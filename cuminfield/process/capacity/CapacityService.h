#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/capacity/capacity_message.pb.h"
#include "cuminfield/process/host/Groups.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/request/admission/TieredScheduler.h"
#include "cuminfield/request/capacity/CapacityBroker.h"
#include "cuminfield/request/capacity/CapacityClient.h"

#include <sigc++/sigc++.h>

#include <optional>
#include <vector>

namespace cuminfield::process::capacity {

/// Settings of CapacityService.
struct CapacityServiceSettings
{
  /// Time between two reports of this host's demand.
  core::Duration reportInterval = std::chrono::milliseconds(200);
};

/// Shares the capacity of a data centre's upstreams among its entry hosts. Reports this host's
/// demand to the broker and applies the grants it receives; runs the broker itself while this host
/// leads the data centre's group.
class CapacityService : public sigc::trackable
{
public:
  struct Options
  {
    CapacityServiceSettings settings{};
    const settings::HostSettings& host;
    core::TimerService& timers;
    host::Groups& groups;
    peer::PeerLinks& links;
    membership::UpstreamDirectory& directory;
    request::capacity::CapacityClient& client;
  };

  explicit CapacityService(Options aOptions);

  /// Sets the scheduler whose demand is reported. Nothing is reported before this call.
  void SetScheduler(const request::admission::TieredScheduler& aScheduler)
  {
    mScheduler = &aScheduler;
  }

private:
  void SendReport();
  void Send(const core::HostId& aTo, const proto::CapacityMessage& aMessage);
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void HandleMessage(const core::HostId& aFrom, const proto::CapacityMessage& aMessage);
  void HandleReport(const core::HostId& aFrom, const request::capacity::DemandReport& aReport);
  request::capacity::CapacityBroker* GetBrokerIfLeading();

  Options mOptions;
  const request::admission::TieredScheduler* mScheduler = nullptr;
  std::optional<request::capacity::CapacityBroker>
    mBroker; ///< Set while this host leads the group.
  core::Term mBrokerTerm;
  core::TimerHandle mReportTimer;
  std::vector<core::TimerHandle> mLocalDeliveries; ///< Pending messages from this host to itself.
};

} // namespace cuminfield::process::capacity
