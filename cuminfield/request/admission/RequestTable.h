#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/admission/FlatHashMap.h"
#include "cuminfield/request/routing/Fleet.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace cuminfield::request::admission {

/// Small integer that stands for one request inside one process; used again after its end.
using RequestIndex = std::uint32_t;

/// How far a request has come.
enum class RequestPhase
{
  Free,       ///< The index stands for no request.
  Waiting,    ///< In a queue of this host.
  Dispatched, ///< Dispatched, no token yet.
  Running,    ///< Its first token has come.
};

/// One request inside the scheduler.
struct RequestState
{
  RequestSpec spec;
  RequestPhase phase = RequestPhase::Free;
  std::uint32_t generation = 0;     ///< Grows with each use of the index.
  std::uint32_t workspaceIndex = 0; ///< Interned.
  routing::PoolIndex pool = 0;
  double versionPoint = 0;     ///< In [0, 1), from the id: decides the version.
  core::Instant latestStart{}; ///< Later than this it cannot meet its deadline anywhere.
  std::uint32_t attempts = 0;
  routing::UpstreamIndex upstream = 0;
  core::Tokens uncachedTokens{ 0 }; ///< Prompt tokens the upstream was predicted to compute.
  core::Tokens tokensAhead{ 0 };    ///< Prompt tokens ahead of them at dispatch.
  core::Instant dispatchedAt{};
  core::Instant lastTokenAt{};
};

/// The requests of one host by index and by id. Allocates only while it grows.
class RequestTable
{
public:
  static constexpr RequestIndex kNone = 0xffffffff;

  /// Takes a request in; its id must be new.
  RequestIndex Add(RequestSpec aSpec);

  /// The index of an id, or kNone.
  RequestIndex Find(const core::RequestId& aRequest) const;

  /// Forgets a request.
  void Remove(RequestIndex aIndex);

  RequestState& At(RequestIndex aIndex) { return mStates[aIndex]; }
  const RequestState& At(RequestIndex aIndex) const { return mStates[aIndex]; }

  std::size_t Size() const { return mIndexByIdHash.Size(); }

private:
  std::deque<RequestState> mStates; ///< References stay valid while it grows.
  std::vector<RequestIndex> mFreeIndices;
  FlatHashMap mIndexByIdHash; ///< By the hash of the id.
};

} // namespace cuminfield::request::admission
