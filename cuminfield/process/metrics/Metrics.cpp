#include "cuminfield/process/metrics/Metrics.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace cuminfield::process::metrics {

namespace {

constexpr std::size_t kBlockSize = 64;
constexpr const char* kOther = "other";

/// Bounds of the histogram buckets, in seconds: about three per decade.
const std::vector<double> kBounds{ 0.0,  0.001, 0.002, 0.005, 0.01, 0.02, 0.039, 0.08,
                                   0.16, 0.24,  0.48,  1.0,   2.0,  5.0,  10.0,  30.0 };

std::string Escape(const std::string& aText)
{
  std::string escaped;
  for (const char it : aText) {
    if (it == '"' || it == '\\') {
      escaped += '\\';
    }
    escaped += it == '\n' ? ' ' : it;
  }
  return escaped;
}

} // namespace

Metrics::Metrics(MetricsSettings aSettings)
  : mSettings(aSettings)
{
}

void Metrics::Record(const request::exchange::IncomingRequest& aRequest,
                     const request::exchange::ExchangeSummary& aSummary)
{
  using request::exchange::ExchangeEnd;
  const request::RequestSpec& spec = aRequest.spec;
  TierCounts& tier = mTiers[spec.tier];
  ++tier.ended;
  tier.notRun += aSummary.end == ExchangeEnd::NotRun ? 1 : 0;
  tier.unknown += aSummary.end == ExchangeEnd::Unknown ? 1 : 0;
  tier.broken += aSummary.end == ExchangeEnd::Aborted ? 1 : 0;
  tier.left += aSummary.end == ExchangeEnd::CallerDisconnected ? 1 : 0;
  if (!aSummary.firstTokenLatency) {
    return;
  }
  const bool inTime = aSummary.end == ExchangeEnd::Completed &&
                      *aSummary.firstTokenLatency <= spec.firstTokenTarget &&
                      aSummary.meanTokenGap <= spec.tokenGapTarget;
  tier.inTime += inTime ? 1 : 0;
  const std::size_t index = IndexOf(spec.workspace);
  Block& block = BlockOf(index);
  const int row = static_cast<int>(index % kBlockSize);
  const int rank = static_cast<int>(std::min(spec.tier, mSettings.maxTiers - 1));
  block.firstToken(row, rank, core::Seconds(*aSummary.firstTokenLatency));
  if (aSummary.tokens > 1) {
    block.tokenGap(row, rank, core::Seconds(aSummary.meanTokenGap));
  }
}

std::size_t Metrics::IndexOf(const core::WorkspaceId& aWorkspace)
{
  const auto it = mIndex.find(aWorkspace);
  if (it != mIndex.end()) {
    return it->second;
  }
  if (mNames.size() >= mSettings.maxWorkspaces) {
    return mNames.size() - 1; // The last entry is `other`.
  }
  const bool isLast = mNames.size() + 1 == mSettings.maxWorkspaces;
  mNames.push_back(isLast ? kOther : aWorkspace.Text());
  if (!isLast) {
    mIndex.emplace(aWorkspace, mNames.size() - 1);
  }
  return mNames.size() - 1;
}

Metrics::Histogram Metrics::MakeHistogram() const
{
  using boost::histogram::axis::integer;
  return boost::histogram::make_histogram_with(
    boost::histogram::dense_storage<std::uint32_t>(), integer<>(0, static_cast<int>(kBlockSize)),
    integer<>(0, static_cast<int>(mSettings.maxTiers)), Axis(kBounds));
}

Metrics::Block& Metrics::BlockOf(std::size_t aIndex)
{
  const std::size_t blockIndex = aIndex / kBlockSize;
  while (mBlocks.size() <= blockIndex) {
    mBlocks.push_back(
      std::make_unique<Block>(Block{ .firstToken = MakeHistogram(), .tokenGap = MakeHistogram() }));
  }
  return *mBlocks[blockIndex];
}

std::string Metrics::Expose() const
{
  std::string text;
  for (const auto& [name, value] : mGauges) {
    fmt::format_to(std::back_inserter(text), "# TYPE cuminfield_{} gauge\ncuminfield_{} {}\n", name,
                   name, value);
  }
  text += "# TYPE cuminfield_requests_total counter\n";
  for (const auto& [rank, counts] : mTiers) {
    const std::pair<const char*, std::uint64_t> ends[] = {
      { "ended", counts.ended },     { "in-time", counts.inTime }, { "not-run", counts.notRun },
      { "unknown", counts.unknown }, { "broken", counts.broken },  { "left", counts.left },
    };
    for (const auto& [end, count] : ends) {
      fmt::format_to(std::back_inserter(text),
                     "cuminfield_requests_total{{rank=\"{}\",end=\"{}\"}} {}\n", rank, end, count);
    }
  }
  ExposeHistograms(text, "first_token_seconds", &Block::firstToken);
  ExposeHistograms(text, "token_gap_seconds", &Block::tokenGap);
  return text;
}

void Metrics::ExposeHistograms(std::string& aText, const std::string& aName,
                               Histogram Block::*aHistogram) const
{
  auto out = std::back_inserter(aText);
  fmt::format_to(out, "# TYPE cuminfield_{} histogram\n", aName);
  const int buckets = static_cast<int>(kBounds.size()) - 1;
  for (std::size_t index = 0; index < mNames.size(); ++index) {
    const Histogram& histogram = (*mBlocks[index / kBlockSize]).*aHistogram;
    const int row = static_cast<int>(index % kBlockSize);
    const std::string workspace = Escape(mNames[index]);
    for (int rank = 0; rank < static_cast<int>(mSettings.maxTiers); ++rank) {
      std::uint64_t total = 0;
      std::string lines;
      for (int bucket = 0; bucket < buckets; ++bucket) {
        total += histogram.at(row, rank, bucket);
        fmt::format_to(std::back_inserter(lines),
                       "cuminfield_{}_bucket{{workspace=\"{}\",rank=\"{}\",le=\"{}\"}} {}\n", aName,
                       workspace, rank, kBounds[static_cast<std::size_t>(bucket) + 1], total);
      }
      total += histogram.at(row, rank, buckets);
      if (total == 0) {
        continue;
      }
      aText += lines;
      fmt::format_to(out, "cuminfield_{}_bucket{{workspace=\"{}\",rank=\"{}\",le=\"+Inf\"}} {}\n",
                     aName, workspace, rank, total);
      fmt::format_to(out, "cuminfield_{}_count{{workspace=\"{}\",rank=\"{}\"}} {}\n", aName,
                     workspace, rank, total);
    }
  }
}

} // namespace cuminfield::process::metrics
