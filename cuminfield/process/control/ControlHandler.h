#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/process/documents/OperatorService.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"

#include <functional>
#include <memory>
#include <string>

namespace cuminfield::process::control {

/// Handles requests of upstreams, operators and metrics scrapers at the control address
/// (docs/Protocols.md).
class ControlHandler : public connection::caller::CallerHandler
{
public:
  struct Options
  {
    membership::UpstreamDirectory& upstreamDirectory;
    documents::OperatorService& operatorService;
    std::function<std::string()> getShowReport; ///< The host's state as JSON.
    std::function<std::string()> getMetrics;    ///< Prometheus text exposition format.
    std::function<bool()> isStopping;
  };

  explicit ControlHandler(Options aOptions);

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;

private:
  using Request = connection::caller::CallerRequest;
  using ChannelPtr = std::shared_ptr<connection::caller::CallerChannel>;

  void HandleUpstreamRequest(const Request& aRequest, const ChannelPtr& aChannel);
  void HandleDocumentRequest(const Request& aRequest, const ChannelPtr& aChannel);
  void SendDocument(const core::EnvironmentId& aEnvironment, const Request& aRequest,
                    const ChannelPtr& aChannel);

  Options mOptions;
};

} // namespace cuminfield::process::control
