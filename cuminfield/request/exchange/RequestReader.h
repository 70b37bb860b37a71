#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/exchange/IncomingRequest.h"
#include "cuminfield/request/exchange/Problem.h"
#include "cuminfield/version/document/DocumentIndex.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cuminfield::request::exchange {

/// Parses callers' requests (headers, route and body) and validates them against a document.
class RequestReader
{
public:
  struct Options
  {
    core::HostId host;
    /// Incarnation of this host; makes request ids unique across restarts.
    std::uint64_t incarnation = 0;
    const core::TimerService& timers;
  };

  explicit RequestReader(Options aOptions);

  /// Returns the parsed request, or the problem to respond with (always not-run).
  std::variant<IncomingRequest, Problem> Read(connection::caller::CallerRequest aRequest,
                                              const version::document::DocumentIndex& aDocument);

  /// Returns a new unique request id.
  core::RequestId MakeRequestId();

  /// Returns the chained hashes of a prompt's blocks as defined in docs/Protocols.md.
  static std::vector<PrefixHash> HashPrefix(std::string_view aPrompt);

  /// Returns the Unix time in milliseconds from a UUID version 7 (RFC 9562), or nothing if aKey is
  /// not one.
  static std::optional<std::int64_t> ParseKeyTimestamp(std::string_view aKey);

private:
  Options mOptions;
  std::uint64_t mNextRequestNumber = 1;
};

} // namespace cuminfield::request::exchange
