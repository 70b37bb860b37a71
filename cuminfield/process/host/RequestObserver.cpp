#include "cuminfield/process/host/RequestObserver.h"

#include "cuminfield/process/logging/EventLog.h"

namespace cuminfield::process::host {

namespace {

/// Linear prediction of the first token latency from the prompt length. Only ratios between
/// versions on the same route are compared, so the prediction need not fit any particular engine.
constexpr core::Duration kPredictedFirstTokenBase = std::chrono::milliseconds(20);
constexpr core::Duration kPredictedFirstTokenPerPromptToken = std::chrono::microseconds(100);

const char* ToString(request::exchange::ExchangeEnd aEnd)
{
  using request::exchange::ExchangeEnd;
  switch (aEnd) {
    case ExchangeEnd::Completed:
      return "answered";
    case ExchangeEnd::NotRun:
      return "not-run";
    case ExchangeEnd::Unknown:
      return "unknown";
    case ExchangeEnd::Aborted:
      return "broken";
    case ExchangeEnd::CallerDisconnected:
      return "left";
  }
  return "unknown";
}

} // namespace

RequestObserver::RequestObserver(metrics::Metrics& aMetrics,
                                 version::moves::ObservationRecorder& aObservations)
  : mMetrics(aMetrics)
  , mObservationRecorder(aObservations)
{
}

void RequestObserver::OnEnded(const request::exchange::IncomingRequest& aRequest,
                              const request::exchange::ExchangeSummary& aSummary)
{
  mMetrics.RecordRequest(aRequest, aSummary);
  RecordSample(aRequest, aSummary);
  const auto milliseconds = [](core::Duration aDuration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  };
  const request::RequestSpec& spec = aRequest.spec;
  logging::Event(logging::Level::Info, "request-ended",
                 { { "request", spec.id.Text() },
                   { "workspace", spec.workspace.Text() },
                   { "rank", spec.tier },
                   { "route", spec.route.Text() },
                   { "end", ToString(aSummary.end) },
                   { "status", aSummary.status },
                   { "upstream", aSummary.upstream ? aSummary.upstream->id.Text() : "" },
                   { "version", aSummary.upstream ? aSummary.upstream->version.Text() : "" },
                   { "first_token_ms",
                     aSummary.firstTokenLatency ? milliseconds(*aSummary.firstTokenLatency) : -1 },
                   { "total_ms", milliseconds(aSummary.duration) },
                   { "tokens", aSummary.tokens },
                   { "followed", aSummary.followed ? "yes" : "no" } });
}

void RequestObserver::RecordSample(const request::exchange::IncomingRequest& aRequest,
                                   const request::exchange::ExchangeSummary& aSummary)
{
  if (!aSummary.upstream || !aSummary.attemptOutcome) {
    return;
  }
  version::moves::RequestSample sample{
    .service = aSummary.upstream->service,
    .version = aSummary.upstream->version,
    .route = aRequest.spec.route,
    .outcome = *aSummary.attemptOutcome,
    .firstToken = aSummary.upstreamFirstTokenLatency,
    .predictedFirstToken = kPredictedFirstTokenBase +
                           kPredictedFirstTokenPerPromptToken * aRequest.spec.promptTokens.value,
    .tokenGap = std::nullopt,
  };
  if (aSummary.tokens > 1) {
    sample.tokenGap = aSummary.meanTokenGap;
  }
  mObservationRecorder.Record(sample);
  mOnSample.emit(sample);
}

} // namespace cuminfield::process::host
