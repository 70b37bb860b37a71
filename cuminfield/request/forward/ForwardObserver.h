#pragma once

#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/forward/ForwardRequest.h"

#include <optional>

namespace cuminfield::request::forward {

/// What decided where a request went.
struct PlacementBasis
{
  std::uint32_t localInFlight = 0;  ///< Requests of this host at the upstream, this one included.
  std::uint32_t remoteInFlight = 0; ///< Of all other hosts, as last heard.
  core::Duration remoteAge{ 0 };    ///< How old that figure is.
  core::Duration waitTime{ 0 };     ///< Since the request's arrival.
  std::size_t queuedRequests = 0;   ///< Requests that still wait here.
};

/// How a try of a forwarded request went, for the judgement of versions and for metrics.
struct ForwardAttempt
{
  UpstreamAnnouncement upstream;
  AttemptOutcome outcome = AttemptOutcome::Succeeded;
  int status = 0;
  std::optional<core::Duration>
    firstEventLatency; ///< From sending to the first event, or the whole answer.
};

/// A stretch of a stream after its first event.
struct TokenIntervalSample
{
  std::uint32_t index = 0;    ///< Number of the stretch in its try, from 0.
  double tokenIntervalMs = 0; ///< Time for one token.
};

/// How a forwarded request ended for its caller.
struct ForwardSummary
{
  int status = 0;          ///< 0: nothing was answered.
  bool isComplete = false; ///< The upstream's whole answer was passed on.
  bool callerDisconnected = false;
  std::uint32_t attempts = 0;
  std::string reason;        ///< Of a failure of ours.
  core::UpstreamId upstream; ///< Of the last try.
  std::optional<core::Duration>
    firstEventLatency; ///< From arrival to the first event, or the whole answer.
  core::Duration totalTime{ 0 };
  core::Duration maxEventGap{ 0 };
  std::uint64_t eventCount = 0;
};

/// Told of decisions, tries and ends of forwarded requests.
class ForwardObserver
{
public:
  virtual ~ForwardObserver() = default;
  virtual void OnDispatched(const ForwardRequest& aRequest, const UpstreamAnnouncement& aUpstream,
                            const PlacementBasis& aBasis) = 0;
  virtual void OnAttemptEnded(const ForwardRequest& aRequest, const ForwardAttempt& aTry) = 0;
  /// Told while the stream runs, so that one that is slow counts before it ends.
  virtual void OnTokenInterval(const ForwardRequest& aRequest,
                               const UpstreamAnnouncement& aUpstream,
                               const TokenIntervalSample& aPace) = 0;
  virtual void OnEnded(const ForwardRequest& aRequest, const ForwardSummary& aSummary) = 0;
};

} // namespace cuminfield::request::forward
