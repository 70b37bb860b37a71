#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/placement/UpstreamPacer.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace cuminfield::unit_tests {

/// Many hosts with backlogs and one upstream in virtual time. Each host has its own pacer. Sums of
/// responses, suspicions and heartbeats reach the hosts late.
class PacedHosts
{
public:
  struct Options
  {
    std::size_t hosts = 20;
    std::uint32_t slots = 7;
    core::Duration reportDelay = std::chrono::milliseconds(150);
    core::Duration streamDuration = std::chrono::milliseconds(1200);
    double coldPerSecond = 11;
  };

  explicit PacedHosts(const Options& aOptions);

  /// Lists hosts [aFirst, aEnd) of the cluster at these hosts.
  void SetMembers(std::size_t aFirst, std::size_t aEnd);
  void SetMembersAt(std::size_t aHost, std::size_t aFirst, std::size_t aEnd);

  void RunFor(core::Duration aDuration);

  /// Largest number of requests that arrived in any second since aSince.
  std::size_t MaxArrivalsPerSecond(core::Instant aSince) const;
  std::size_t ArrivalsSince(core::Instant aSince) const;
  std::size_t InFlight() const;
  std::size_t CountUnpaced();

  request::placement::UpstreamPacer& Pacer(std::size_t aHost) { return mHosts[aHost]->pacer; }
  core::Instant Now() const { return mNow; }

  bool isUp = true;
  bool sendsHeartbeats = true;
  core::Instant coldUntil{};
  /// First event latency relative to the prediction.
  std::function<double()> slowness = [] { return 1.0; };
  std::size_t firstDisconnected = SIZE_MAX; ///< From this host on, none receives messages.

  static const core::UpstreamId kUpstream;

private:
  struct Request
  {
    core::Instant firstEventAt{};
    core::Instant endsAt{};
    bool isSlow = false;
    bool isAnswered = false;
  };
  struct Host
  {
    explicit Host(const request::placement::UpstreamPacerSettings& aSettings)
      : pacer(aSettings)
    {
    }
    request::placement::UpstreamPacer pacer;
    std::vector<Request> requests;
    core::Instant ejectedUntil{};
    bool suspects = false;
  };
  struct Report
  {
    core::Instant at{};
    std::vector<request::placement::UpstreamPacer::AnswerSums> sums;
    std::size_t inFlight = 0;
    bool isSuspected = false;
  };

  void Step();
  void Serve(Host& aHost);
  void Send(Host& aHost);
  void ExchangeReports();
  void DeliverHeartbeats();

  Options mOptions;
  core::Random mRandom{ 7 };
  core::Instant mNow{ std::chrono::seconds(100) };
  std::vector<std::unique_ptr<Host>> mHosts;
  std::deque<Report> mReports;
  std::size_t mKnownInFlight = 0;
  std::uint64_t mSequence = 0;
  core::Instant mHeartbeatDue{};
  std::deque<core::Instant> mArrivals;
};

} // namespace cuminfield::unit_tests
