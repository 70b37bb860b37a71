#pragma once

#include "cuminfield/process/state/state.pb.h"

#include <cstddef>
#include <cstdint>

/// Rules for the steps of a version move, as pure functions of the recorded state and the step.
namespace cuminfield::process::state {

inline constexpr std::size_t kMaxReasonBytes = 1024;

inline constexpr std::size_t kMaxDetailsBytes = 4096;

/// Maximum share of traffic of a version in the canary state, which is not yet proven.
inline constexpr std::uint32_t kMaxCanaryPerMille = 50;

/// Returns true for the states DONE and UNDONE, which never change again. A new attempt needs a
/// move with a new name.
bool IsFinal(proto::MoveState aState);

/// Returns true if a move may go from aFrom to aTo. UNSPECIFIED means that it has not begun.
bool IsTransitionAllowed(proto::MoveState aFrom, proto::MoveState aTo);

/// Returns true if the step's share of traffic is allowed in the step's state.
bool IsShareAllowed(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

/// Returns true if aStep is the step that led to aCurrent.
bool IsResent(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

/// Returns ACCEPTED or the verdict for the first rule that aStep violates. aRevision is the current
/// revision of the environment.
proto::MoveVerdict CheckStep(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep,
                             std::uint64_t aRevision);

/// Returns the record that results from an accepted step.
proto::MoveRecord MakeNextRecord(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

} // namespace cuminfield::process::state
