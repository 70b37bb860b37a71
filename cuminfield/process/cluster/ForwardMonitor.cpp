#include "cuminfield/process/cluster/ForwardMonitor.h"

#include "cuminfield/process/logging/EventLog.h"

#include <sstream>

namespace cuminfield::process::cluster {

using request::AttemptOutcome;

namespace {

/// Bucket bounds of the first event latency, in seconds.
const std::vector<double> kFirstEventBounds{ 0,   0.02, 0.05, 0.1, 0.15, 0.2, 0.3,
                                             0.4, 0.6,  0.8,  1,   1.5,  2,   4 };

const char* ToString(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return "succeeded";
    case AttemptOutcome::Refused:
      return "refused";
    case AttemptOutcome::Unreachable:
      return "unreachable";
    case AttemptOutcome::Failed:
      return "failed";
    case AttemptOutcome::BrokenOff:
      return "broken-off";
    case AttemptOutcome::RejectedInput:
      return "rejected-input";
    case AttemptOutcome::Cancelled:
      return "cancelled";
  }
  return "failed";
}

const char* ToString(request::placement::WaitRejectionCause aCause)
{
  using Cause = request::placement::WaitRejectionCause;
  switch (aCause) {
    case Cause::Predicted:
      return "predicted";
    case Cause::Expired:
      return "expired";
    case Cause::Late:
      return "late";
  }
  return "expired";
}

std::string JoinParts(const std::vector<core::PromptPartId>& aParts)
{
  std::string text;
  for (const core::PromptPartId& it : aParts) {
    text += (text.empty() ? "" : ",") + it.Text();
  }
  return text;
}

std::int64_t ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string EndLabel(const request::forward::ForwardSummary& aSummary)
{
  if (aSummary.callerDisconnected) {
    return "left";
  }
  if (aSummary.isComplete) {
    return "answered";
  }
  const bool isShed = aSummary.reason == "overload" || aSummary.reason == "deadline" ||
                      aSummary.reason == "quarantined" ||
                      aSummary.reason == "no-upstream-in-regions" || aSummary.reason == "evacuated";
  return isShed ? aSummary.reason : "failed";
}

} // namespace

ForwardMonitor::ForwardMonitor(VersionShares& aVersionShares)
  : mVersionShares(aVersionShares)
{
}

ForwardMonitor::Histogram& ForwardMonitor::FindOrCreateHistogram(std::uint32_t aRank)
{
  const auto it = mFirstEventLatency.find(aRank);
  if (it != mFirstEventLatency.end()) {
    return it->second;
  }
  return mFirstEventLatency
    .emplace(aRank, boost::histogram::make_histogram(
                      boost::histogram::axis::variable<double>(kFirstEventBounds)))
    .first->second;
}

void ForwardMonitor::OnDispatched(const request::forward::ForwardRequest& aRequest,
                                  const request::UpstreamAnnouncement& aUpstream,
                                  const request::forward::PlacementBasis& aBasis)
{
  logging::Event(logging::Level::Info, "request-placed",
                 { { "request", aRequest.spec.id.Text() },
                   { "upstream", aUpstream.id.Text() },
                   { "version", aUpstream.version.Text() },
                   { "own", aBasis.localInFlight },
                   { "others", aBasis.remoteInFlight },
                   { "others_age_ms", ToMilliseconds(aBasis.remoteAge) },
                   { "waited_ms", ToMilliseconds(aBasis.waitTime) },
                   { "waiting", aBasis.queuedRequests } });
}

void ForwardMonitor::OnAttemptEnded(const request::forward::ForwardRequest& aRequest,
                                    const request::forward::ForwardAttempt& aAttempt)
{
  ++mAttemptCounts[aRequest.spec.service.Text() + "\",outcome=\"" + ToString(aAttempt.outcome)];
  const bool isEvidence = aAttempt.outcome == AttemptOutcome::Succeeded ||
                          aAttempt.outcome == AttemptOutcome::Failed ||
                          aAttempt.outcome == AttemptOutcome::BrokenOff;
  if (isEvidence) {
    mVersionShares.CountAttempt(aRequest.spec.service, aRequest.spec.route,
                                aAttempt.upstream.version,
                                aAttempt.outcome == AttemptOutcome::Succeeded,
                                aAttempt.firstEventLatency.value_or(core::Duration::zero()));
  }
  if (aAttempt.outcome != AttemptOutcome::Succeeded &&
      aAttempt.outcome != AttemptOutcome::Cancelled) {
    logging::Event(
      logging::Level::Info, "try-ended",
      { { "request", aRequest.spec.id.Text() },
        { "upstream", aAttempt.upstream.id.Text() },
        { "version", aAttempt.upstream.version.Text() },
        { "outcome", ToString(aAttempt.outcome) },
        { "status", aAttempt.status },
        { "reason", aAttempt.reason },
        { "prompt_parts", JoinParts(aRequest.spec.sharedParts) },
        { "own_part", aRequest.spec.ownPart.Text() },
        { "first_ms",
          aAttempt.firstEventLatency ? ToMilliseconds(*aAttempt.firstEventLatency) : -1 } });
  }
}

void ForwardMonitor::OnTokenInterval(const request::forward::ForwardRequest& aRequest,
                                     const request::UpstreamAnnouncement& aUpstream,
                                     const request::forward::TokenIntervalSample& aSample)
{
  mVersionShares.CountTokenInterval(aRequest.spec.service, aRequest.spec.route, aUpstream.version,
                                    aSample);
}

void ForwardMonitor::OnUpstreamNotice(const request::UpstreamAnnouncement& aUpstream,
                                      const request::UpstreamNotice& aNotice)
{
  if (aNotice.isLeaving) {
    ++mLeavingNotices;
    logging::Event(
      logging::Level::Info, "upstream-says-leaving",
      { { "upstream", aUpstream.id.Text() }, { "incarnation", aUpstream.incarnation.Value() } });
  }
  if (aNotice.retryAfter) {
    ++mQuietNotices;
    logging::Event(
      logging::Level::Info, "upstream-asks-to-wait",
      { { "upstream", aUpstream.id.Text() }, { "wait_ms", ToMilliseconds(*aNotice.retryAfter) } });
  }
}

void ForwardMonitor::OnEnded(const request::forward::ForwardRequest& aRequest,
                             const request::forward::ForwardSummary& aSummary)
{
  ++mRequestCounts[std::to_string(aRequest.spec.tier) + "\",end=\"" + EndLabel(aSummary)];
  if (aSummary.firstEventLatency) {
    FindOrCreateHistogram(aRequest.spec.tier)(core::Seconds(*aSummary.firstEventLatency));
  }
  logging::Event(
    logging::Level::Info, "request-ended",
    { { "request", aRequest.spec.id.Text() },
      { "route", aRequest.spec.route.Text() },
      { "workspace", aRequest.spec.workspace.Text() },
      { "rank", aRequest.spec.tier },
      { "end", EndLabel(aSummary) },
      { "status", aSummary.status },
      { "reason", aSummary.reason },
      { "upstream", aSummary.upstream.Text() },
      { "tries", aSummary.attempts },
      { "first_ms", aSummary.firstEventLatency ? ToMilliseconds(*aSummary.firstEventLatency) : -1 },
      { "total_ms", ToMilliseconds(aSummary.totalTime) },
      { "gap_ms", ToMilliseconds(aSummary.maxEventGap) },
      { "events", aSummary.eventCount } });
}

void ForwardMonitor::OnRejected(const core::RequestId& aId, const core::WorkspaceId& aWorkspace,
                                const request::forward::ForwardFailure& aFailure)
{
  ++mRequestCounts["none\",end=\"" + aFailure.reason];
  logging::Event(logging::Level::Info, "request-refused",
                 { { "request", aId.Text() },
                   { "workspace", aWorkspace.Text() },
                   { "status", aFailure.status },
                   { "reason", aFailure.reason } });
}

void ForwardMonitor::OnWaitRejected(const request::RequestSpec& aSpec,
                                    const request::placement::WaitRejection& aRejection)
{
  const std::string cause = ToString(aRejection.cause);
  ++mWaitRejectionCounts[std::to_string(aSpec.tier) + "\",cause=\"" + cause];
  logging::Event(logging::Level::Info, "wait-rejected",
                 { { "request", aSpec.id.Text() },
                   { "service", aSpec.service.Text() },
                   { "workspace", aSpec.workspace.Text() },
                   { "rank", aSpec.tier },
                   { "cause", cause },
                   { "waited_ms", ToMilliseconds(aRejection.waited) },
                   { "predicted_ms", ToMilliseconds(aRejection.predictedWait) },
                   { "max_ms", ToMilliseconds(aRejection.maxWait) },
                   { "waiting_ahead", static_cast<std::int64_t>(aRejection.waiting) },
                   { "retry_after_ms", ToMilliseconds(aRejection.retryAfter) } });
}

std::string ForwardMonitor::FormatMetrics() const
{
  std::ostringstream text;
  for (const auto& [key, count] : mRequestCounts) {
    text << "cuminfield_requests_total{rank=\"" << key << "\"} " << count << "\n";
  }
  for (const auto& [key, count] : mAttemptCounts) {
    text << "cuminfield_tries_total{service=\"" << key << "\"} " << count << "\n";
  }
  for (const auto& [key, count] : mWaitRejectionCounts) {
    text << "cuminfield_wait_rejections_total{rank=\"" << key << "\"} " << count << "\n";
  }
  text << "cuminfield_upstream_notices_total{kind=\"leaving\"} " << mLeavingNotices << "\n"
       << "cuminfield_upstream_notices_total{kind=\"wait\"} " << mQuietNotices << "\n";
  for (const auto& [rank, histogram] : mFirstEventLatency) {
    double cumulative = 0;
    for (auto&& it : boost::histogram::indexed(histogram)) {
      cumulative += *it;
      text << "cuminfield_first_event_seconds_bucket{rank=\"" << rank << "\",le=\""
           << it.bin().upper() << "\"} " << cumulative << "\n";
    }
  }
  return text.str();
}

} // namespace cuminfield::process::cluster
