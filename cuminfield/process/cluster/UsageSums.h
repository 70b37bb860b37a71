#pragma once

#include "cuminfield/process/cluster/KeyedSums.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace cuminfield::process::cluster {

/// Integer amounts that are added and subtracted element by element.
template<std::size_t Size>
struct Amounts : std::array<std::int64_t, Size>
{
  Amounts& operator+=(const Amounts& aOther)
  {
    for (std::size_t i = 0; i < Size; ++i) {
      (*this)[i] += aOther[i];
    }
    return *this;
  }
  Amounts& operator-=(const Amounts& aOther)
  {
    for (std::size_t i = 0; i < Size; ++i) {
      (*this)[i] -= aOther[i];
    }
    return *this;
  }
};

/// Running sums of the usage and demand that reports and exchanges contain. Fractions are held in
/// fixed point, so that the sums are exact however often a part is replaced.
class UsageSums
{
public:
  /// What one report or exchange contributes.
  class Part
  {
    friend class UsageSums;
    KeyedSums<std::string, Amounts<9>>::Part inFlight;
    KeyedSums<std::string, Amounts<2>>::Part demand;
    KeyedSums<std::pair<std::string, std::uint32_t>, Amounts<3>>::Part wanted;
    KeyedSums<std::string, Amounts<6>>::Part observed;
    Amounts<3> hosts{}; ///< Hosts, their quota history, hosts with a partial history.
  };

  /// Replaces a part by the contents of the report of one host. Without observations in the
  /// message, the earlier ones stay.
  void Replace(Part& aPart, const proto::Report& aReport);

  /// The same for the sums of another control host.
  void Replace(Part& aPart, const proto::Exchange& aExchange);

  void Remove(Part& aPart);

  /// Writes the sums over all parts to a message. The amounts of aExcluded, which may be null, are
  /// left out; its hosts are counted all the same. aObserved includes the observations.
  void Write(const Part* aExcluded, bool aObserved, proto::Feed& aFeed);
  void Write(const Part* aExcluded, bool aObserved, proto::Exchange& aExchange);

  /// Number of hosts in all parts.
  std::uint32_t HostCount() const { return static_cast<std::uint32_t>(mHosts[0]); }

private:
  template<typename Message>
  void ReplaceAmounts(Part& aPart, const Message& aMessage);
  template<typename Message>
  void WriteAll(const Part* aExcluded, bool aObserved, Message& aMessage);

  /// The fields of InFlight in their order.
  KeyedSums<std::string, Amounts<9>> mInFlight;
  /// Units per second, used units; fixed point.
  KeyedSums<std::string, Amounts<2>> mDemand;
  /// Requests, waiting requests, ended requests per second (fixed point), by service and rank.
  KeyedSums<std::pair<std::string, std::uint32_t>, Amounts<3>> mWanted;
  /// The fields of Observed in their order; fixed point.
  KeyedSums<std::string, Amounts<6>> mObserved;
  Amounts<3> mHosts{};
};

} // namespace cuminfield::process::cluster
