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
constexpr std::size_t kEnginePort = 70;
constexpr std::size_t kServicePort = 80;
constexpr std::size_t kRelayPort = 100;
constexpr core::Duration kStartLimit = std::chrono::seconds(40);
constexpr core::Duration kEndLimit = std::chrono::seconds(60);
constexpr core::Duration kPoll = std::chrono::milliseconds(200);

constexpr const char* kMix = R"([
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
                                          mOptions.portBase, Port(kRelayPort));
  if (std::system(command.c_str()) != 0) { // NOLINT(cert-env33-c): the project's own script
    return false;
  }
  StartRelays();
  for (std::size_t i = 0; i < kHosts.size(); ++i) {
    StartHost(i);
  }
  StartUpstreams();
  return ApplyFirstDocument();
}

void Cluster::StartHost(std::size_t aHost)
{
  const std::string id = kHosts.at(aHost);
  mProcesses.Start(id, { mOptions.build + "/cuminfield", "serve", "--settings",
                         mOptions.folder + "/" + id + ".ini" });
}

void Cluster::StartCallers(const std::string& aName,
                           const std::vector<std::string>& aExtraArguments)
{
  std::vector<std::string> command = { mOptions.build + "/LoadClient",
                                       "--hosts",
                                       CallerHosts(),
                                       "--outcomes",
                                       mOptions.folder + "/outcomes.jsonl",
                                       "--mix",
                                       kMix,
                                       "--silence",
                                       "6000" };
  command.insert(command.end(), aExtraArguments.begin(), aExtraArguments.end());
  mProcesses.Start(aName, command);
}

bool Cluster::EndCallers(const std::string& aName)
{
  mProcesses.Signal(aName, SIGTERM);
  const core::Instant deadline = mTimers.Now() + kEndLimit;
  while (mProcesses.Running(aName) && mTimers.Now() < deadline) {
    mTimers.RunFor(kPoll);
  }
  return !mProcesses.Running(aName);
}

void Cluster::Cut(const std::function<bool(std::size_t, std::size_t)>& aIsBlocked)
{
  for (std::size_t i = 0; i < kHosts.size(); ++i) {
    for (std::size_t j = 0; j < kHosts.size(); ++j) {
      if (i != j) {
        mRelays[i * kHosts.size() + j]->Cut(aIsBlocked(i, j), aIsBlocked(j, i));
      }
    }
  }
}

http::ClientResponse Cluster::Ask(std::size_t aHost, const std::string& aMethod,
                                  const std::string& aTarget, const std::string& aBody,
                                  core::Duration aTimeout)
{
  return AskAt(Control(aHost), aMethod, aTarget, aBody, aTimeout);
}

http::ClientResponse Cluster::AskAt(const process::settings::Endpoint& aTo,
                                    const std::string& aMethod, const std::string& aTarget,
                                    const std::string& aBody, core::Duration aTimeout)
{
  http::ClientResponse result;
  const http::ClientRequest request{ .to = aTo,
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
  for (std::size_t k = 0; k < kCentres.size(); ++k) {
    for (const std::size_t it : { kEnginePort, kServicePort }) {
      AskAt({ .port = Port(it + k) }, "POST", "/faults", aFaults, std::chrono::seconds(2));
    }
  }
}

std::string Cluster::Document(std::uint64_t aWeight) const
{
  std::ifstream file("Build/samples/trial.ini");
  std::stringstream text;
  text << file.rdbuf();
  std::string document = text.str();
  const std::string weight = "weight = 2";
  document.replace(document.find(weight), weight.size(), fmt::format("weight = {}", aWeight));
  return document;
}

std::uint64_t Cluster::RevisionAt(std::size_t aHost)
{
  const auto response = Ask(aHost, "GET", "/documents/trial", "", std::chrono::seconds(1));
  const std::string tag = response.status == 200 ? response.Header("ETag") : "";
  return tag.size() < 3 ? 0 : std::strtoull(tag.c_str() + 1, nullptr, 10);
}

std::string Cluster::DataFolder(std::size_t aHost) const
{
  return mOptions.folder + "/" + kHosts.at(aHost) + ".data";
}

process::settings::Endpoint Cluster::Control(std::size_t aHost) const
{
  return { .port = Port(kPortsPerHost * aHost + 1) };
}

std::size_t Cluster::CentreOf(std::size_t aHost)
{
  switch (kHosts.at(aHost)[0]) {
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
  for (std::size_t i = 0; i < kHosts.size(); ++i) {
    for (std::size_t j = 0; j < kHosts.size(); ++j) {
      const process::settings::Endpoint listen{ .port = Port(kRelayPort + kHosts.size() * i + j) };
      const process::settings::Endpoint target{ .port = Port(kPortsPerHost * j + 2) };
      mRelays.push_back(std::make_unique<relay::Relay>(mTimers.EventBase(), listen, target));
    }
  }
}

void Cluster::StartUpstreams()
{
  for (std::size_t k = 0; k < kCentres.size(); ++k) {
    std::string announce;
    for (std::size_t i = 0; i < kHosts.size(); ++i) {
      if (CentreOf(i) == k) {
        announce += Control(i).ToString();
        announce += ",";
      }
    }
    const std::string centre = kCentres.at(k);
    const auto start = [&](const std::string& aProgram, const std::string& aService,
                           std::size_t aPort) {
      const std::string id = fmt::format("{}-{}", aService, centre);
      mProcesses.Start(id, { mOptions.build + "/" + aProgram, "--id", id, "--service", aService,
                             "--version-name", "v1", "--announce", announce, "--data-centre",
                             centre, "--region", centre.substr(0, centre.find('-')), "--port",
                             std::to_string(Port(aPort + k)), "--record",
                             mOptions.folder + "/" + id + ".record", "--seed",
                             std::to_string(mOptions.seed + k) });
    };
    start("StandInEngine", "taxateur", kEnginePort);
    start("StandInService", "kassa", kServicePort);
  }
}

bool Cluster::ApplyFirstDocument()
{
  const core::Instant deadline = mTimers.Now() + kStartLimit;
  const std::string target = "/documents/trial?base=0&operator=prove"
                             "&request=01900000-0000-7000-8000-000000000001";
  while (mTimers.Now() < deadline) {
    if (Ask(0, "PUT", target, Document(2)).status == 200) {
      return true;
    }
    mTimers.RunFor(kPoll);
  }
  return false;
}

std::string Cluster::CallerHosts() const
{
  std::string hosts;
  for (std::size_t i = 0; i < kHosts.size(); ++i) {
    hosts += fmt::format("127.0.0.1:{},", Port(kPortsPerHost * i));
  }
  return hosts;
}

std::uint16_t Cluster::Port(std::size_t aOffset) const
{
  return static_cast<std::uint16_t>(mOptions.portBase + aOffset);
}

} // namespace cuminfield::test_framework::prove
