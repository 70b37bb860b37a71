#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <string>
#include <vector>

namespace cuminfield::process::command {

/// A response from a host's control address.
struct ControlResponse
{
  int status = 0;
  connection::HttpHeaders headers;
  std::string body;
};

/// Sends requests of the command line to the control addresses of hosts, one after the other until
/// one responds. Blocks on an event loop of its own; one request at a time.
class ControlClient
{
public:
  struct Options
  {
    std::vector<settings::Endpoint> endpoints;
    core::Duration timeoutPerHost = std::chrono::seconds(10);
  };

  explicit ControlClient(Options aOptions);

  /// Returns the first response. Fails with Unavailable when no host can have executed the request,
  /// with Timeout when one may have.
  core::Result<ControlResponse> SendRequest(const std::string& aMethod, const std::string& aTarget,
                                            const std::string& aBody);

private:
  Options mOptions;
};

/// Parses `ADDRESS:PORT[,ADDRESS:PORT...]`. InvalidRequest quotes the invalid part.
core::Result<std::vector<settings::Endpoint>> ParseEndpoints(const std::string& aText);

/// Generates a version 7 UUID that identifies a request over all its retries.
std::string GenerateRequestId();

} // namespace cuminfield::process::command
