#pragma once

#include "TestFramework/http/Client.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace cuminfield::test_framework::upstream {

/// Sends the calls of an announcer to the control address of a host. Tests replace it with a fake.
class ControlTransport
{
public:
  /// Receives the status (0: no response) and the body of the response.
  using ResponseCallback = std::function<void(int, const nlohmann::json&)>;

  virtual ~ControlTransport() = default;

  /// Posts aBody to aPath of aHost and passes the response to aOnResponse.
  virtual void Post(const process::settings::Endpoint& aHost, const std::string& aPath,
                    const nlohmann::json& aBody, ResponseCallback aOnResponse) = 0;
};

/// Sends each control call over a new HTTP connection.
class HttpControlTransport : public ControlTransport
{
public:
  explicit HttpControlTransport(event_base* aBase)
    : mClient(aBase)
  {
  }

  void Post(const process::settings::Endpoint& aHost, const std::string& aPath,
            const nlohmann::json& aBody, ResponseCallback aOnResponse) override;

private:
  http::Client mClient;
};

} // namespace cuminfield::test_framework::upstream
