#include "PerformanceTest/decisions/BaselineScheduler.h"

#include <algorithm>

namespace cuminfield::performance_test::decisions {

BaselineScheduler::BaselineScheduler(BaselinePolicy aPolicy, core::Random& aRandom,
                                     request::SchedulerListener& aListener)
  : mPolicy(aPolicy)
  , mRandom(aRandom)
  , mListener(aListener)
  , mNextIndex(aRandom.UniformBelow(1'000))
{
}

void BaselineScheduler::Submit(request::RequestSpec aSpec)
{
  mServiceByRequest[aSpec.id] = aSpec.service;
  Dispatch(aSpec.id, aSpec.service);
}

void BaselineScheduler::Dispatch(const core::RequestId& aRequest, const core::ServiceId& aService)
{
  std::vector<UpstreamEntry>& upstreams = mUpstreamsByService[aService];
  if (upstreams.empty()) {
    mListener.OnShed(aRequest, request::ShedReason::NoUpstream, core::Duration(0));
    return;
  }
  std::size_t chosen = mRandom.UniformBelow(upstreams.size());
  if (mPolicy == BaselinePolicy::RoundRobin) {
    chosen = mNextIndex++ % upstreams.size();
  }
  if (mPolicy == BaselinePolicy::LeastLoad) {
    const auto leastLoaded =
      std::min_element(upstreams.begin(), upstreams.end(),
                       [](const UpstreamEntry& aLeft, const UpstreamEntry& aRight) {
                         return aLeft.reportedLoad < aRight.reportedLoad;
                       });
    chosen = static_cast<std::size_t>(leastLoaded - upstreams.begin());
  }
  mListener.OnDispatch(aRequest, upstreams[chosen].announcement);
}

void BaselineScheduler::OnAttemptEnded(const core::RequestId& aRequest,
                                       request::AttemptOutcome aOutcome)
{
  if (aOutcome == request::AttemptOutcome::Refused) {
    Dispatch(aRequest, mServiceByRequest[aRequest]);
    return;
  }
  mServiceByRequest.erase(aRequest);
}

void BaselineScheduler::AddOrUpdateUpstream(const request::UpstreamAnnouncement& aUpstream)
{
  mUpstreamsByService[aUpstream.service].push_back(UpstreamEntry{ .announcement = aUpstream });
}

void BaselineScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  for (auto& [service, upstreams] : mUpstreamsByService) {
    std::erase_if(upstreams,
                  [&](const UpstreamEntry& aEntry) { return aEntry.announcement.id == aUpstream; });
  }
}

void BaselineScheduler::OnLoadReport(const request::LoadReport& aReport)
{
  for (auto& [service, upstreams] : mUpstreamsByService) {
    for (UpstreamEntry& it : upstreams) {
      if (it.announcement.id == aReport.id) {
        it.reportedLoad = aReport.running + aReport.waiting;
      }
    }
  }
}

} // namespace cuminfield::performance_test::decisions
