#include "TestFramework/upstream/StandInUpstream.h"

#include <boost/algorithm/string.hpp>
#include <spdlog/spdlog.h>

#include <cstdlib>

namespace cuminfield::test_framework::upstream {

namespace {

/// Hosts may still send requests for this long after the upstream was deregistered.
constexpr core::Duration kDeregisterGracePeriod = std::chrono::seconds(3);
constexpr core::Duration kIdlePollInterval = std::chrono::milliseconds(50);

FaultSettings ParseFaultsOrExit(const std::string& aText)
{
  const auto faults = ParseFaults(nlohmann::json::parse(aText, nullptr, false));
  if (!faults) {
    spdlog::error("--faults: {}", core::Describe(faults.error()));
    std::exit(2);
  }
  return faults.value();
}

} // namespace

void AddOptions(boost::program_options::options_description& aDescription,
                UpstreamOptions& aOptions)
{
  namespace po = boost::program_options;
  auto add = aDescription.add_options();
  add("help", "print this");
  add("address", po::value(&aOptions.address), "IP address to listen on");
  add("port", po::value(&aOptions.port), "port to listen on; 0 selects a free port");
  add("announce", po::value(&aOptions.announceTo), "control addresses of hosts: IP:PORT,IP:PORT");
  add("id", po::value(&aOptions.id), "name of this upstream");
  add("service", po::value(&aOptions.service), "service that it provides");
  add("version-name", po::value(&aOptions.version), "version of the service");
  add("data-centre", po::value(&aOptions.dataCentre), "data centre");
  add("region", po::value(&aOptions.region), "region");
  add("slots", po::value(&aOptions.slots), "concurrent requests at full speed");
  add("record", po::value(&aOptions.recordFile), "file to which each run is appended as JSON");
  add("faults", po::value(&aOptions.faultsJson), "JSON as in POST /faults");
  add("seed", po::value(&aOptions.seed), "seed of its random numbers");
  add("time-scale", po::value(&aOptions.timeScale), "0.1 runs ten times faster");
}

std::vector<process::settings::Endpoint> ParseEndpoints(const std::string& aText)
{
  std::vector<process::settings::Endpoint> endpoints;
  std::vector<std::string> parts;
  boost::split(parts, aText, boost::is_any_of(","), boost::token_compress_on);
  for (const std::string& it : parts) {
    if (it.empty()) {
      continue;
    }
    const auto colon = it.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::atoi(it.c_str() + colon + 1);
    if (port <= 0) {
      spdlog::error("'{}' is not an address; use IP:PORT", it);
      std::exit(2);
    }
    endpoints.push_back(
      { .address = it.substr(0, colon), .port = static_cast<std::uint16_t>(port) });
  }
  return endpoints;
}

StandInUpstream::StandInUpstream(time::LoopTimerService& aTimers, UpstreamOptions aOptions,
                                 core::Tokens aCacheCapacity, bool aSupportsResume)
  : mTimers(aTimers)
  , mOptions(std::move(aOptions))
  , mFaultInjector(ParseFaultsOrExit(mOptions.faultsJson), mOptions.seed)
  , mRunRecord(mOptions.id, mOptions.version, mOptions.recordFile)
  , mTransport(aTimers.EventBase())
  , mServer(aTimers.EventBase(), mOptions.address, mOptions.port,
            [this](const std::shared_ptr<http::Exchange>& aExchange) { OnRequest(aExchange); })
  , mAnnouncer(aTimers, mTransport, MakeAnnouncerOptions(aCacheCapacity, aSupportsResume),
               [this] { return MakeReport(); })
{
}

void StandInUpstream::Run()
{
  spdlog::info("listening id={} address={}:{}", mOptions.id, mOptions.address, mServer.Port());
  mTimers.OnStopSignal([this] { OnStopSignal(); });
  mAnnouncer.Start();
  mTimers.Run();
}

std::string StandInUpstream::GetRequestId(const http::Exchange& aExchange)
{
  const auto id = aExchange.Header("X-Request-Id");
  return id ? *id : mOptions.id + "-" + std::to_string(++mUnnamedRequests);
}

void StandInUpstream::RecordBegin(const http::Exchange& aExchange, const std::string& aRequestId,
                                  upstream::RunInfo aRun)
{
  aRun.requestId = aRequestId;
  aRun.key = aExchange.Header("Idempotency-Key").value_or("");
  aRun.method = aExchange.Method();
  aRun.path = aExchange.Path();
  mRunRecord.AddBegin(aRun, mTimers.WallNow());
}

void StandInUpstream::RecordEnd(const std::string& aRequestId, const std::string& aOutcome)
{
  mRunRecord.AddEnd(aRequestId, aOutcome, mTimers.WallNow());
}

void StandInUpstream::RejectRequest(http::Exchange& aExchange)
{
  aExchange.SetHeader("X-Outcome", "not-run");
  aExchange.Reply(503, R"({"detail":"refused; nothing ran"})");
}

core::Duration StandInUpstream::ScaleDuration(core::Duration aDuration) const
{
  const double scaled = static_cast<double>(aDuration.count()) * mOptions.timeScale;
  return core::Duration(static_cast<std::int64_t>(scaled));
}

void StandInUpstream::OnRequest(const std::shared_ptr<http::Exchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/record") {
    aExchange->Reply(200, mRunRecord.ToJson().dump());
    return;
  }
  if (path == "/health") {
    aExchange->Reply(200, "ready", "text/plain");
    return;
  }
  if (path == "/faults") {
    HandleSetFaults(*aExchange);
    return;
  }
  if (const auto id = aExchange->Header("X-Request-Id")) {
    aExchange->SetHeader("X-Request-Id", *id);
  }
  HandleCall(aExchange);
}

void StandInUpstream::HandleSetFaults(http::Exchange& aExchange)
{
  const auto faults = ParseFaults(nlohmann::json::parse(aExchange.Body(), nullptr, false));
  if (!faults) {
    aExchange.Reply(400, nlohmann::json{ { "detail", faults.error().message } }.dump());
    return;
  }
  mFaultInjector.SetSettings(faults.value());
  aExchange.Reply(200, "{}");
}

void StandInUpstream::OnStopSignal()
{
  if (mStopping) {
    mTimers.Stop();
    return;
  }
  mStopping = true;
  spdlog::info("leaving id={}", mOptions.id);
  mAnnouncer.Deregister([this] {
    const core::Duration grace =
      mOptions.announceTo.empty() ? core::Duration(0) : kDeregisterGracePeriod;
    mExitTimer = mTimers.ScheduleAfter(grace, [this] { ExitWhenIdle(); });
  });
}

void StandInUpstream::ExitWhenIdle()
{
  if (ActiveCount() == 0) {
    mTimers.Stop();
    return;
  }
  mExitTimer = mTimers.ScheduleAfter(kIdlePollInterval, [this] { ExitWhenIdle(); });
}

AnnouncerOptions StandInUpstream::MakeAnnouncerOptions(core::Tokens aCacheCapacity,
                                                       bool aSupportsResume) const
{
  const auto started = mTimers.WallNow().time_since_epoch();
  return { .hosts = ParseEndpoints(mOptions.announceTo),
           .announcement = { .id = core::UpstreamId(mOptions.id),
                             .incarnation =
                               core::Incarnation(static_cast<std::uint64_t>(started.count())),
                             .service = core::ServiceId(mOptions.service),
                             .version = core::VersionId(mOptions.version),
                             .dataCentre = core::DataCentreId(mOptions.dataCentre),
                             .region = core::RegionId(mOptions.region),
                             .address = mOptions.address,
                             .port = mServer.Port(),
                             .slots = mOptions.slots,
                             .cacheCapacity = aCacheCapacity,
                             .supportsResume = aSupportsResume } };
}

} // namespace cuminfield::test_framework::upstream
