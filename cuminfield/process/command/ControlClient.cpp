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

/// Waits for one answer on a loop of its own.
class Question : public connection::upstream::UpstreamCallListener
{
public:
  explicit Question(core::EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnHead(int aStatus, const connection::HttpHeaders& aHeaders) override
  {
    mAnswer.status = aStatus;
    mAnswer.headers = aHeaders;
  }
  void OnBody(std::string_view aBytes) override { mAnswer.body.append(aBytes); }
  void OnEnd() override { mLoop.Stop(); }
  void OnFailed(const connection::upstream::UpstreamFailure& aFailure) override
  {
    mFailure = aFailure;
    mLoop.Stop();
  }

  ControlAnswer mAnswer;
  std::optional<connection::upstream::UpstreamFailure> mFailure;

private:
  core::EventLoop& mLoop;
};

} // namespace

ControlClient::ControlClient(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

core::Result<ControlAnswer> ControlClient::Ask(const std::string& aMethod,
                                               const std::string& aTarget, const std::string& aBody)
{
  bool mayHaveRun = false;
  std::string reasons;
  for (const settings::Endpoint& it : mOptions.hosts) {
    core::EventLoop loop;
    connection::upstream::HttpUpstreamTransport transport(
      { .settings = { .stall = mOptions.timeout }, .loop = loop });
    Question question(loop);
    const auto call = transport.Start(it.address, it.port,
                                      { .id = core::RequestId(NewRequestId()),
                                        .method = aMethod,
                                        .target = aTarget,
                                        .headers = {},
                                        .body = aBody,
                                        .freshConnection = true },
                                      question);
    loop.Run();
    if (!question.mFailure) {
      return question.mAnswer;
    }
    mayHaveRun = mayHaveRun || question.mFailure->mayHaveRun;
    reasons += (reasons.empty() ? "" : "; ") + it.Text() + " does not answer";
  }
  return core::Fail(mayHaveRun ? core::ErrorKind::Timeout : core::ErrorKind::Unavailable,
                    reasons + "; run the same command again, or give other hosts by --control");
}

core::Result<std::vector<settings::Endpoint>> ParseEndpoints(const std::string& aText)
{
  std::vector<settings::Endpoint> endpoints;
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::size_t colon = part.rfind(':');
    std::uint16_t port = 0;
    const bool whole = colon != std::string::npos && colon > 0;
    const char* begin = whole ? part.data() + colon + 1 : part.data();
    const auto [end, ec] = std::from_chars(begin, part.data() + part.size(), port);
    if (!whole || ec != std::errc() || end != part.data() + part.size() || port == 0) {
      return core::Fail(core::ErrorKind::InvalidRequest,
                        "'" + part + "' is no ADDRESS:PORT; write it as 127.0.0.1:7401");
    }
    endpoints.push_back({ .address = part.substr(0, colon), .port = port });
  }
  if (endpoints.empty()) {
    return core::Fail(core::ErrorKind::InvalidRequest,
                      "no address given; write --control 127.0.0.1:7401");
  }
  return endpoints;
}

std::string NewRequestId()
{
  // RFC 9562, section 5.7: 48 bits of milliseconds, version, then random bits.
  std::random_device random;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  const auto time = static_cast<std::uint64_t>(now);
  const unsigned randomA = random() & 0x0fffU;
  const unsigned randomB = (random() & 0x3fffU) | 0x8000U;
  const std::uint64_t randomC =
    (static_cast<std::uint64_t>(random()) << 16U) | (random() & 0xffffU);
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU, randomA,
                     randomB, randomC & 0xffffffffffffU);
}

} // namespace cuminfield::process::command
