#pragma once

#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/forward/ForwardRequest.h"

#include <optional>

namespace cuminfield::request::forward {

/// The figures behind a dispatch decision.
struct PlacementBasis
{
  std::uint32_t localInFlight = 0;  ///< Requests of this host at the upstream, this one included.
  std::uint32_t remoteInFlight = 0; ///< Requests of all other hosts, as last reported.
  core::Duration remoteAge{ 0 };    ///< Age of remoteInFlight.
  core::Duration waitTime{ 0 };     ///< Since the request's arrival.
  std::size_t queuedRequests = 0;   ///< Requests still queued at this host.
};

/// Result of one attempt of a forwarded request, for metrics and for the evaluation of versions.
struct ForwardAttempt
{
  UpstreamAnnouncement upstream;
  AttemptOutcome outcome = AttemptOutcome::Succeeded;
  int status = 0;
  /// From sending the request to the first event or the complete response.
  std::optional<core::Duration> firstEventLatency;
  std::string reason; ///< Why the attempt broke off; empty if it ended otherwise.
};

/// Mean token interval over a few events of a stream, measured after its first event.
struct TokenIntervalSample
{
  std::uint32_t index = 0; ///< Number of the sample within its attempt, from 0.
  double tokenIntervalMs = 0;
};

/// How a forwarded request ended for its caller.
struct ForwardSummary
{
  int status = 0;          ///< 0 if no response was sent.
  bool isComplete = false; ///< The upstream's complete response was forwarded.
  bool callerDisconnected = false;
  std::uint32_t attempts = 0;
  std::string reason;        ///< Of a failure reported by this host.
  core::UpstreamId upstream; ///< Of the last attempt.
  /// From arrival to the first event or the complete response.
  std::optional<core::Duration> firstEventLatency;
  core::Duration totalTime{ 0 };
  core::Duration maxEventGap{ 0 };
  std::uint64_t eventCount = 0;
};

/// Receives the dispatches, attempts and ends of forwarded requests.
class ForwardObserver
{
public:
  virtual ~ForwardObserver() = default;
  virtual void OnDispatched(const ForwardRequest& aRequest, const UpstreamAnnouncement& aUpstream,
                            const PlacementBasis& aBasis) = 0;
  virtual void OnAttemptEnded(const ForwardRequest& aRequest, const ForwardAttempt& aAttempt) = 0;
  /// Called while the stream runs, so that a slow stream counts before it ends.
  virtual void OnTokenInterval(const ForwardRequest& aRequest,
                               const UpstreamAnnouncement& aUpstream,
                               const TokenIntervalSample& aSample) = 0;
  /// Called if the notice says more than those that the upstream has given before.
  virtual void OnUpstreamNotice(const UpstreamAnnouncement& aUpstream,
                                const UpstreamNotice& aNotice) = 0;
  virtual void OnEnded(const ForwardRequest& aRequest, const ForwardSummary& aSummary) = 0;
};

} // namespace cuminfield::request::forward
