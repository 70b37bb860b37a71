#include "TestFramework/caller/OutcomeLog.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>

namespace cuminfield::test_framework::caller {

namespace {

constexpr std::array kOutcomeKinds = {
  "answered", "not-run", "unknown", "broken", "failed", "wrong"
};

double ToMillis(core::Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1'000;
}

/// Returns the aQuantile quantile of the sorted aValues.
core::Duration Percentile(const std::vector<core::Duration>& aValues, double aQuantile)
{
  const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size()));
  return aValues[std::min(index, aValues.size() - 1)];
}

} // namespace

OutcomeLog::OutcomeLog(const std::string& aFile)
{
  if (!aFile.empty()) {
    mFile.open(aFile, std::ios::app);
  }
}

void OutcomeLog::Add(const CallSpec& aSpec, const Outcome& aOutcome, core::WallTime aNow)
{
  ++mCounts[aOutcome.kind];
  if (aOutcome.kind == "answered") {
    mFirstTokenLatencies[aSpec.tier.Text()].push_back(aOutcome.firstTokenLatency);
  }
  if (mPrintEnabled) {
    std::cout << fmt::format("{} host={} upstream={} first={:.0f}ms total={:.0f}ms {}\n",
                             aOutcome.kind, aOutcome.host, aOutcome.upstream,
                             ToMillis(aOutcome.firstTokenLatency), ToMillis(aOutcome.totalDuration),
                             aOutcome.detail);
  }
  if (!mFile.is_open()) {
    return;
  }
  const nlohmann::json line = { { "outcome", aOutcome.kind },
                                { "detail", aOutcome.detail },
                                { "status", aOutcome.status },
                                { "key", aSpec.key.Text() },
                                { "request_ids", aOutcome.requestIds },
                                { "not_run_ids", aOutcome.notRunRequestIds },
                                { "not_run_first", aOutcome.firstAttemptNotRun },
                                { "method", aSpec.method },
                                { "target", aSpec.target },
                                { "workspace", aSpec.workspace.Text() },
                                { "tier", aSpec.tier.Text() },
                                { "host", aOutcome.host },
                                { "upstream", aOutcome.upstream },
                                { "attempts", aOutcome.attempts },
                                { "first_token_ms", ToMillis(aOutcome.firstTokenLatency) },
                                { "total_ms", ToMillis(aOutcome.totalDuration) },
                                { "time_us", aNow.time_since_epoch().count() } };
  mFile << line.dump() << std::endl;
}

std::size_t OutcomeLog::Count(const std::string& aKind) const
{
  const auto it = mCounts.find(aKind);
  return it == mCounts.end() ? 0 : it->second;
}

std::size_t OutcomeLog::TotalCount() const
{
  std::size_t sum = 0;
  for (const auto& [kind, count] : mCounts) {
    sum += count;
  }
  return sum;
}

std::string OutcomeLog::Summary() const
{
  std::string line = fmt::format("calls={}", TotalCount());
  for (const char* it : kOutcomeKinds) {
    line += fmt::format(" {}={}", it, Count(it));
  }
  for (const auto& [tier, values] : mFirstTokenLatencies) {
    std::vector<core::Duration> sorted = values;
    std::sort(sorted.begin(), sorted.end());
    line += fmt::format(" {0}-first-p50={1:.1f}ms {0}-first-p95={2:.1f}ms", tier,
                        ToMillis(Percentile(sorted, 0.5)), ToMillis(Percentile(sorted, 0.95)));
  }
  return line;
}

} // namespace cuminfield::test_framework::caller
