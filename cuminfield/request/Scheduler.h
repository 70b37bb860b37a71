#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Upstream.h"

#include <string>

namespace cuminfield::request {

/// Why a request was turned away before anything of it reached an upstream.
enum class ShedReason
{
  Overload,   ///< No room for its tier, and no lower tier left to shed first.
  Deadline,   ///< It can no longer be in time.
  NoUpstream, ///< No upstream of the service is in reach.
  Shutdown,   ///< This host is stopping.
};

/// How one try at an upstream ended.
enum class AttemptOutcome
{
  Succeeded,
  Refused,       ///< Nothing ran: the upstream said so.
  Unreachable,   ///< Nothing ran: no connection.
  Failed,        ///< The upstream answered with a fault of its own, or fell silent midway.
  RejectedInput, ///< The upstream blames the request (4xx); says nothing about its health.
  Cancelled,     ///< The caller left.
};

/// True when a try ended without anything of the request having run.
inline bool HasNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::Refused || aOutcome == AttemptOutcome::Unreachable;
}

/// Receives the scheduler's decisions.
class SchedulerListener
{
public:
  virtual ~SchedulerListener() = default;

  /// Send this request to this upstream now. The listener reports back what becomes of it.
  virtual void OnDispatch(const core::RequestId& aRequest,
                          const UpstreamAnnouncement& aUpstream) = 0;

  /// Answer this request `not-run`. aRetryAfter is when a new try may find room.
  virtual void OnShed(const core::RequestId& aRequest, ShedReason aReason,
                      core::Duration aRetryAfter) = 0;
};

/// Share of a service's new requests that each version may get, as the version moves decide.
/// Called once per request with a number uniform in [0, 1) derived from the request's id.
class VersionChooser
{
public:
  virtual ~VersionChooser() = default;
  virtual core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                                 double aPoint) const = 0;
};

/// Admission and routing of one host: decides which request goes where and when, and which is
/// turned away. Free of I/O: time comes from its TimerService, randomness from its Random.
/// Owned by the loop's thread.
class Scheduler
{
public:
  virtual ~Scheduler() = default;

  /// Takes a request in. Its decision may come at once (from inside the call) or later.
  virtual void Submit(RequestSpec aSpec) = 0;

  /// The request's caller left or the host withdrew it before dispatch; no decision comes.
  virtual void Withdraw(const core::RequestId& aRequest) = 0;

  /// The upstream's first token (or first byte) for the request arrived.
  virtual void OnFirstToken(const core::RequestId& aRequest) = 0;

  /// One more token of the answer arrived.
  virtual void OnToken(const core::RequestId& aRequest) = 0;

  /// The try ended. After Refused the request is decided on again: dispatched elsewhere or shed.
  virtual void OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome) = 0;

  /// An upstream is known, or known anew with other facts.
  virtual void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream) = 0;

  /// No new work for this upstream: it leaves or its lease is lost.
  virtual void RemoveUpstream(const core::UpstreamId& aUpstream) = 0;

  virtual void OnLoadReport(const LoadReport& aReport) = 0;
  virtual void OnCacheEvent(const CacheEvent& aEvent) = 0;
};

} // namespace cuminfield::request
