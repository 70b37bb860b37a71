#pragma once

#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/request/admission/TieredScheduler.h"

#include <map>
#include <string>
#include <vector>

namespace cuminfield::unit_tests::request {

/// Always chooses the same version.
class FixedVersionChooser : public cuminfield::request::VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return version;
  }

  core::VersionId version;
};

class RecordingListener : public cuminfield::request::SchedulerListener
{
public:
  struct ShedRecord
  {
    std::string request;
    cuminfield::request::ShedReason reason;
  };

  void OnDispatch(const core::RequestId& aRequest,
                  const cuminfield::request::UpstreamAnnouncement& aUpstream) override
  {
    dispatched.push_back(aRequest.Text());
    upstreamByRequest[aRequest.Text()] = aUpstream.id.Text();
  }

  void OnShed(const core::RequestId& aRequest, cuminfield::request::ShedReason aReason,
              core::Duration) override
  {
    shed.push_back({ aRequest.Text(), aReason });
  }

  std::vector<std::string> dispatched;
  std::map<std::string, std::string> upstreamByRequest;
  std::vector<ShedRecord> shed;
};

/// A scheduler in virtual time, with helpers that create requests and upstreams.
class SchedulerFixture
{
public:
  explicit SchedulerFixture(const cuminfield::request::admission::SchedulerSettings& aSettings = {},
                            const cuminfield::request::capacity::CapacityView* aCapacity = nullptr)
    : scheduler({ .settings = aSettings,
                  .timers = timers,
                  .random = random,
                  .listener = listener,
                  .versions = versions,
                  .capacity = aCapacity,
                  .host = core::HostId("host-1"),
                  .dataCentre = core::DataCentreId("gent-a"),
                  .region = core::RegionId("gent") })
  {
  }

  /// Announces an upstream of service "taxateur".
  void AddUpstream(const std::string& aId, std::uint32_t aSlots,
                   const std::string& aRegion = "gent", const std::string& aVersion = "v1",
                   std::uint64_t aIncarnation = 1)
  {
    scheduler.AddOrUpdateUpstream({ .id = core::UpstreamId(aId),
                                    .incarnation = core::Incarnation(aIncarnation),
                                    .service = core::ServiceId("taxateur"),
                                    .version = core::VersionId(aVersion),
                                    .dataCentre = core::DataCentreId(aRegion + "-a"),
                                    .region = core::RegionId(aRegion),
                                    .slots = aSlots });
  }

  /// A request of service "taxateur" that must start within aMaxDelay.
  cuminfield::request::RequestSpec MakeSpec(
    const std::string& aId, std::uint32_t aTier,
    core::Duration aMaxDelay = core::Duration(10'000'000)) const
  {
    return { .id = core::RequestId(aId),
             .workspace = core::WorkspaceId("w"),
             .tier = aTier,
             .service = core::ServiceId("taxateur"),
             .arrival = timers.Now(),
             .deadline = timers.Now() + aMaxDelay,
             .firstTokenTarget = aMaxDelay,
             .tokenGapTarget = core::Duration(39'000),
             .promptTokens = core::Tokens{ 100 },
             .maxOutputTokens = core::Tokens{ 20 } };
  }

  void FinishRequest(const std::string& aId, cuminfield::request::AttemptOutcome aOutcome =
                                               cuminfield::request::AttemptOutcome::Succeeded)
  {
    scheduler.OnAttemptEnded(core::RequestId(aId), aOutcome);
  }

  test_framework::time::ManualTimerService timers;
  core::Random random{ 1 };
  RecordingListener listener;
  FixedVersionChooser versions;
  cuminfield::request::admission::TieredScheduler scheduler;
};

} // namespace cuminfield::unit_tests::request
