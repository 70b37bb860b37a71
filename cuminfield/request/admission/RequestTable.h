#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/admission/FlatHashMap.h"
#include "cuminfield/request/routing/Fleet.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace cuminfield::request::admission {

/// Index of a request inside this process. Reused after the request has ended.
using RequestIndex = std::uint32_t;

enum class RequestPhase
{
  Free,       ///< The index is unused.
  Waiting,    ///< In a queue of this host.
  Dispatched, ///< In flight, no token received.
  Running,    ///< First token received.
};

/// State of one request inside the scheduler.
struct RequestState
{
  RequestSpec spec;
  RequestPhase phase = RequestPhase::Free;
  /// Incremented each time the index is reused or the request retried.
  std::uint32_t generation = 0;
  std::uint32_t workspaceIndex = 0; ///< Interned.
  routing::PoolIndex pool = 0;
  double versionPoint = 0;     ///< Hash of the id in [0, 1) that decides the version.
  core::Instant latestStart{}; ///< Dispatched later, it cannot meet its deadline at any upstream.
  std::uint32_t attempts = 0;
  routing::UpstreamIndex upstream = 0;
  core::Tokens uncachedTokens{ 0 }; ///< Prompt tokens predicted to miss the upstream's cache.
  core::Tokens tokensAhead{ 0 };    ///< Prompt tokens queued before this request at dispatch.
  core::Instant dispatchedAt{};
  core::Instant lastTokenAt{};
};

/// Requests of one host by index and by id. Allocates only when it grows.
class RequestTable
{
public:
  static constexpr RequestIndex kNone = 0xffffffff;

  /// Adds a request, whose id must not be in the table.
  RequestIndex Add(RequestSpec aSpec);

  /// Returns the index of the request, or kNone.
  RequestIndex Find(const core::RequestId& aRequest) const;

  void Remove(RequestIndex aIndex);

  RequestState& At(RequestIndex aIndex) { return mStates[aIndex]; }
  const RequestState& At(RequestIndex aIndex) const { return mStates[aIndex]; }

  std::size_t Size() const { return mIndexByIdHash.Size(); }

private:
  std::deque<RequestState> mStates; ///< A deque, so that references stay valid while it grows.
  std::vector<RequestIndex> mFreeIndices;
  FlatHashMap mIndexByIdHash;
};

} // namespace cuminfield::request::admission
