#include "cuminfield/process/cluster/ForwardWatch.h"

#include "cuminfield/process/logging/EventLog.h"

#include <sstream>

namespace cuminfield::process::cluster {

using request::AttemptOutcome;

namespace {

/// Upper bounds of the buckets of the first event's time, in seconds.
const std::vector<double> kFirstBounds{ 0,   0.02, 0.05, 0.1, 0.15, 0.2, 0.3,
                                        0.4, 0.6,  0.8,  1,   1.5,  2,   4 };

const char* ToString(TryOutcome aOutcome)
{
  switch (aOutcome) {
    case TryOutcome::Succeeded:
      return "succeeded";
    case TryOutcome::Refused:
      return "refused";
    case TryOutcome::Unreachable:
      return "unreachable";
    case TryOutcome::Failed:
      return "failed";
    case TryOutcome::RejectedInput:
      return "rejected-input";
    case TryOutcome::Cancelled:
      return "cancelled";
  }
  return "failed";
}

std::int64_t Ms(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string EndOf(const request::forward::ForwardSummary& aSummary)
{
  if (aSummary.callerDisconnected) {
    return "left";
  }
  if (aSummary.isComplete) {
    return "answered";
  }
  return aSummary.reason == "overload" || aSummary.reason == "deadline" ? aSummary.reason
                                                                        : "failed";
}

} // namespace

ForwardWatch::ForwardWatch(VersionShares& aVersions)
  : mVersions(aVersions)
{
}

ForwardWatch::Histogram& ForwardWatch::HistogramOf(std::uint32_t aRank)
{
  const auto it = mFirst.find(aRank);
  if (it != mFirst.end()) {
    return it->second;
  }
  return mFirst
    .emplace(aRank, boost::histogram::make_histogram(
                      boost::histogram::axis::variable<double>(kFirstBounds)))
    .first->second;
}

void ForwardWatch::OnDispatched(const request::forward::ForwardRequest& aRequest,
                                const request::UpstreamAnnouncement& aUpstream,
                                const request::forward::PlacementBasis& aBasis)
{
  logging::Event(logging::Level::Info, "request-placed",
                 { { "request", aRequest.spec.id.Text() },
                   { "upstream", aUpstream.id.Text() },
                   { "version", aUpstream.version.Text() },
                   { "own", aBasis.localInFlight },
                   { "others", aBasis.remoteInFlight },
                   { "others_age_ms", Ms(aBasis.remoteAge) },
                   { "waited_ms", Ms(aBasis.waitTime) },
                   { "waiting", aBasis.queuedRequests } });
}

void ForwardWatch::OnAttemptEnded(const request::forward::ForwardRequest& aRequest,
                                  const request::forward::ForwardAttempt& aTry)
{
  ++mTries[aRequest.spec.service.Text() + "\",outcome=\"" + ToString(aTry.outcome)];
  const bool judged = aTry.outcome == TryOutcome::Succeeded || aTry.outcome == TryOutcome::Failed;
  if (judged) {
    mVersions.Count(aRequest.spec.service, aRequest.spec.route, aTry.upstream.version,
                    aTry.outcome == TryOutcome::Succeeded,
                    aTry.firstEventLatency.value_or(core::Duration::zero()));
  }
  if (aTry.outcome != TryOutcome::Succeeded && aTry.outcome != TryOutcome::Cancelled) {
    logging::Event(logging::Level::Info, "try-ended",
                   { { "request", aRequest.spec.id.Text() },
                     { "upstream", aTry.upstream.id.Text() },
                     { "version", aTry.upstream.version.Text() },
                     { "outcome", ToString(aTry.outcome) },
                     { "status", aTry.status },
                     { "first_ms", aTry.firstEventLatency ? Ms(*aTry.firstEventLatency) : -1 } });
  }
}

void ForwardWatch::OnTokenInterval(const request::forward::ForwardRequest& aRequest,
                                   const request::UpstreamAnnouncement& aUpstream,
                                   const request::forward::TokenIntervalSample& aPace)
{
  mVersions.CountPace(aRequest.spec.service, aRequest.spec.route, aUpstream.version, aPace);
}

void ForwardWatch::OnEnded(const request::forward::ForwardRequest& aRequest,
                           const request::forward::ForwardSummary& aSummary)
{
  ++mEnds[std::to_string(aRequest.spec.tier) + "\",end=\"" + EndOf(aSummary)];
  if (aSummary.firstEventLatency) {
    HistogramOf(aRequest.spec.tier)(core::Seconds(*aSummary.firstEventLatency));
  }
  logging::Event(
    logging::Level::Info, "request-ended",
    { { "request", aRequest.spec.id.Text() },
      { "route", aRequest.spec.route.Text() },
      { "workspace", aRequest.spec.workspace.Text() },
      { "rank", aRequest.spec.tier },
      { "end", EndOf(aSummary) },
      { "status", aSummary.status },
      { "reason", aSummary.reason },
      { "upstream", aSummary.upstream.Text() },
      { "tries", aSummary.attempts },
      { "first_ms", aSummary.firstEventLatency ? Ms(*aSummary.firstEventLatency) : -1 },
      { "total_ms", Ms(aSummary.totalTime) },
      { "gap_ms", Ms(aSummary.maxEventGap) },
      { "events", aSummary.eventCount } });
}

void ForwardWatch::OnRefused(const core::RequestId& aId, const core::WorkspaceId& aWorkspace,
                             const request::forward::ForwardFailure& aFailure)
{
  ++mEnds["none\",end=\"" + aFailure.reason];
  logging::Event(logging::Level::Info, "request-refused",
                 { { "request", aId.Text() },
                   { "workspace", aWorkspace.Text() },
                   { "status", aFailure.status },
                   { "reason", aFailure.reason } });
}

std::string ForwardWatch::Expose() const
{
  std::ostringstream text;
  for (const auto& [key, count] : mEnds) {
    text << "cuminfield_requests_total{rank=\"" << key << "\"} " << count << "\n";
  }
  for (const auto& [key, count] : mTries) {
    text << "cuminfield_tries_total{service=\"" << key << "\"} " << count << "\n";
  }
  for (const auto& [rank, histogram] : mFirst) {
    double below = 0;
    for (auto&& it : boost::histogram::indexed(histogram)) {
      below += *it;
      text << "cuminfield_first_event_seconds_bucket{rank=\"" << rank << "\",le=\""
           << it.bin().upper() << "\"} " << below << "\n";
    }
  }
  return text.str();
}

} // namespace cuminfield::process::cluster
