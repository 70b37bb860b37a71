#include "PerformanceTest/decisions/BaselineScheduler.h"

#include <algorithm>

namespace cuminfield::performance_test::decisions {

BaselineScheduler::BaselineScheduler(BaselinePolicy aPolicy, core::Random& aRandom,
                                     request::SchedulerListener& aListener)
  : mPolicy(aPolicy)
  , mRandom(aRandom)
  , mListener(aListener)
  , mNext(aRandom.Below(1'000))
{
}

void BaselineScheduler::Submit(request::RequestSpec aSpec)
{
  mServiceOf[aSpec.id] = aSpec.service;
  Send(aSpec.id, aSpec.service);
}

void BaselineScheduler::Send(const core::RequestId& aRequest, const core::ServiceId& aService)
{
  std::vector<Known>& list = mUpstreams[aService];
  if (list.empty()) {
    mListener.OnShed(aRequest, request::ShedReason::NoUpstream, core::Duration(0));
    return;
  }
  std::size_t chosen = mRandom.Below(list.size());
  if (mPolicy == BaselinePolicy::RoundRobin) {
    chosen = mNext++ % list.size();
  }
  if (mPolicy == BaselinePolicy::LeastLoad) {
    const auto least =
      std::min_element(list.begin(), list.end(), [](const Known& aLeft, const Known& aRight) {
        return aLeft.load < aRight.load;
      });
    chosen = static_cast<std::size_t>(least - list.begin());
  }
  mListener.OnDispatch(aRequest, list[chosen].announcement);
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
  for (auto& [service, list] : mUpstreams) {
    std::erase_if(list, [&](const Known& aIt) { return aIt.announcement.id == aUpstream; });
  }
}

void BaselineScheduler::OnLoadReport(const request::LoadReport& aReport)
{
  for (auto& [service, list] : mUpstreams) {
    for (Known& it : list) {
      if (it.announcement.id == aReport.id) {
        it.load = aReport.running + aReport.waiting;
      }
    }
  }
}

} // namespace cuminfield::performance_test::decisions
