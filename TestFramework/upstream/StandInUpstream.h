#pragma once

#include "TestFramework/http/Server.h"
#include "TestFramework/time/LoopTimerService.h"
#include "TestFramework/upstream/Announcer.h"
#include "TestFramework/upstream/Faults.h"
#include "TestFramework/upstream/RunRecord.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::test_framework::upstream {

/// Command line options of all stand-ins.
struct UpstreamOptions
{
  std::string address = "127.0.0.1"; ///< `--address`.
  std::uint16_t port = 0;            ///< `--port`; 0 selects a free port.
  std::string announceTo;            ///< `--announce`: comma-separated control addresses.
  std::string id = "upstream";       ///< `--id`.
  std::string service = "service";   ///< `--service`.
  std::string version = "1";         ///< `--version-name`.
  std::string dataCentre = "local";  ///< `--data-centre`.
  std::string region = "local";      ///< `--region`.
  std::uint32_t slots = 8;           ///< `--slots`.
  std::string recordFile;            ///< `--record`: path of the run record.
  std::string faultsJson = "{}";     ///< `--faults`: JSON as for POST /faults.
  std::uint64_t seed = 1;            ///< `--seed`.
  double timeScale = 1;              ///< `--time-scale`: 0.1 runs ten times faster.
};

/// Adds these options to aDescription. Parsed values are stored in aOptions.
void AddOptions(boost::program_options::options_description& aDescription,
                UpstreamOptions& aOptions);

/// Parses `address:port,address:port`. Exits the program if the text is invalid.
std::vector<process::settings::Endpoint> ParseEndpoints(const std::string& aText);

/// Base class of all stand-ins: HTTP server, announcements, run record and fault injection. Handles
/// `GET /record`, `POST /faults` and `GET /health`; subclasses handle the calls of their service.
class StandInUpstream
{
public:
  StandInUpstream(time::LoopTimerService& aTimers, UpstreamOptions aOptions,
                  core::Tokens aCacheCapacity = { 0 }, bool aSupportsResume = false);
  virtual ~StandInUpstream() = default;
  StandInUpstream(const StandInUpstream&) = delete;
  StandInUpstream& operator=(const StandInUpstream&) = delete;

  /// Serves until SIGTERM, then deregisters, completes active requests and returns.
  void Run();

protected:
  /// Handles a call of the service.
  virtual void HandleCall(const std::shared_ptr<http::Exchange>& aExchange) = 0;
  /// Number of running and queued requests.
  virtual std::size_t ActiveCount() const = 0;
  /// Returns the members `load` and `cache` of a renewal.
  virtual nlohmann::json MakeReport() = 0;

  /// Records the start of the request of aExchange.
  void RecordBegin(const http::Exchange& aExchange, const std::string& aRequestId,
                   upstream::RunInfo aRun);
  /// Records the end of a request.
  void RecordEnd(const std::string& aRequestId, const std::string& aOutcome);
  /// Returns the request id, or a generated one if the request has none.
  std::string GetRequestId(const http::Exchange& aExchange);
  /// Responds with 503 and `X-Outcome: not-run`.
  static void RejectRequest(http::Exchange& aExchange);
  /// Applies the time scale to a duration.
  core::Duration ScaleDuration(core::Duration aDuration) const;

  time::LoopTimerService& mTimers;
  UpstreamOptions mOptions;
  FaultInjector mFaultInjector;
  RunRecord mRunRecord;

private:
  void OnRequest(const std::shared_ptr<http::Exchange>& aExchange);
  void HandleSetFaults(http::Exchange& aExchange);
  void OnStopSignal();
  void ExitWhenIdle();
  AnnouncerOptions MakeAnnouncerOptions(core::Tokens aCacheCapacity, bool aSupportsResume) const;

  HttpControlTransport mTransport;
  http::Server mServer;
  Announcer mAnnouncer;
  bool mStopping = false;
  std::uint64_t mUnnamedRequests = 0; ///< Number of requests without an id.
  core::TimerHandle mExitTimer;
};

} // namespace cuminfield::test_framework::upstream
