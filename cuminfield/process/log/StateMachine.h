#pragma once

#include "cuminfield/core/Ids.h"

#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// What a replicated log keeps. Must be deterministic: the same commands in the same order give
/// the same state and answers on every host, so time and randomness come inside the commands.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  /// Applies a committed command once, in log order, and returns the answer for its proposer.
  virtual std::string Apply(core::LogIndex aIndex, std::string_view aCommand) = 0;

  /// Answers a question from the applied state without changing it.
  virtual std::string Query(std::string_view aQuery) const = 0;

  /// The whole state, for a durable snapshot.
  virtual std::string Snapshot() const = 0;

  /// Replaces the state by a snapshot's.
  virtual void Restore(std::string_view aSnapshot) = 0;
};

} // namespace cuminfield::process::log
