#include "PerformanceTest/decisions/BaselineScheduler.h"

#include <algorithm>

namespace cuminfield::performance_test::decisions {

BaselineScheduler::BaselineScheduler(BaselinePolicy aPolicy, core::Random& aRandom,
                                     request::SchedulerListener& aListener)
  : mPolicy(aPolicy)
  , mRandom(aRandom)
  , mListener(aListener)
  , mNext(aRandom.UniformBelow(1'000))
{
}

void BaselineScheduler::Submit(request::RequestSpec aSpec)
{
  mServiceOf[aSpec.id] = aSpec.service;
  Send(aSpec.id, aSpec.service);
}

void BaselineScheduler::Send(const core::RequestId& aRequest, const core::ServiceId& aService)
{
  std::vector<Known>& upstreams = mUpstreams[aService];
  if (upstreams.empty()) {
    mListener.OnShed(aRequest, request::ShedReason::NoUpstream, core::Duration(0));
    return;
  }
  std::size_t chosen = mRandom.UniformBelow(upstreams.size());
  if (mPolicy == BaselinePolicy::RoundRobin) {
    chosen = mNext++ % upstreams.size();
  }
  if (mPolicy == BaselinePolicy::LeastLoad) {
    const auto leastLoaded = std::min_element(
      upstreams.begin(), upstreams.end(),
      [](const Known& aLeft, const Known& aRight) { return aLeft.load < aRight.load; });
    chosen = static_cast<std::size_t>(leastLoaded - upstreams.begin());
  }
  mListener.OnDispatch(aRequest, upstreams[chosen].announcement);
}

void BaselineScheduler::OnAttemptEnded(const core::RequestId& aRequest,
                                       request::AttemptOutcome aOutcome)
{
  if (aOutcome == request::AttemptOutcome::Refused) {
    Send(aRequest, mServiceOf[aRequest]);
    return;
  }
  mServiceOf.erase(aRequest);
}

void BaselineScheduler::AddOrUpdateUpstream(const request::UpstreamAnnouncement& aUpstream)
{
  mUpstreams[aUpstream.service].push_back(Known{ .announcement = aUpstream });
}

void BaselineScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  for (auto& [service, upstreams] : mUpstreams) {
    std::erase_if(upstreams,
                  [&](const Known& aEntry) { return aEntry.announcement.id == aUpstream; });
  }
}

void BaselineScheduler::OnLoadReport(const request::LoadReport& aReport)
{
  for (auto& [service, upstreams] : mUpstreams) {
    for (Known& it : upstreams) {
      if (it.announcement.id == aReport.id) {
        it.load = aReport.running + aReport.waiting;
      }
    }
  }
}

} // namespace cuminfield::performance_test::decisions
