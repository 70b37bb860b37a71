#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <functional>
#include <string>

namespace cuminfield::process::log {

/// A replicated group as used by the rest of a host, whether or not the host votes in it. Used on
/// the event loop's thread only.
class Group
{
public:
  /// Receives the state machine's result or an error: Unavailable when the request was not applied
  /// and never will be, Timeout when it may still be applied. Called exactly once, never from
  /// inside the call that passed it.
  using Completion = std::function<void(core::Result<std::string>)>;

  virtual ~Group() = default;

  /// Commits a command and returns its result. A command whose reply is lost may be applied twice,
  /// so commands must be idempotent by their own content.
  virtual void Propose(std::string aCommand, core::Duration aTimeout, Completion aDone) = 0;

  /// Runs a query whose result reflects every command completed before the call (linearizable: the
  /// leader confirms that it still leads).
  virtual void Query(std::string aQuery, core::Duration aTimeout, Completion aDone) = 0;

  /// The leader as last reported; empty when unknown.
  virtual core::HostId Leader() const = 0;
};

} // namespace cuminfield::process::log
