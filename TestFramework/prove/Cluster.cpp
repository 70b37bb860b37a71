#include "TestFramework/prove/Cluster.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminfield::test_framework::prove {

namespace {

constexpr std::size_t kPortsPerHost = 10;
constexpr std::size_t kEnginePortOffset = 70;
constexpr std::size_t kServicePortOffset = 80;
constexpr std::size_t kRelayPortOffset = 100;
constexpr core::Duration kStartTimeout = std::chrono::seconds(40);
constexpr core::Duration kStopTimeout = std::chrono::seconds(60);
constexpr core::Duration kPollInterval = std::chrono::milliseconds(200);

constexpr const char* kRequestMix = R"([
  {"weight":4,"kind":"payout","tier":"standard","workspace":"boekhandel-gent"},
  {"weight":4,"kind":"payout","tier":"standard","workspace":"boekhandel-luik"},
  {"weight":4,"kind":"payout","tier":"standard","workspace":"boekhandel-elsene"},
  {"weight":2,"kind":"completion","tier":"slow","workspace":"boekhandel-gent","keyed":true,
   "prompt":[200,1000],"tokens":[40,80]},
  {"weight":2,"kind":"completion","tier":"slow","workspace":"boekhandel-elsene","keyed":true,
   "prompt":[200,1000],"tokens":[40,80]},
  {"weight":3,"kind":"completion","tier":"quick","workspace":"boekhandel-luik"},
  {"weight":2,"kind":"chat","tier":"quick","workspace":"boekhandel-gent","stream":false},
  {"weight":2,"kind":"stock","tier":"standard","workspace":"boekhandel-luik"}])";

} // namespace

Cluster::Cluster(time::LoopTimerService& aTimers, ClusterOptions aOptions)
  : mTimers(aTimers)
  , mOptions(std::move(aOptions))
  , mClient(aTimers.EventBase())
  , mProcesses(mOptions.folder)
{
}

bool Cluster::Start()
{
  std::filesystem::remove_all(mOptions.folder);
  std::filesystem::create_directories(mOptions.folder);
  const std::string command = fmt::format("Build/samples/hosts.sh {} {} {}", mOptions.folder,
                                          mOptions.firstPort, PortAt(kRelayPortOffset));
  if (std::system(command.c_str()) != 0) { // NOLINT(cert-env33-c): the project's own script
    return false;
  }
  StartRelays();
  for (std::size_t i = 0; i < kHostIds.size(); ++i) {
    StartHost(i);
  }
  StartUpstreams();
  return ApplyFirstDocument();
}

void Cluster::StartHost(std::size_t aHost)
{
  const std::string id = kHostIds.at(aHost);
  mProcesses.Start(id, { mOptions.buildFolder + "/cuminfield", "serve", "--settings",
                         mOptions.folder + "/" + id + ".ini" });
}

void Cluster::StartCallers(const std::string& aName,
                           const std::vector<std::string>& aExtraArguments)
{
  std::vector<std::string> command = { mOptions.buildFolder + "/LoadClient",
                                       "--hosts",
                                       CallerEndpoints(),
                                       "--outcomes",
                                       mOptions.folder + "/outcomes.jsonl",
                                       "--mix",
                                       kRequestMix,
                                       "--silence",
                                       "6000" };
  command.insert(command.end(), aExtraArguments.begin(), aExtraArguments.end());
  mProcesses.Start(aName, command);
}

bool Cluster::StopCallers(const std::string& aName)
{
  mProcesses.SendSignal(aName, SIGTERM);
  const core::Instant deadline = mTimers.Now() + kStopTimeout;
  while (mProcesses.IsRunning(aName) && mTimers.Now() < deadline) {
    mTimers.RunFor(kPollInterval);
  }
  return !mProcesses.IsRunning(aName);
}

void Cluster::BlockLinks(const std::function<bool(std::size_t, std::size_t)>& aIsBlocked)
{
  for (std::size_t i = 0; i < kHostIds.size(); ++i) {
    for (std::size_t j = 0; j < kHostIds.size(); ++j) {
      if (i != j) {
        mRelays[i * kHostIds.size() + j]->SetBlocked(aIsBlocked(i, j), aIsBlocked(j, i));
      }
    }
  }
}

http::ClientResponse Cluster::SendRequest(std::size_t aHost, const std::string& aMethod,
                                          const std::string& aTarget, const std::string& aBody,
                                          core::Duration aTimeout)
{
  return SendRequestTo(ControlEndpoint(aHost), aMethod, aTarget, aBody, aTimeout);
}

http::ClientResponse Cluster::SendRequestTo(const process::settings::Endpoint& aTo,
                                            const std::string& aMethod, const std::string& aTarget,
                                            const std::string& aBody, core::Duration aTimeout)
{
  http::ClientResponse result;
  const http::ClientRequest request{ .endpoint = aTo,
                                     .method = aMethod,
                                     .target = aTarget,
                                     .headers = {},
                                     .body = aBody,
                                     .timeout = aTimeout };
  mClient.Send(request, [&](const http::ClientResponse& aResponse) {
    result = aResponse;
    mTimers.Stop();
  });
  mTimers.Run();
  return result;
}

void Cluster::SetFaults(const std::string& aFaults)
{
  for (std::size_t k = 0; k < kDataCentres.size(); ++k) {
    for (const std::size_t it : { kEnginePortOffset, kServicePortOffset }) {
      SendRequestTo({ .port = PortAt(it + k) }, "POST", "/faults", aFaults,
                    std::chrono::seconds(2));
    }
  }
}

std::string Cluster::MakeDocument(std::uint64_t aWeight) const
{
  std::ifstream file("Build/samples/trial.ini");
  std::stringstream text;
  text << file.rdbuf();
  std::string document = text.str();
  const std::string weight = "weight = 2";
  document.replace(document.find(weight), weight.size(), fmt::format("weight = {}", aWeight));
  return document;
}

std::uint64_t Cluster::GetRevision(std::size_t aHost)
{
  const auto response = SendRequest(aHost, "GET", "/documents/trial", "", std::chrono::seconds(1));
  const std::string tag = response.status == 200 ? response.Header("ETag") : "";
  return tag.size() < 3 ? 0 : std::strtoull(tag.c_str() + 1, nullptr, 10);
}

std::string Cluster::DataFolder(std::size_t aHost) const
{
  return mOptions.folder + "/" + kHostIds.at(aHost) + ".data";
}

process::settings::Endpoint Cluster::ControlEndpoint(std::size_t aHost) const
{
  return { .port = PortAt(kPortsPerHost * aHost + 1) };
}

std::size_t Cluster::DataCentreOf(std::size_t aHost)
{
  switch (kHostIds.at(aHost)[0]) {
    case 'g':
      return 0;
    case 'l':
      return 1;
    default:
      return 2;
  }
}

void Cluster::StartRelays()
{
  for (std::size_t i = 0; i < kHostIds.size(); ++i) {
    for (std::size_t j = 0; j < kHostIds.size(); ++j) {
      const process::settings::Endpoint listen{ .port = PortAt(kRelayPortOffset +
                                                               kHostIds.size() * i + j) };
      const process::settings::Endpoint target{ .port = PortAt(kPortsPerHost * j + 2) };
      mRelays.push_back(std::make_unique<relay::Relay>(mTimers.EventBase(), listen, target));
    }
  }
}

void Cluster::StartUpstreams()
{
  for (std::size_t k = 0; k < kDataCentres.size(); ++k) {
    std::string announce;
    for (std::size_t i = 0; i < kHostIds.size(); ++i) {
      if (DataCentreOf(i) == k) {
        announce += ControlEndpoint(i).ToString();
        announce += ",";
      }
    }
    const std::string centre = kDataCentres.at(k);
    const auto start = [&](const std::string& aProgram, const std::string& aService,
                           std::size_t aPort) {
      const std::string id = fmt::format("{}-{}", aService, centre);
      mProcesses.Start(
        id, { mOptions.buildFolder + "/" + aProgram, "--id", id, "--service", aService,
              "--version-name", "v1", "--announce", announce, "--data-centre", centre, "--region",
              centre.substr(0, centre.find('-')), "--port", std::to_string(PortAt(aPort + k)),
              "--record", mOptions.folder + "/" + id + ".record", "--seed",
              std::to_string(mOptions.seed + k) });
    };
    start("StandInEngine", "taxateur", kEnginePortOffset);
    start("StandInService", "kassa", kServicePortOffset);
  }
}

bool Cluster::ApplyFirstDocument()
{
  const core::Instant deadline = mTimers.Now() + kStartTimeout;
  const std::string target = "/documents/trial?base=0&operator=prove"
                             "&request=01900000-0000-7000-8000-000000000001";
  while (mTimers.Now() < deadline) {
    if (SendRequest(0, "PUT", target, MakeDocument(2)).status == 200) {
      return true;
    }
    mTimers.RunFor(kPollInterval);
  }
  return false;
}

std::string Cluster::CallerEndpoints() const
{
  std::string hosts;
  for (std::size_t i = 0; i < kHostIds.size(); ++i) {
    hosts += fmt::format("127.0.0.1:{},", PortAt(kPortsPerHost * i));
  }
  return hosts;
}

std::uint16_t Cluster::PortAt(std::size_t aOffset) const
{
  return static_cast<std::uint16_t>(mOptions.firstPort + aOffset);
}

} // namespace cuminfield::test_framework::prove
