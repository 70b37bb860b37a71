#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/version/moves/MoveState.h"
#include "cuminfield/version/moves/ObservationReport.h"

#include <string>
#include <string_view>

namespace cuminfield::version::moves {

/// Protobuf encoding (moves.proto) of what hosts, judges and the director tell each other and
/// commit. Decoding fails with ErrorKind::Corrupt on bytes that are no such message.
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
