#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/Scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace cuminfield::performance_test::decisions {

/// Rule by which a BaselineScheduler selects an upstream.
enum class BaselinePolicy
{
  Random,
  RoundRobin,
  LeastLoad, ///< Fewest running and waiting requests in the last load report.
};

/// Common load balancing policies as a baseline: no queue, no tiers, and every upstream of the
/// service is a candidate.
class BaselineScheduler : public request::Scheduler
{
public:
  BaselineScheduler(BaselinePolicy aPolicy, core::Random& aRandom,
                    request::SchedulerListener& aListener);

  void Submit(request::RequestSpec aSpec) override;
  void Withdraw(const core::RequestId&) override {}
  void OnFirstToken(const core::RequestId&) override {}
  void OnToken(const core::RequestId&) override {}
  void OnAttemptEnded(const core::RequestId& aRequest, request::AttemptOutcome aOutcome) override;
  void AddOrUpdateUpstream(const request::UpstreamAnnouncement& aUpstream) override;
  void RemoveUpstream(const core::UpstreamId& aUpstream) override;
  void OnLoadReport(const request::LoadReport& aReport) override;
  void OnCacheEvent(const request::CacheEvent&) override {}

private:
  struct UpstreamEntry
  {
    request::UpstreamAnnouncement announcement;
    std::uint32_t reportedLoad = 0;
  };

  void Dispatch(const core::RequestId& aRequest, const core::ServiceId& aService);

  BaselinePolicy mPolicy;
  core::Random& mRandom;
  request::SchedulerListener& mListener;
  std::map<core::ServiceId, std::vector<UpstreamEntry>> mUpstreamsByService;
  std::map<core::RequestId, core::ServiceId> mServiceByRequest;
  std::size_t mNextIndex = 0;
};

} // namespace cuminfield::performance_test::decisions
