#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Upstream.h"

#include <string>

namespace cuminfield::request {

/// Why a request was shed before any part of it reached an upstream.
enum class ShedReason
{
  Overload,   ///< No capacity for its tier, and no lower tier left to shed first.
  Deadline,   ///< It can no longer meet its deadline.
  NoUpstream, ///< No upstream of the service is available.
  /// No upstream of the service is in the regions in which it may be served.
  NoUpstreamInRegions,
  Evacuated, ///< The data centres of all upstreams that may serve it are evacuated.
  Shutdown,  ///< This host is shutting down.
  /// A part of its prompt crashes upstreams.
  Quarantined,
};

/// How one attempt at an upstream ended.
enum class AttemptOutcome
{
  Succeeded,
  Refused,       ///< Not run: the upstream rejected it.
  Unreachable,   ///< Not run: no connection could be established.
  Failed,        ///< The upstream responded with a server error, or not in time.
  BrokenOff,     ///< The response broke off or never came: the upstream may have crashed.
  RejectedInput, ///< The upstream blames the request (4xx); no evidence about its health.
  Cancelled,     ///< The caller disconnected or this host stopped.
};

/// True if the attempt ended without any part of the request having run.
inline bool HasNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::Refused || aOutcome == AttemptOutcome::Unreachable;
}

/// Receives the scheduler's decisions.
class SchedulerListener
{
public:
  virtual ~SchedulerListener() = default;

  /// The request must be sent to this upstream now. The listener reports the progress and outcome
  /// to the scheduler.
  virtual void OnDispatch(const core::RequestId& aRequest,
                          const UpstreamAnnouncement& aUpstream) = 0;

  /// The request must be answered with `not-run`. aRetryAfter: when a retry may find capacity.
  virtual void OnShed(const core::RequestId& aRequest, ShedReason aReason,
                      core::Duration aRetryAfter) = 0;
};

/// Chooses the version that serves a new request, by the shares that the version moves set.
/// aPoint is uniform in [0, 1) and fixed for each request.
class VersionChooser
{
public:
  virtual ~VersionChooser() = default;
  virtual core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                                 double aPoint) const = 0;
};

/// Admission control and routing of one host: decides when and where each request is dispatched,
/// and which requests are shed. Does no I/O: time comes from its TimerService, randomness from its
/// Random. Used only on the event loop's thread.
class Scheduler
{
public:
  virtual ~Scheduler() = default;

  /// Accepts a request. The decision may be delivered from inside this call or later.
  virtual void Submit(RequestSpec aSpec) = 0;

  /// Removes a request that has not been dispatched: its caller disconnected or the host cancelled
  /// it. No decision follows.
  virtual void Withdraw(const core::RequestId& aRequest) = 0;

  /// The first token (or first byte) of the response arrived.
  virtual void OnFirstToken(const core::RequestId& aRequest) = 0;

  /// Another token of the response arrived.
  virtual void OnToken(const core::RequestId& aRequest) = 0;

  /// The attempt ended. If nothing ran (see HasNotRun()), the request is scheduled again:
  /// dispatched to another upstream or shed.
  virtual void OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome) = 0;

  /// Adds an upstream, or updates it with a newer announcement.
  virtual void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream) = 0;

  /// Stops new work for an upstream that is leaving or has lost its lease.
  virtual void RemoveUpstream(const core::UpstreamId& aUpstream) = 0;

  virtual void OnLoadReport(const LoadReport& aReport) = 0;
  virtual void OnCacheEvent(const CacheEvent& aEvent) = 0;
};

} // namespace cuminfield::request
