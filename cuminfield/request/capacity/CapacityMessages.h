#pragma once

#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/capacity/GrantTable.h"
#include "cuminfield/request/capacity/capacity.pb.h"

namespace cuminfield::request::capacity {

proto::DemandReport ToMessage(const DemandReport& aReport);

/// Drops tiers beyond kTierCount.
DemandReport FromMessage(const proto::DemandReport& aMessage);

proto::GrantTable ToMessage(const GrantTable& aTable);

/// Drops tiers beyond kTierCount.
GrantTable FromMessage(const proto::GrantTable& aMessage);

} // namespace cuminfield::request::capacity
