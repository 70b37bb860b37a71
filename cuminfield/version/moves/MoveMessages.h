#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/version/moves/MoveState.h"
#include "cuminfield/version/moves/ObservationReport.h"

#include <string>
#include <string_view>

namespace cuminfield::version::moves {

/// Protobuf encoding (moves.proto) of the messages between hosts, evaluators and the coordinator,
/// and of the states that they commit. Decoding invalid bytes fails with ErrorKind::Corrupt.
std::string Encode(const ObservationReport& aReport);
std::string Encode(const ShareUpdate& aUpdate);
std::string Encode(const MoveVerdict& aVerdict);
std::string Encode(const MoveState& aState);
std::string Encode(const EvaluatorState& aState);

core::Result<ObservationReport> DecodeReport(std::string_view aBytes);
core::Result<ShareUpdate> DecodeShareUpdate(std::string_view aBytes);
core::Result<MoveVerdict> DecodeVerdict(std::string_view aBytes);
core::Result<MoveState> DecodeMoveState(std::string_view aBytes);
core::Result<EvaluatorState> DecodeEvaluatorState(std::string_view aBytes);

} // namespace cuminfield::version::moves
