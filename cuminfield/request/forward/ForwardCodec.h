#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/request/Upstream.h"
#include "cuminfield/request/forward/ForwardRequest.h"
#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cuminfield::request::forward {

/// An upstream's load as it told it with an answer.
struct ReportedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// The words of the deployment's callers and upstreams: what their headers mean.
class ForwardCodec
{
public:
  virtual ~ForwardCodec() = default;

  /// The request with all that decisions need, or the refusal that it gets.
  virtual std::variant<ForwardRequest, ForwardFailure> ParseRequest(
    connection::caller::CallerRequest aRequest,
    const version::catalogue::CatalogueIndex& aCatalogue, core::Instant aNow) const = 0;

  /// Headers for the upstream, besides the request's id. aLeft is how long it may work on it;
  /// aAfterEvent is the last event that the caller has of a stream taken up again.
  virtual connection::HttpHeaders MakeUpstreamHeaders(const ForwardRequest& aRequest,
                                                      const UpstreamAnnouncement& aUpstream,
                                                      core::Duration aLeft,
                                                      const std::string& aAfterEvent) const = 0;

  /// The upstream's headers that its answer keeps towards the caller.
  virtual connection::HttpHeaders MakeCallerHeaders(
    const connection::HttpHeaders& aHeaders) const = 0;

  /// True when the upstream promises that it did not run the request and never will.
  virtual bool IsNotRunResponse(int aStatus, const connection::HttpHeaders& aHeaders) const = 0;

  /// True when the upstream at that address is another one than was meant.
  virtual bool IsWrongUpstreamResponse(int aStatus,
                                       const connection::HttpHeaders& aHeaders) const = 0;

  virtual std::optional<ReportedLoad> ParseLoad(const connection::HttpHeaders& aHeaders) const = 0;

  /// Headers of an answer of our own.
  virtual connection::HttpHeaders MakeFailureHeaders(const core::RequestId& aId,
                                                     const ForwardFailure& aFailure) const = 0;
};

} // namespace cuminfield::request::forward
