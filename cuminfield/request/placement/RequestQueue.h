#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace cuminfield::request::placement {

/// Number of distinct ranks; less urgent ranks are treated as the last.
inline constexpr std::size_t kRankCount = 32;

/// A request waiting to be dispatched.
struct QueuedRequest
{
  core::RequestId id;
  std::uint32_t rank = 0;
  bool isTopPriority = false; ///< Of the most urgent rank, or resumed.
  core::Instant arrival{};
  core::Instant latestOnTimeDispatch{}; ///< If dispatched later, its target is probably missed.
  core::Instant expiresAt{};            ///< Shed at this time.
  core::WorkspaceId workspace{};
  double cost = 1; ///< Service that it takes, relative to the share of its workspace.
};

/// Queue of the requests of one service at this host. Serves requests that can still meet their
/// target before late ones, then by rank, then by arrival.
///
/// In a burst, first-in-first-out order would make every request late once the wait exceeds the
/// target. Serving on-time requests first keeps the newest of them on time; late requests get the
/// remaining capacity.
///
/// With fair order, the requests of one rank and lateness are served by start-time fair queueing
/// over workspaces: a workspace that sends many times its usual waits behind itself.
class RequestQueue
{
public:
  void SetFairOrder(bool aIsFair) { mIsFair = aIsFair; }

  /// The part of a rank's requests, with a new one of the workspace, that are served up to the new
  /// one. Late requests are served after it.
  double PartUpTo(std::uint32_t aRank, const core::WorkspaceId& aWorkspace) const;
  void Add(const QueuedRequest& aRequest);
  void Remove(const core::RequestId& aId);

  /// Offers the requests to aServe in service order and removes those for which it returns true. If
  /// a request isn't served, a few behind it in its rank are still offered, as they may need less.
  void ServeInOrder(core::Instant aNow, const std::function<bool(const QueuedRequest&)>& aServe);

  /// Does the same with the on-time requests of one rank.
  void ServeRank(std::uint32_t aRank, core::Instant aNow,
                 const std::function<bool(const QueuedRequest&)>& aServe);

  /// Removes the requests that have waited too long, then calls aShed for each.
  void RemoveExpired(core::Instant aNow, const std::function<void(const QueuedRequest&)>& aShed);

  /// Calls aVisit for each request that can no longer meet its target.
  void VisitLate(core::Instant aNow, const std::function<void(const QueuedRequest&)>& aVisit);

  /// Number of requests that could meet their target when the queue was last served.
  std::size_t OnTimeCount() const;

  /// Number of requests that would be served before a new on-time request of this rank.
  std::size_t CountAhead(std::uint32_t aRank) const;

  std::size_t Size() const;

  /// Number of queued requests of this rank.
  std::size_t CountOfRank(std::uint32_t aRank) const;

private:
  static std::size_t RankIndex(std::uint32_t aRank);
  /// Service received by the workspaces of one rank, in virtual time.
  struct FairOrder
  {
    double virtualTime = 0; ///< Start of the request served last.
    /// Ends of the requests served last. Workspaces without an entry start at virtualTime.
    std::unordered_map<core::WorkspaceId, double> ends;
  };
  double StartOf(std::uint32_t aRank, const core::WorkspaceId& aWorkspace) const;
  void Sort(std::uint32_t aRank, std::deque<QueuedRequest>& aQueue) const;
  void RecordService(std::uint32_t aRank, const QueuedRequest& aRequest);
  void Serve(std::uint32_t aRank, std::deque<QueuedRequest>& aQueue,
             const std::function<bool(const QueuedRequest&)>& aServe);
  void MoveLateRequests(core::Instant aNow);

  std::array<std::deque<QueuedRequest>, kRankCount> mOnTime;
  std::array<std::deque<QueuedRequest>, kRankCount> mLate;
  std::array<FairOrder, kRankCount> mFairOrders;
  bool mIsFair = false;
};

} // namespace cuminfield::request::placement
