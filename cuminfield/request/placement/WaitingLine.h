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
inline constexpr std::size_t kRanks = 32;

/// A request that waits.
struct Waiting
{
  core::RequestId id;
  std::uint32_t rank = 0;
  bool top = false; ///< Of the most urgent kind.
  core::Instant arrival{};
  core::Instant onTimeUntil{}; ///< Dispatched by then it is probably answered in time.
  core::Instant waitsUntil{};  ///< Turned away then.
};

/// The requests of one service that wait at this host, in the order in which they are served:
/// those that can still be in time before those that cannot, then by rank, then by arrival.
///
/// Answers the load of a burst: first come, first served makes everyone late once the line is
/// longer than the target; serving those that can be in time first keeps the newest of them in
/// time, and those that are late get what is left.
class WaitingLine
{
public:
  void Add(const Waiting& aWaiting);
  void Remove(const core::RequestId& aId);

  /// Offers the requests in the order in which they are served; aServe says whether it took one,
  /// which is removed. One that is not taken stays; a few behind it in its rank are offered, too:
  /// they may need less.
  void ForEach(core::Instant aNow, const std::function<bool(const Waiting&)>& aServe);

  /// Calls aShed for each that has waited too long, and removes it.
  void RemoveExpired(core::Instant aNow, const std::function<void(const Waiting&)>& aShed);

  /// Requests that would be served before a new one of this rank that can be in time.
  std::size_t Ahead(std::uint32_t aRank) const;

  std::size_t Size() const;

  /// Requests of this rank that wait.
  std::size_t SizeOf(std::uint32_t aRank) const;

private:
  static std::size_t Index(std::uint32_t aRank);
  void MoveLate(core::Instant aNow);

  std::array<std::deque<Waiting>, kRanks> mOnTime;
  std::array<std::deque<Waiting>, kRanks> mLate;
};

} // namespace cuminfield::request::placement
