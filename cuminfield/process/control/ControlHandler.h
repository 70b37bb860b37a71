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
    membership::UpstreamDirectory& directory;
    documents::OperatorService& operators;
    std::function<std::string()> show;    ///< The host's state as JSON.
    std::function<std::string()> metrics; ///< Prometheus text exposition format.
    std::function<bool()> stopping;
  };

  explicit ControlHandler(Options aOptions);

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;

private:
  using Request = connection::caller::CallerRequest;
  using Channel = std::shared_ptr<connection::caller::CallerChannel>;

  void HandleUpstream(const Request& aRequest, const Channel& aChannel);
  void HandleDocument(const Request& aRequest, const Channel& aChannel);
  void ReadDocument(const core::EnvironmentId& aEnvironment, const Request& aRequest,
                    const Channel& aChannel);

  Options mOptions;
};

} // namespace cuminfield::process::control
