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

/// Reads callers' requests: headers, route, body, checked against a document.
class RequestReader
{
public:
  struct Options
  {
    core::HostId host;
    std::uint64_t incarnation = 0; ///< Differs for each life of the host: request ids never repeat.
    const core::TimerService& timers;
  };

  explicit RequestReader(Options aOptions);

  /// The request ready for the decisions, or the problem to answer it with (always not-run).
  std::variant<IncomingRequest, Problem> Read(connection::caller::CallerRequest aRequest,
                                              const version::document::DocumentIndex& aDocument);

  /// A new request id.
  core::RequestId MakeRequestId();

  /// Chained hashes of a prompt's blocks, as docs/Protocols.md defines them.
  static std::vector<PrefixHash> HashPrefix(std::string_view aPrompt);

  /// Milliseconds since the epoch that a UUID of version 7 carries (RFC 9562); nothing otherwise.
  static std::optional<std::int64_t> ParseKeyTimestamp(std::string_view aKey);

private:
  Options mOptions;
  std::uint64_t mNextRequestNumber = 1;
};

} // namespace cuminfield::request::exchange
