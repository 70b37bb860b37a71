#include "cuminfield/process/cluster/UsageSums.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::process::cluster {

namespace {

/// Fractional bits of fixed-point amounts.
constexpr int kFractionBits = 20;

/// Limit of one amount, so that the sums over thousands of hosts cannot overflow.
constexpr double kMaxFixed = 0x1p50;

std::int64_t ToFixed(double aValue)
{
  if (!std::isfinite(aValue)) {
    return 0; // Only a faulty sender reports this; the other hosts' amounts must stay usable.
  }
  return std::llround(std::clamp(std::ldexp(aValue, kFractionBits), -kMaxFixed, kMaxFixed));
}

double FromFixed(std::int64_t aValue)
{
  return std::ldexp(static_cast<double>(aValue), -kFractionBits);
}

std::uint32_t ToCount(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(aValue);
}

/// Bounded, so that a faulty sender cannot make the sum overflow.
std::int64_t ToPercentSum(const proto::InFlight& aInFlight)
{
  constexpr std::uint64_t kMaxSum = 1ULL << 50U;
  return static_cast<std::int64_t>(std::min<std::uint64_t>(aInFlight.speed_percent(), kMaxSum));
}

} // namespace

template<typename Message>
void UsageSums::ReplaceAmounts(Part& aPart, const Message& aMessage)
{
  decltype(mInFlight)::Entries inFlight;
  for (const proto::InFlight& it : aMessage.in_flight()) {
    inFlight.push_back(
      { it.upstream(),
        { { it.requests(), it.prompt_tokens(), it.held_tokens(), it.doubting(), it.trusting(),
            ToPercentSum(it), it.speed_samples(), it.slow_start_good(), it.slow_start_bad() } } });
  }
  mInFlight.Replace(aPart.inFlight, inFlight);
  decltype(mDemand)::Entries demand;
  for (const proto::Demand& it : aMessage.demand()) {
    demand.push_back({ it.workspace(), { { ToFixed(it.units_per_s()), ToFixed(it.used()) } } });
  }
  mDemand.Replace(aPart.demand, demand);
  decltype(mWanted)::Entries wanted;
  for (const proto::Wanted& it : aMessage.wanted()) {
    wanted.push_back({ { it.service(), it.rank() },
                       { { it.requests(), it.waiting(), ToFixed(it.done_per_s()) } } });
  }
  mWanted.Replace(aPart.wanted, wanted);
  if (!aMessage.has_observed()) {
    return;
  }
  decltype(mObserved)::Entries observed;
  for (const proto::Observed& it : aMessage.observed()) {
    observed.push_back(
      { it.upstream(),
        { { ToFixed(it.answers()), ToFixed(it.failures()), ToFixed(it.paces()),
            ToFixed(it.token_ms()), ToFixed(it.firsts()), ToFixed(it.first_factor()) } } });
  }
  mObserved.Replace(aPart.observed, observed);
}

void UsageSums::Replace(Part& aPart, const proto::Report& aReport)
{
  ReplaceAmounts(aPart, aReport);
  mHosts -= aPart.hosts;
  aPart.hosts = { { 1, ToFixed(aReport.quota_memory()), aReport.forgetful() } };
  mHosts += aPart.hosts;
}

void UsageSums::Replace(Part& aPart, const proto::Exchange& aExchange)
{
  ReplaceAmounts(aPart, aExchange);
  mHosts -= aPart.hosts;
  aPart.hosts = { { aExchange.hosts(), ToFixed(aExchange.quota_memory()), aExchange.forgetful() } };
  mHosts += aPart.hosts;
}

void UsageSums::Remove(Part& aPart)
{
  mInFlight.Remove(aPart.inFlight);
  mDemand.Remove(aPart.demand);
  mWanted.Remove(aPart.wanted);
  mObserved.Remove(aPart.observed);
  mHosts -= aPart.hosts;
  aPart.hosts = {};
}

template<typename Message>
void UsageSums::WriteAll(const Part* aExcluded, bool aObserved, Message& aMessage)
{
  aMessage.set_hosts(ToCount(mHosts[0]));
  aMessage.set_quota_memory(FromFixed(mHosts[1]));
  aMessage.set_forgetful(ToCount(mHosts[2]));
  mInFlight.Visit(aExcluded ? &aExcluded->inFlight : nullptr,
                  [&](const std::string& aUpstream, const Amounts<9>& aSums) {
                    proto::InFlight* it = aMessage.add_in_flight();
                    it->set_upstream(aUpstream);
                    it->set_requests(ToCount(aSums[0]));
                    it->set_prompt_tokens(ToCount(aSums[1]));
                    it->set_held_tokens(ToCount(aSums[2]));
                    it->set_doubting(ToCount(aSums[3]));
                    it->set_trusting(ToCount(aSums[4]));
                    it->set_speed_percent(static_cast<std::uint64_t>(aSums[5]));
                    it->set_speed_samples(ToCount(aSums[6]));
                    it->set_slow_start_good(ToCount(aSums[7]));
                    it->set_slow_start_bad(ToCount(aSums[8]));
                  });
  mWanted.Visit(aExcluded ? &aExcluded->wanted : nullptr,
                [&](const std::pair<std::string, std::uint32_t>& aKey, const Amounts<3>& aSums) {
                  proto::Wanted* it = aMessage.add_wanted();
                  it->set_service(aKey.first);
                  it->set_rank(aKey.second);
                  it->set_requests(ToCount(aSums[0]));
                  it->set_waiting(ToCount(aSums[1]));
                  it->set_done_per_s(FromFixed(aSums[2]));
                });
  mDemand.Visit(aExcluded ? &aExcluded->demand : nullptr,
                [&](const std::string& aWorkspace, const Amounts<2>& aSums) {
                  proto::Demand* it = aMessage.add_demand();
                  it->set_workspace(aWorkspace);
                  it->set_units_per_s(FromFixed(aSums[0]));
                  it->set_used(FromFixed(aSums[1]));
                });
  aMessage.set_has_observed(aObserved);
  if (!aObserved) {
    return;
  }
  mObserved.Visit(aExcluded ? &aExcluded->observed : nullptr,
                  [&](const std::string& aUpstream, const Amounts<6>& aSums) {
                    const auto sum = [&](std::size_t aIndex) {
                      return static_cast<float>(FromFixed(aSums[aIndex]));
                    };
                    proto::Observed* it = aMessage.add_observed();
                    it->set_upstream(aUpstream);
                    it->set_answers(sum(0));
                    it->set_failures(sum(1));
                    it->set_paces(sum(2));
                    it->set_token_ms(sum(3));
                    it->set_firsts(sum(4));
                    it->set_first_factor(sum(5));
                  });
}

void UsageSums::Write(const Part* aExcluded, bool aObserved, proto::Feed& aFeed)
{
  WriteAll(aExcluded, aObserved, aFeed);
}

void UsageSums::Write(const Part* aExcluded, bool aObserved, proto::Exchange& aExchange)
{
  WriteAll(aExcluded, aObserved, aExchange);
}

} // namespace cuminfield::process::cluster
