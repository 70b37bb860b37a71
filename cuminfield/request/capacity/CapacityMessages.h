#pragma once

#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/capacity/GrantTable.h"
#include "cuminfield/request/capacity/capacity.pb.h"

namespace cuminfield::request::capacity {

/// The report as it travels to the broker.
proto::DemandReport ToMessage(const DemandReport& aReport);

/// A report that has arrived; tiers beyond kTiers are dropped.
DemandReport FromMessage(const proto::DemandReport& aMessage);

/// The table as it travels to a host.
proto::GrantTable ToMessage(const GrantTable& aTable);

/// A table that has arrived; tiers beyond kTiers are dropped.
GrantTable FromMessage(const proto::GrantTable& aMessage);

} // namespace cuminfield::request::capacity
