#include "cuminfield/process/metrics/Metrics.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace cuminfield::process::metrics {

namespace {

constexpr std::size_t kWorkspacesPerBlock = 64;
constexpr const char* kOtherWorkspaces = "other";

/// Bounds of the histogram buckets, in seconds: about three per decade.
const std::vector<double> kBucketBoundsSeconds{
  0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.039, 0.08, 0.16, 0.24, 0.48, 1.0, 2.0, 5.0, 10.0, 30.0
};

std::string EscapeLabelValue(const std::string& aText)
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

void Metrics::RecordRequest(const request::exchange::IncomingRequest& aRequest,
                            const request::exchange::ExchangeSummary& aSummary)
{
  using request::exchange::ExchangeEnd;
  const request::RequestSpec& spec = aRequest.spec;
  TierCounts& tier = mCountsByTier[spec.tier];
  ++tier.ended;
  tier.notRun += aSummary.end == ExchangeEnd::NotRun ? 1 : 0;
  tier.unknown += aSummary.end == ExchangeEnd::Unknown ? 1 : 0;
  tier.aborted += aSummary.end == ExchangeEnd::Aborted ? 1 : 0;
  tier.callerDisconnected += aSummary.end == ExchangeEnd::CallerDisconnected ? 1 : 0;
  if (!aSummary.firstTokenLatency) {
    return;
  }
  const bool inTime = aSummary.end == ExchangeEnd::Completed &&
                      *aSummary.firstTokenLatency <= spec.firstTokenTarget &&
                      aSummary.meanTokenGap <= spec.tokenGapTarget;
  tier.withinTargets += inTime ? 1 : 0;
  const std::size_t index = FindOrAddWorkspace(spec.workspace);
  HistogramBlock& block = FindOrAddBlock(index);
  const int row = static_cast<int>(index % kWorkspacesPerBlock);
  const int rank = static_cast<int>(std::min(spec.tier, mSettings.maxTiers - 1));
  block.firstTokenLatency(row, rank, core::Seconds(*aSummary.firstTokenLatency));
  if (aSummary.tokens > 1) {
    block.tokenGap(row, rank, core::Seconds(aSummary.meanTokenGap));
  }
}

std::size_t Metrics::FindOrAddWorkspace(const core::WorkspaceId& aWorkspace)
{
  const auto it = mWorkspaceIndices.find(aWorkspace);
  if (it != mWorkspaceIndices.end()) {
    return it->second;
  }
  if (mWorkspaceNames.size() >= mSettings.maxWorkspaces) {
    return mWorkspaceNames.size() - 1; // The last entry is `other`.
  }
  const bool isLast = mWorkspaceNames.size() + 1 == mSettings.maxWorkspaces;
  mWorkspaceNames.push_back(isLast ? kOtherWorkspaces : aWorkspace.Text());
  if (!isLast) {
    mWorkspaceIndices.emplace(aWorkspace, mWorkspaceNames.size() - 1);
  }
  return mWorkspaceNames.size() - 1;
}

Metrics::Histogram Metrics::MakeHistogram() const
{
  using boost::histogram::axis::integer;
  return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint32_t>(),
                                               integer<>(0, static_cast<int>(kWorkspacesPerBlock)),
                                               integer<>(0, static_cast<int>(mSettings.maxTiers)),
                                               BucketAxis(kBucketBoundsSeconds));
}

Metrics::HistogramBlock& Metrics::FindOrAddBlock(std::size_t aIndex)
{
  const std::size_t blockIndex = aIndex / kWorkspacesPerBlock;
  while (mBlocks.size() <= blockIndex) {
    mBlocks.push_back(std::make_unique<HistogramBlock>(
      HistogramBlock{ .firstTokenLatency = MakeHistogram(), .tokenGap = MakeHistogram() }));
  }
  return *mBlocks[blockIndex];
}

std::string Metrics::ToPrometheusText() const
{
  std::string text;
  for (const auto& [name, value] : mGauges) {
    fmt::format_to(std::back_inserter(text), "# TYPE cuminfield_{} gauge\ncuminfield_{} {}\n", name,
                   name, value);
  }
  text += "# TYPE cuminfield_requests_total counter\n";
  for (const auto& [rank, counts] : mCountsByTier) {
    const std::pair<const char*, std::uint64_t> ends[] = {
      { "ended", counts.ended },    { "in-time", counts.withinTargets },
      { "not-run", counts.notRun }, { "unknown", counts.unknown },
      { "broken", counts.aborted }, { "left", counts.callerDisconnected },
    };
    for (const auto& [end, count] : ends) {
      fmt::format_to(std::back_inserter(text),
                     "cuminfield_requests_total{{rank=\"{}\",end=\"{}\"}} {}\n", rank, end, count);
    }
  }
  AppendHistograms(text, "first_token_seconds", &HistogramBlock::firstTokenLatency);
  AppendHistograms(text, "token_gap_seconds", &HistogramBlock::tokenGap);
  return text;
}

void Metrics::AppendHistograms(std::string& aText, const std::string& aName,
                               Histogram HistogramBlock::*aHistogram) const
{
  auto out = std::back_inserter(aText);
  fmt::format_to(out, "# TYPE cuminfield_{} histogram\n", aName);
  const int buckets = static_cast<int>(kBucketBoundsSeconds.size()) - 1;
  for (std::size_t index = 0; index < mWorkspaceNames.size(); ++index) {
    const Histogram& histogram = (*mBlocks[index / kWorkspacesPerBlock]).*aHistogram;
    const int row = static_cast<int>(index % kWorkspacesPerBlock);
    const std::string workspace = EscapeLabelValue(mWorkspaceNames[index]);
    for (int rank = 0; rank < static_cast<int>(mSettings.maxTiers); ++rank) {
      std::uint64_t total = 0;
      std::string lines;
      for (int bucket = 0; bucket < buckets; ++bucket) {
        total += histogram.at(row, rank, bucket);
        fmt::format_to(std::back_inserter(lines),
                       "cuminfield_{}_bucket{{workspace=\"{}\",rank=\"{}\",le=\"{}\"}} {}\n", aName,
                       workspace, rank, kBucketBoundsSeconds[static_cast<std::size_t>(bucket) + 1],
                       total);
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
