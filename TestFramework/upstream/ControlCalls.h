#pragma once

#include "TestFramework/http/Client.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace cuminfield::test_framework::upstream {

/// How an announcer reaches the control address of a host; a test supplies its own.
class ControlCalls
{
public:
  /// Status of the answer (0: none came) and its body.
  using Answer = std::function<void(int, const nlohmann::json&)>;

  virtual ~ControlCalls() = default;

  /// Posts aBody to aPath of aHost and tells the answer later.
  virtual void Post(const process::settings::Endpoint& aHost, const std::string& aPath,
                    const nlohmann::json& aBody, Answer aAnswer) = 0;
};

/// The same over HTTP.
class HttpControlCalls : public ControlCalls
{
public:
  explicit HttpControlCalls(event_base* aBase)
    : mClient(aBase)
  {
  }

  void Post(const process::settings::Endpoint& aHost, const std::string& aPath,
            const nlohmann::json& aBody, Answer aAnswer) override;

private:
  http::Client mClient;
};

} // namespace cuminfield::test_framework::upstream
