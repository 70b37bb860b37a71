#pragma once

#include "cuminfield/process/cluster/GroupView.h"
#include "cuminfield/process/metrics/GaugeText.h"

namespace cuminfield::process::cluster {

/// Adds the metrics of a control host's group: those of its voters on the leader only, those of the
/// search for a leader only while none is known.
void AddGroupMetrics(const GroupView& aView, metrics::GaugeText& aGauges);

} // namespace cuminfield::process::cluster
