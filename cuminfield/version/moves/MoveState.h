#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <string>

namespace cuminfield::version::moves {

/// Where a move stands.
enum class MovePhase
{
  Waiting,     ///< Its start time has not come.
  Loading,     ///< Upstreams of the new version are starting.
  Canary,      ///< A small share meets the new version, which is not proved yet.
  Advancing,   ///< Proved so far; the share grows by steps.
  Done,        ///< Final: the new version is the version in force.
  RollingBack, ///< Taken back: no share any more; its upstreams are being unloaded. Final but for
               ///< Undone.
  RolledBack,  ///< Final: the new version is gone.
};

/// The phase's name as operators read it.
const char* ToString(MovePhase aPhase);

/// True when the move has been taken back.
inline bool IsRollBack(MovePhase aPhase)
{
  return aPhase == MovePhase::RollingBack || aPhase == MovePhase::RolledBack;
}

/// True when the phase will not lead back to other shares.
inline bool IsFinal(MovePhase aPhase)
{
  return aPhase == MovePhase::Done || IsRollBack(aPhase);
}

/// All that the director commits of a move; a new leader goes on from it.
struct MoveState
{
  core::MoveId move;
  MovePhase phase = MovePhase::Waiting;
  std::uint32_t step = 0; ///< Steps taken after the canary.
  double share = 0.0;     ///< Of new requests, for the new version.
  std::uint64_t revision = 0;
  std::uint32_t incarnation =
    0;                          ///< Directors so far; each spends its own part of the error budget.
  core::WallTime canaryStart{}; ///< When the canary began; the plan counts from here.
  std::uint64_t evaluatedRequests = 0; ///< Requests to the new version that were judged.
  std::string reason;                  ///< For operators: why it stands where it stands.

  bool operator==(const MoveState&) const = default;
};

/// All that a data centre's judge commits of a move.
struct EvaluatorState
{
  core::MoveId move;
  std::uint32_t incarnation = 0; ///< Judges so far; each spends its own part of the error budget.
  bool bad = false;              ///< Taken back here; never falls back to false.
  std::string reason;

  bool operator==(const EvaluatorState&) const = default;
};

/// The share of the new version for the hosts of one data centre. Sent again every round; the
/// highest revision counts.
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
  double maxRequestsPerSecond =
    0.0; ///< Requests a host may send to an unproved version; 0: no bound.
};

/// The end of a move, from the director or one data centre's judge.
struct MoveVerdict
{
  core::MoveId move{};
  core::DataCentreId evaluator{}; ///< Empty: the director.
  bool bad = false;
  std::string reason{};
};

/// How many upstreams of a version one data centre should have.
struct CapacityTarget
{
  core::DataCentreId dataCentre;
  core::ServiceId service;
  core::VersionId version;
  std::uint32_t upstreams = 0; ///< Load or unload until there are this many.
};

} // namespace cuminfield::version::moves
