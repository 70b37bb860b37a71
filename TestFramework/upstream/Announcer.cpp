#include "TestFramework/upstream/Announcer.h"

#include <spdlog/spdlog.h>

namespace cuminfield::test_framework::upstream {

namespace {

/// Delay before the next host is tried.
constexpr core::Duration kNextHostDelay = std::chrono::milliseconds(100);

nlohmann::json ToJson(const request::UpstreamAnnouncement& aAnnouncement)
{
  return { { "id", aAnnouncement.id.Text() },
           { "incarnation", aAnnouncement.incarnation.Value() },
           { "service", aAnnouncement.service.Text() },
           { "version", aAnnouncement.version.Text() },
           { "data_centre", aAnnouncement.dataCentre.Text() },
           { "region", aAnnouncement.region.Text() },
           { "address", aAnnouncement.address },
           { "port", aAnnouncement.port },
           { "slots", aAnnouncement.slots },
           { "cache_tokens", aAnnouncement.cacheCapacity.value },
           { "resumes", aAnnouncement.supportsResume } };
}

} // namespace

Announcer::Announcer(core::TimerService& aTimers, ControlTransport& aTransport,
                     AnnouncerOptions aOptions, ReportCallback aReportCallback)
  : mTimers(aTimers)
  , mTransport(aTransport)
  , mOptions(std::move(aOptions))
  , mReportCallback(std::move(aReportCallback))
{
}

void Announcer::Start()
{
  if (!mOptions.hosts.empty()) {
    Announce();
  }
}

void Announcer::Deregister(std::function<void()> aOnDeregistered)
{
  mDeregistering = true;
  mTimer.Cancel();
  mDeregisteredCallback = std::move(aOnDeregistered);
  SendDeregistration(mOptions.hosts.size());
}

void Announcer::Announce()
{
  mTransport.Post(CurrentHost(), "/upstreams/announce", ToJson(mOptions.announcement),
                  [this](int aStatus, const nlohmann::json& aBody) { OnResponse(aStatus, aBody); });
}

void Announcer::Renew()
{
  nlohmann::json body = mReportCallback();
  body["id"] = mOptions.announcement.id.Text();
  body["incarnation"] = mOptions.announcement.incarnation.Value();
  mTransport.Post(CurrentHost(), "/upstreams/renew", body,
                  [this](int aStatus, const nlohmann::json& aBody) { OnResponse(aStatus, aBody); });
}

void Announcer::OnResponse(int aStatus, const nlohmann::json& aBody)
{
  if (mDeregistering) {
    return;
  }
  if (aStatus != 200) {
    TryNextHost();
    return;
  }
  if (!mAnnounced) {
    spdlog::info("announced id={} host={}", mOptions.announcement.id.Text(),
                 CurrentHost().ToString());
  }
  mAnnounced = true;
  if (aBody.is_object() && aBody.contains("renew_ms") && aBody["renew_ms"].is_number()) {
    mOptions.renewalInterval = std::chrono::milliseconds(aBody["renew_ms"].get<std::int64_t>());
  }
  ScheduleCall(mOptions.renewalInterval);
}

void Announcer::TryNextHost()
{
  mAnnounced = false;
  mHostIndex = (mHostIndex + 1) % mOptions.hosts.size();
  ScheduleCall(kNextHostDelay);
}

void Announcer::ScheduleCall(core::Duration aDelay)
{
  mTimer = mTimers.ScheduleAfter(aDelay, [this] {
    if (mAnnounced) {
      Renew();
    } else {
      Announce();
    }
  });
}

void Announcer::SendDeregistration(std::size_t aRemainingAttempts)
{
  if (aRemainingAttempts == 0) {
    mDeregisteredCallback();
    return;
  }
  const nlohmann::json body = { { "id", mOptions.announcement.id.Text() },
                                { "incarnation", mOptions.announcement.incarnation.Value() } };
  mTransport.Post(CurrentHost(), "/upstreams/leave", body,
                  [this, aRemainingAttempts](int aStatus, const auto&) {
                    if (aStatus == 200) {
                      mDeregisteredCallback();
                      return;
                    }
                    mHostIndex = (mHostIndex + 1) % mOptions.hosts.size();
                    SendDeregistration(aRemainingAttempts - 1);
                  });
}

} // namespace cuminfield::test_framework::upstream
