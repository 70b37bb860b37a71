#include "TestFramework/upstream/ControlTransport.h"

namespace cuminfield::test_framework::upstream {

namespace {

/// A host that does not respond to a control call within this time is considered failed.
constexpr core::Duration kControlTimeout = std::chrono::seconds(1);

} // namespace

void HttpControlTransport::Post(const process::settings::Endpoint& aHost, const std::string& aPath,
                                const nlohmann::json& aBody, ResponseCallback aOnResponse)
{
  const http::ClientRequest request{ .endpoint = aHost,
                                     .method = "POST",
                                     .target = aPath,
                                     .headers = { { "Content-Type", "application/json" } },
                                     .body = aBody.dump(),
                                     .timeout = kControlTimeout };
  mClient.Send(request,
               [onResponse = std::move(aOnResponse)](const http::ClientResponse& aResponse) {
                 const int status = aResponse.complete ? aResponse.status : 0;
                 onResponse(status, nlohmann::json::parse(aResponse.body, nullptr, false));
               });
}

} // namespace cuminfield::test_framework::upstream
