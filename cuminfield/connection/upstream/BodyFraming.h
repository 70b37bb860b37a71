#pragma once

#include "cuminfield/connection/Http.h"

#include <optional>

namespace cuminfield::connection::upstream {

/// How the end of a response's body is marked (RFC 9112, 6.3).
enum class BodyFraming
{
  NoBody,          ///< The status allows none.
  Length,          ///< By Content-Length.
  Chunks,          ///< By the last chunk.
  ConnectionClose, ///< By the orderly end of the connection.
};

/// Determines how the end of a response's body is marked. Empty if the headers are ambiguous or
/// another reader could understand them otherwise: such a response could be cut, or joined to the
/// next one, without notice.
std::optional<BodyFraming> DetermineBodyFraming(int aStatus, const HttpHeaders& aHeaders);

} // namespace cuminfield::connection::upstream
