#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace cuminfield::request::placement {

/// Ranks that are kept apart; less urgent ones count as the last.
inline constexpr std::size_t kRankCount = 32;

/// A request that waits.
struct QueuedRequest
{
  core::RequestId id;
  std::uint32_t rank = 0;
  bool isTopPriority = false; ///< Of the most urgent kind.
  core::Instant arrival{};
  core::Instant latestOnTimeDispatch{}; ///< Dispatched by then it is probably answered in time.
  core::Instant expiresAt{};            ///< Turned away then.
};

/// The requests of one service that wait at this host, in the order in which they are served:
/// those that can still be in time before those that cannot, then by rank, then by arrival.
///
/// Answers the load of a burst: first come, first served makes everyone late once the line is
/// longer than the target; serving those that can be in time first keeps the newest of them in
/// time, and those that are late get what is left.
class RequestQueue
{
public:
  void Add(const QueuedRequest& aWaiting);
  void Remove(const core::RequestId& aId);

  /// Offers the requests in the order in which they are served; aServe says whether it took one,
  /// which is removed. One that is not taken stays; a few behind it in its rank are offered, too:
  /// they may need less.
  void ServeInOrder(core::Instant aNow, const std::function<bool(const QueuedRequest&)>& aServe);

  /// Calls aShed for each that has waited too long, and removes it.
  void RemoveExpired(core::Instant aNow, const std::function<void(const QueuedRequest&)>& aShed);

  /// Requests that would be served before a new one of this rank that can be in time.
  std::size_t CountAhead(std::uint32_t aRank) const;

  std::size_t Size() const;

  /// Requests of this rank that wait.
  std::size_t CountOfRank(std::uint32_t aRank) const;

private:
  static std::size_t RankIndex(std::uint32_t aRank);
  void MoveLateRequests(core::Instant aNow);

  std::array<std::deque<QueuedRequest>, kRankCount> mOnTime;
  std::array<std::deque<QueuedRequest>, kRankCount> mLate;
};

} // namespace cuminfield::request::placement
