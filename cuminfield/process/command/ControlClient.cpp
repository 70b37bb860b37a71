#include "cuminfield/process/command/ControlClient.h"

#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "cuminfield/core/EventLoop.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <optional>
#include <random>
#include <sstream>

namespace cuminfield::process::command {

namespace {

/// Collects the response to a request and stops the event loop when it is complete or has failed.
class ResponseListener : public connection::upstream::UpstreamCallListener
{
public:
  explicit ResponseListener(core::EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnHead(int aStatus, const connection::HttpHeaders& aHeaders) override
  {
    mResponse.status = aStatus;
    mResponse.headers = aHeaders;
  }
  void OnBody(std::string_view aBytes) override { mResponse.body.append(aBytes); }
  void OnEnd() override { mLoop.Stop(); }
  void OnFailed(const connection::upstream::UpstreamFailure& aFailure) override
  {
    mFailure = aFailure;
    mLoop.Stop();
  }

  ControlResponse mResponse;
  std::optional<connection::upstream::UpstreamFailure> mFailure;

private:
  core::EventLoop& mLoop;
};

} // namespace

ControlClient::ControlClient(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

core::Result<ControlResponse> ControlClient::SendRequest(const std::string& aMethod,
                                                         const std::string& aTarget,
                                                         const std::string& aBody)
{
  bool mayHaveRun = false;
  std::string errors;
  for (const settings::Endpoint& it : mOptions.endpoints) {
    core::EventLoop loop;
    connection::upstream::HttpUpstreamTransport transport(
      { .settings = { .stallTimeout = mOptions.timeoutPerHost }, .loop = loop });
    ResponseListener question(loop);
    const auto call = transport.Start(it.address, it.port,
                                      { .id = core::RequestId(GenerateRequestId()),
                                        .method = aMethod,
                                        .target = aTarget,
                                        .headers = {},
                                        .body = aBody,
                                        .freshConnection = true },
                                      question);
    loop.Run();
    if (!question.mFailure) {
      return question.mResponse;
    }
    mayHaveRun = mayHaveRun || question.mFailure->mayHaveRun;
    errors += (errors.empty() ? "" : "; ") + it.ToString() + " did not respond";
  }
  return core::Fail(mayHaveRun ? core::ErrorKind::Timeout : core::ErrorKind::Unavailable,
                    errors + "; run the same command again, or pass other hosts with --control");
}

core::Result<std::vector<settings::Endpoint>> ParseEndpoints(const std::string& aText)
{
  std::vector<settings::Endpoint> endpoints;
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::size_t colon = part.rfind(':');
    std::uint16_t port = 0;
    const bool hasAddress = colon != std::string::npos && colon > 0;
    const char* begin = hasAddress ? part.data() + colon + 1 : part.data();
    const auto [end, ec] = std::from_chars(begin, part.data() + part.size(), port);
    if (!hasAddress || ec != std::errc() || end != part.data() + part.size() || port == 0) {
      return core::Fail(core::ErrorKind::InvalidRequest,
                        "'" + part + "' is not ADDRESS:PORT; write it as 127.0.0.1:7401");
    }
    endpoints.push_back({ .address = part.substr(0, colon), .port = port });
  }
  if (endpoints.empty()) {
    return core::Fail(core::ErrorKind::InvalidRequest,
                      "missing address; write --control 127.0.0.1:7401");
  }
  return endpoints;
}

std::string GenerateRequestId()
{
  // RFC 9562, section 5.7: 48 bits of milliseconds, the version, the variant and random bits.
  std::random_device random;
  const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  const auto timestampMs = static_cast<std::uint64_t>(sinceEpoch);
  const unsigned randomA = random() & 0x0fffU;
  const unsigned randomB = (random() & 0x3fffU) | 0x8000U;
  const std::uint64_t randomC =
    (static_cast<std::uint64_t>(random()) << 16U) | (random() & 0xffffU);
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", timestampMs >> 16U,
                     timestampMs & 0xffffU, randomA, randomB, randomC & 0xffffffffffffU);
}

} // namespace cuminfield::process::command
