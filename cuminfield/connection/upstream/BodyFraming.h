#pragma once

#include "cuminfield/connection/Http.h"

#include <cstddef>
#include <optional>
#include <string_view>

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

/// Returns the size in bytes of the response that begins with a well-formed head, if it has no body
/// or announces a length. Does not check the headers as DetermineBodyFraming() does.
std::optional<std::size_t> FindResponseSize(std::string_view aHead);

} // namespace cuminfield::connection::upstream
