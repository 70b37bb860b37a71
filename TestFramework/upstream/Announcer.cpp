#include "TestFramework/upstream/Announcer.h"

#include <spdlog/spdlog.h>

namespace cuminfield::test_framework::upstream {

namespace {

/// Delay before the next host is tried.
constexpr core::Duration kMoveOnDelay = std::chrono::milliseconds(100);

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

Announcer::Announcer(core::TimerService& aTimers, ControlCalls& aTransport,
                     AnnouncerOptions aOptions, Report aReportCallback)
  : mTimers(aTimers)
  , mCalls(aTransport)
  , mOptions(std::move(aOptions))
  , mReport(std::move(aReportCallback))
{
}

void Announcer::Start()
{
  if (!mOptions.hosts.empty()) {
    Announce();
  }
}

void Announcer::Leave(std::function<void()> aOnDeregistered)
{
  mLeaving = true;
  mTimer.Cancel();
  mLeft = std::move(aOnDeregistered);
  SendLeave(mOptions.hosts.size());
}

void Announcer::Announce()
{
  mCalls.Post(Host(), "/upstreams/announce", ToJson(mOptions.announcement),
              [this](int aStatus, const nlohmann::json& aBody) { Answered(aStatus, aBody); });
}

void Announcer::Renew()
{
  nlohmann::json body = mReport();
  body["id"] = mOptions.announcement.id.Text();
  body["incarnation"] = mOptions.announcement.incarnation.Value();
  mCalls.Post(Host(), "/upstreams/renew", body,
              [this](int aStatus, const nlohmann::json& aBody) { Answered(aStatus, aBody); });
}

void Announcer::Answered(int aStatus, const nlohmann::json& aBody)
{
  if (mLeaving) {
    return;
  }
  if (aStatus != 200) {
    MoveOn();
    return;
  }
  if (!mAnnounced) {
    spdlog::info("announced id={} host={}", mOptions.announcement.id.Text(), Host().ToString());
  }
  mAnnounced = true;
  if (aBody.is_object() && aBody.contains("renew_ms") && aBody["renew_ms"].is_number()) {
    mOptions.renewal = std::chrono::milliseconds(aBody["renew_ms"].get<std::int64_t>());
  }
  CallLater(mOptions.renewal);
}

void Announcer::MoveOn()
{
  mAnnounced = false;
  mHost = (mHost + 1) % mOptions.hosts.size();
  CallLater(kMoveOnDelay);
}

void Announcer::CallLater(core::Duration aDelay)
{
  mTimer = mTimers.ScheduleAfter(aDelay, [this] {
    if (mAnnounced) {
      Renew();
    } else {
      Announce();
    }
  });
}

void Announcer::SendLeave(std::size_t aRemainingAttempts)
{
  if (aRemainingAttempts == 0) {
    mLeft();
    return;
  }
  const nlohmann::json body = { { "id", mOptions.announcement.id.Text() },
                                { "incarnation", mOptions.announcement.incarnation.Value() } };
  mCalls.Post(Host(), "/upstreams/leave", body,
              [this, aRemainingAttempts](int aStatus, const auto&) {
                if (aStatus == 200) {
                  mLeft();
                  return;
                }
                mHost = (mHost + 1) % mOptions.hosts.size();
                SendLeave(aRemainingAttempts - 1);
              });
}

} // namespace cuminfield::test_framework::upstream
