#pragma once

#include "cuminfield/core/Ids.h"

#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// The state that a replicated log replicates. Must be deterministic: the same commands in the same
/// order give the same state and results on every host, so time and randomness must be part of the
/// commands.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  /// Applies a committed command once, in log order, and returns the result for its proposer.
  virtual std::string Apply(core::LogIndex aIndex, std::string_view aCommand) = 0;

  /// Runs a query on the applied state without changing it.
  virtual std::string Query(std::string_view aQuery) const = 0;

  /// Returns the complete state for a durable snapshot.
  virtual std::string Snapshot() const = 0;

  /// Replaces the state by that of a snapshot.
  virtual void Restore(std::string_view aSnapshot) = 0;
};

} // namespace cuminfield::process::log
