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

/// The options that all stand-ins have.
struct UpstreamOptions
{
  std::string address = "127.0.0.1"; ///< `--address`.
  std::uint16_t port = 0;            ///< `--port`; 0 takes a free one.
  std::string announce;              ///< `--announce`: control addresses, separated by commas.
  std::string id = "upstream";       ///< `--id`.
  std::string service = "service";   ///< `--service`.
  std::string version = "1";         ///< `--version-name`.
  std::string dataCentre = "local";  ///< `--data-centre`.
  std::string region = "local";      ///< `--region`.
  std::uint32_t slots = 8;           ///< `--slots`.
  std::string record;                ///< `--record`: file of what it ran.
  std::string faults = "{}";         ///< `--faults`: JSON as in POST /faults.
  std::uint64_t seed = 1;            ///< `--seed`.
  double timeScale = 1;              ///< `--time-scale`: 0.1 runs ten times faster.
};

/// Describes the options above to the command line; parsed values go to aOptions.
void AddOptions(boost::program_options::options_description& aDescription,
                UpstreamOptions& aOptions);

/// `address:port,address:port` as endpoints. Ends the program on anything else.
std::vector<process::settings::Endpoint> ParseEndpoints(const std::string& aText);

/// What all stand-ins share: the server, announcing, the record and faults. A subclass answers the
/// calls of its service. `GET /record`, `POST /faults` and `GET /health` are answered here.
class Upstream
{
public:
  Upstream(time::LoopTimerService& aTimers, UpstreamOptions aOptions,
           core::Tokens aCacheCapacity = { 0 }, bool aResumes = false);
  virtual ~Upstream() = default;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// Serves until SIGTERM; then leaves, finishes what runs and returns.
  void Run();

protected:
  /// Answers a call of the service.
  virtual void Serve(const std::shared_ptr<http::Exchange>& aExchange) = 0;
  /// Requests that run or wait inside.
  virtual std::size_t Busy() const = 0;
  /// Members `load` and `cache` of a renewal.
  virtual nlohmann::json Report() = 0;

  /// Notes the begin of aExchange's request in the record.
  void RecordBegin(const http::Exchange& aExchange, const std::string& aId, upstream::Run aRun);
  /// Notes its end.
  void RecordEnd(const std::string& aRequestId, const std::string& aOutcome);
  /// The request's id, or one made up for a caller that names none.
  std::string IdOf(const http::Exchange& aExchange);
  /// Answers 503 with `X-Outcome: not-run`.
  static void Refuse(http::Exchange& aExchange);
  /// A duration of the service in real time.
  core::Duration Scaled(core::Duration aDuration) const;

  time::LoopTimerService& mTimers;
  UpstreamOptions mOptions;
  Faults mFaults;
  RunRecord mRecord;

private:
  void Received(const std::shared_ptr<http::Exchange>& aExchange);
  void SetFaults(http::Exchange& aExchange);
  void Stop();
  void ExitWhenIdle();
  AnnouncerOptions MakeAnnouncement(core::Tokens aCacheCapacity, bool aResumes) const;

  HttpControlCalls mCalls;
  http::Server mServer;
  Announcer mAnnouncer;
  bool mStopping = false;
  std::uint64_t mUnnamed = 0; ///< Requests that came without an id.
  core::TimerHandle mExit;
};

} // namespace cuminfield::test_framework::upstream
