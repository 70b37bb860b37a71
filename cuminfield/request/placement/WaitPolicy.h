#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <map>

namespace cuminfield::request::placement {

/// Settings of WaitPolicy.
struct WaitPolicySettings
{
  /// Part of its caller's time that a request may wait: the rest is for a second try elsewhere.
  double maxWaitShare = 0.5;
  /// A request may wait this multiple of its target, if that is less.
  double maxWaitTargets = 2.0;
  /// Part of its remaining time that a rejected caller waits before it tries elsewhere, at most.
  double retryAfterShare = 0.33;
};

/// Requests of one rank of a service at one host or at all hosts.
struct RankLoad
{
  double requests = 0;      ///< In flight and waiting.
  double waiting = 0;       ///< Those of them that are not at an upstream.
  double donePerSecond = 0; ///< Requests that ended at an upstream in the last second.
};

/// The times of a request that its wait depends on.
struct RequestTimes
{
  core::Duration target{ 0 };      ///< From arrival to the first event.
  core::Duration deadline{ 0 };    ///< From arrival until the caller gives up.
  core::Duration serviceTime{ 0 }; ///< Expected from dispatch to the end of the response.
};

/// Decides how long the requests of one service may wait at their hosts. It applies to services
/// whose callers have hardly more time than the target, where a bound by the target alone leaves
/// the caller no time to go elsewhere. Does no I/O.
class WaitPolicy
{
public:
  explicit WaitPolicy(const WaitPolicySettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// How long after its arrival a request may be dispatched at the latest.
  core::Duration MaxWait(const RequestTimes& aTimes) const;

private:
  WaitPolicySettings mSettings;
};

} // namespace cuminfield::request::placement
