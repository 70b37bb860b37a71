#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <string>

namespace cuminfield::version::moves {

/// Phase of a move.
enum class MovePhase
{
  Waiting,     ///< The start time has not been reached.
  Loading,     ///< Upstreams of the new version are loading.
  Canary,      ///< The new version gets a small share until it has proved itself.
  Advancing,   ///< No fault so far; the share grows in steps.
  Done,        ///< Final: the new version is in force.
  RollingBack, ///< The share is 0 and the upstreams of the new version are being unloaded. Only
               ///< RolledBack can follow.
  RolledBack,  ///< Final: the new version is unloaded.
};

/// Returns the phase's name as shown to operators.
const char* ToString(MovePhase aPhase);

/// True if the move is being or has been rolled back.
inline bool IsRollBack(MovePhase aPhase)
{
  return aPhase == MovePhase::RollingBack || aPhase == MovePhase::RolledBack;
}

/// True if the share can no longer change.
inline bool IsFinal(MovePhase aPhase)
{
  return aPhase == MovePhase::Done || IsRollBack(aPhase);
}

/// State of a move as committed by the coordinator. A new leader continues from it.
struct MoveState
{
  core::MoveId move;
  MovePhase phase = MovePhase::Waiting;
  std::uint32_t step = 0; ///< Steps taken after the canary.
  double share = 0.0;     ///< Fraction of new requests for the new version.
  std::uint64_t revision = 0;
  /// Number of earlier coordinators; each uses its own part of the error budget.
  std::uint32_t incarnation = 0;
  core::WallTime canaryStart{};        ///< Start of the canary, on which the plan is based.
  std::uint64_t evaluatedRequests = 0; ///< Requests to the new version.
  std::string reason;                  ///< Reason for the current state, for operators.

  bool operator==(const MoveState&) const = default;
};

/// State of a move as committed by a data centre's evaluator.
struct EvaluatorState
{
  core::MoveId move;
  /// Number of earlier evaluators; each uses its own part of the error budget.
  std::uint32_t incarnation = 0;
  bool bad = false; ///< The move was rolled back here; never reset.
  std::string reason;

  bool operator==(const EvaluatorState&) const = default;
};

/// Share of the new version for the hosts of one data centre. Sent every round; the highest
/// revision applies.
struct ShareUpdate
{
  core::MoveId move;
  core::ServiceId service;
  core::VersionId from;
  core::VersionId to;
  core::DataCentreId dataCentre;
  std::uint64_t revision = 0;
  MovePhase phase = MovePhase::Waiting;
  double share = 0.0;
  /// Limit for each host on requests to the new version; 0 means none.
  double maxRequestsPerSecond = 0.0;
};

/// Final result of a move, from the coordinator or the evaluator of a data centre.
struct MoveVerdict
{
  core::MoveId move{};
  core::DataCentreId evaluator{}; ///< Empty if sent by the coordinator.
  bool bad = false;
  std::string reason{};
};

/// Number of upstreams of a version that one data centre should have.
struct CapacityTarget
{
  core::DataCentreId dataCentre;
  core::ServiceId service;
  core::VersionId version;
  std::uint32_t upstreams = 0; ///< Upstreams are loaded or unloaded until this number is reached.
};

} // namespace cuminfield::version::moves
