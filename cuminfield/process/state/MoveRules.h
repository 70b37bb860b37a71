#pragma once

#include "cuminfield/process/state/state.pb.h"

#include <cstddef>
#include <cstdint>

/// Which steps a version move may take. Pure functions of the recorded state and the step.
namespace cuminfield::process::state {

/// Longest reason of a step.
inline constexpr std::size_t kMaxReason = 1024;

/// Largest share of traffic of an unproved version.
inline constexpr std::uint32_t kMaxCanaryPerMille = 50;

/// Done and undone moves never change again; another attempt takes another name.
bool IsFinal(proto::MoveState aState);

/// Whether a move may go from one state to the other. UNSPECIFIED: it has not begun.
bool IsLegal(proto::MoveState aFrom, proto::MoveState aTo);

/// Whether a version may have this share of traffic in the step's state.
bool IsShareAllowed(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

/// True when aStep is the one that led to aCurrent.
bool IsResent(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

/// ACCEPTED, or the first rule that aStep breaks; aRevision is the environment's.
proto::MoveVerdict CheckStep(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep,
                             std::uint64_t aRevision);

/// The record after an accepted step.
proto::MoveRecord AfterStep(const proto::MoveRecord& aCurrent, const proto::MoveStep& aStep);

} // namespace cuminfield::process::state
