#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <string>
#include <vector>

namespace cuminfield::process::command {

/// An answer from a host's control address.
struct ControlAnswer
{
  int status = 0;
  connection::HttpHeaders headers;
  std::string body;
};

/// Asks the control addresses of hosts from the command line, one after the other until one
/// answers. Runs a loop of its own; one question at a time.
class ControlClient
{
public:
  struct Options
  {
    std::vector<settings::Endpoint> hosts;
    core::Duration timeout = std::chrono::seconds(10); ///< For one host.
  };

  explicit ControlClient(Options aOptions);

  /// The first answer; Unavailable when no host answered at all, Timeout when one may have acted.
  core::Result<ControlAnswer> Ask(const std::string& aMethod, const std::string& aTarget,
                                  const std::string& aBody);

private:
  Options mOptions;
};

/// Reads `ADDRESS:PORT[,ADDRESS:PORT...]`. InvalidRequest names the part that is wrong.
core::Result<std::vector<settings::Endpoint>> ParseEndpoints(const std::string& aText);

/// A new UUID of version 7, for a request that may be sent again.
std::string NewRequestId();

} // namespace cuminfield::process::command
