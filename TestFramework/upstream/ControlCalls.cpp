#include "TestFramework/upstream/ControlCalls.h"

namespace cuminfield::test_framework::upstream {

namespace {

/// A host that does not answer a control call within this is taken for failed.
constexpr core::Duration kControlTimeout = std::chrono::seconds(1);

} // namespace

void HttpControlCalls::Post(const process::settings::Endpoint& aHost, const std::string& aPath,
                            const nlohmann::json& aBody, Answer aAnswer)
{
  const http::ClientRequest request{ .to = aHost,
                                     .method = "POST",
                                     .target = aPath,
                                     .headers = { { "Content-Type", "application/json" } },
                                     .body = aBody.dump(),
                                     .timeout = kControlTimeout };
  mClient.Send(request, [answer = std::move(aAnswer)](const http::ClientResponse& aResponse) {
    const int status = aResponse.whole ? aResponse.status : 0;
    answer(status, nlohmann::json::parse(aResponse.body, nullptr, false));
  });
}

} // namespace cuminfield::test_framework::upstream
