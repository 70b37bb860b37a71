#include "TestFramework/time/LoopTimerService.h"
#include "TestFramework/upstream/ControlTransport.h"
#include "TestFramework/upstream/StandInUpstream.h"

#include <boost/program_options.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>

using namespace cuminfield;
using namespace cuminfield::test_framework;

namespace {

constexpr std::size_t kConnectionsPerHost = 4;
constexpr int kTimeoutSeconds = 1;

/// Sends control calls over a fixed number of persistent connections to each host.
class PersistentControlTransport : public upstream::ControlTransport
{
public:
  PersistentControlTransport(event_base* aBase,
                             const std::vector<process::settings::Endpoint>& aHosts)
  {
    for (const auto& host : aHosts) {
      for (std::size_t i = 0; i < kConnectionsPerHost; ++i) {
        evhttp_connection* connection =
          evhttp_connection_base_new(aBase, nullptr, host.address.c_str(), host.port);
        evhttp_connection_set_timeout(connection, kTimeoutSeconds);
        mConnections[host.ToString()].push_back({ connection, &evhttp_connection_free });
      }
    }
  }

  void Post(const process::settings::Endpoint& aHost, const std::string& aPath,
            const nlohmann::json& aBody, ResponseCallback aOnResponse) override
  {
    const auto& connections = mConnections.at(aHost.ToString());
    evhttp_connection* connection = connections[mNextConnection++ % connections.size()].get();
    auto onResponse = std::make_unique<ResponseCallback>(std::move(aOnResponse));
    evhttp_request* request =
      evhttp_request_new(&PersistentControlTransport::OnResponse, onResponse.release());
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", aHost.ToString().c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    const std::string body = aBody.dump();
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, aPath.c_str());
  }

private:
  using Connection = std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)>;

  static void OnResponse(evhttp_request* aRequest, void* aOnResponse)
  {
    const std::unique_ptr<ResponseCallback> onResponse(static_cast<ResponseCallback*>(aOnResponse));
    if (aRequest == nullptr || evhttp_request_get_response_code(aRequest) == 0) {
      (*onResponse)(0, {});
      return;
    }
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    (*onResponse)(evhttp_request_get_response_code(aRequest),
                  nlohmann::json::parse(body, nullptr, false));
  }

  std::map<std::string, std::vector<Connection>> mConnections;
  std::size_t mNextConnection = 0;
};

/// Creates the announcer of upstream aNumber. Its first host depends on aNumber, so that all hosts
/// receive announcements.
std::unique_ptr<upstream::Announcer> MakeAnnouncer(time::LoopTimerService& aTimers,
                                                   upstream::ControlTransport& aCalls,
                                                   const upstream::UpstreamOptions& aOptions,
                                                   std::size_t aNumber)
{
  constexpr std::uint32_t kCacheTokens = 250'000;
  auto hosts = upstream::ParseEndpoints(aOptions.announceTo);
  const auto first = static_cast<std::ptrdiff_t>(aNumber % hosts.size());
  std::rotate(hosts.begin(), hosts.begin() + first, hosts.end());
  const auto started = static_cast<std::uint64_t>(aTimers.WallNow().time_since_epoch().count());
  upstream::AnnouncerOptions options{
    .hosts = std::move(hosts),
    .announcement = { .id = core::UpstreamId(aOptions.id + "-" + std::to_string(aNumber)),
                      .incarnation = core::Incarnation(started),
                      .service = core::ServiceId(aOptions.service),
                      .version = core::VersionId(aOptions.version),
                      .dataCentre = core::DataCentreId(aOptions.dataCentre),
                      .region = core::RegionId(aOptions.region),
                      .address = aOptions.address,
                      .port = 9,
                      .slots = aOptions.slots,
                      .cacheCapacity = { kCacheTokens } }
  };
  auto report = [sequence = std::uint64_t{ 0 }]() mutable -> nlohmann::json {
    return { { "load",
               { { "sequence", ++sequence },
                 { "age_ms", 0 },
                 { "running", sequence % 8 },
                 { "waiting", 0 },
                 { "queued_prefill", 0 } } },
             { "cache", nlohmann::json::array() } };
  };
  return std::make_unique<upstream::Announcer>(aTimers, aCalls, std::move(options), report);
}

void Run(const upstream::UpstreamOptions& aOptions, std::size_t aCount)
{
  time::LoopTimerService timers;
  PersistentControlTransport calls(timers.EventBase(),
                                   upstream::ParseEndpoints(aOptions.announceTo));
  std::vector<std::unique_ptr<upstream::Announcer>> upstreams;
  for (std::size_t i = 0; i < aCount; ++i) {
    upstreams.push_back(MakeAnnouncer(timers, calls, aOptions, i));
    upstreams.back()->Start();
  }
  timers.OnStopSignal([&timers] { timers.Stop(); });
  timers.Run();
}

} // namespace

/// Announces many upstreams and renews their leases with load reports. They serve no calls.
int main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  upstream::UpstreamOptions options;
  std::size_t count = 1;
  po::options_description description("ManyUpstreams: announces upstreams that serve no calls");
  upstream::AddOptions(description, options);
  description.add_options()("count", po::value(&count), "number of upstreams to announce");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return 2;
  }
  if (values.contains("help") || options.announceTo.empty()) {
    std::cout << description;
    return values.contains("help") ? 0 : 2;
  }
  Run(options, count);
  return 0;
}
