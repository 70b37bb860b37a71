#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <functional>
#include <string>

namespace cuminfield::process::log {

/// A replicated group as the rest of a host sees it, whether the host votes in it or not.
/// Owned by the loop's thread.
class Group
{
public:
  /// The state machine's answer; or Unavailable (surely not applied and never will be), or Timeout
  /// (may yet be applied). Called exactly once, never from inside the call that passed it.
  using Completion = std::function<void(core::Result<std::string>)>;

  virtual ~Group() = default;

  /// Commits a command and gives its answer. It may be applied twice when an answer is lost on the
  /// way, so commands must be idempotent by their own content.
  virtual void Propose(std::string aCommand, core::Duration aTimeout, Completion aDone) = 0;

  /// Asks for the answer to a query that reflects every command completed before the call
  /// (linearizable: the leader confirms that it still leads).
  virtual void Query(std::string aQuery, core::Duration aTimeout, Completion aDone) = 0;

  /// Leader as last heard; empty when unknown.
  virtual core::HostId Leader() const = 0;
};

} // namespace cuminfield::process::log
