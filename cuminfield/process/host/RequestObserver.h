#pragma once

#include "cuminfield/process/metrics/Metrics.h"
#include "cuminfield/request/exchange/ExchangeObserver.h"
#include "cuminfield/version/moves/ObservationRecorder.h"

#include <sigc++/sigc++.h>

namespace cuminfield::process::host {

/// Records every ended request in the metrics, the log and the observations of versions.
class RequestObserver : public request::exchange::ExchangeObserver
{
public:
  RequestObserver(metrics::Metrics& aMetrics, version::moves::ObservationRecorder& aObservations);

  void OnEnded(const request::exchange::IncomingRequest& aRequest,
               const request::exchange::ExchangeSummary& aSummary) override;

  /// Emitted for each finished attempt, after it was recorded.
  sigc::signal<void(const version::moves::RequestSample&)>& OnSample() { return mOnSample; }

private:
  void RecordSample(const request::exchange::IncomingRequest& aRequest,
                    const request::exchange::ExchangeSummary& aSummary);

  metrics::Metrics& mMetrics;
  version::moves::ObservationRecorder& mObservationRecorder;
  sigc::signal<void(const version::moves::RequestSample&)> mOnSample;
};

} // namespace cuminfield::process::host
