#include "cuminfield/process/capacity/CapacityService.h"

#include "cuminfield/request/capacity/CapacityMessages.h"

#include <utility>

namespace cuminfield::process::capacity {

CapacityService::CapacityService(Options aOptions)
  : mOptions(aOptions)
{
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &CapacityService::OnMessage));
  mOptions.directory.OnUpstreamAvailable().connect(
    [this](const request::UpstreamAnnouncement& aUpstream) {
      if (mBroker && aUpstream.dataCentre == mOptions.host.dataCentre) {
        mBroker->AddOrUpdateUpstream(aUpstream.id, aUpstream.service, aUpstream.slots);
      }
    });
  mOptions.directory.OnUpstreamUnavailable().connect([this](const core::UpstreamId& aUpstream) {
    if (mBroker) {
      mBroker->RemoveUpstream(aUpstream);
    }
  });
  mReportTimer =
    mOptions.timers.ScheduleEvery(mOptions.settings.reportInterval, [this] { SendReport(); });
}

void CapacityService::SendReport()
{
  std::erase_if(mLocalDeliveries,
                [](const core::TimerHandle& aHandle) { return !aHandle.IsActive(); });
  const auto* group = mOptions.groups.Find(core::GroupId(mOptions.host.dataCentre.Text()));
  if (!group || !mScheduler) {
    return;
  }
  const core::HostId leader = group->Group().Leader();
  if (leader.IsEmpty()) {
    return;
  }
  request::capacity::DemandReport report;
  report.host = mOptions.host.id;
  report.appliedSequence = mOptions.client.AppliedSequence();
  report.sequence = mOptions.client.BeginReport();
  mScheduler->FillDemandReport(report);
  proto::CapacityMessage message;
  message.set_environment(mOptions.host.environment.Text());
  *message.mutable_report() = request::capacity::ToMessage(report);
  Send(leader, message);
}

void CapacityService::Send(const core::HostId& aTo, const proto::CapacityMessage& aMessage)
{
  if (aTo == mOptions.host.id) {
    mLocalDeliveries.push_back(
      mOptions.timers.ScheduleAfter(core::Duration::zero(), [this, message = aMessage] {
        HandleMessage(mOptions.host.id, message);
      }));
    return;
  }
  mOptions.links.Send(
    aTo, { .channel = peer::Channel::Capacity, .payload = aMessage.SerializeAsString() });
}

void CapacityService::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::CapacityMessage message;
  const bool isCapacity = aMessage.channel == peer::Channel::Capacity;
  if (isCapacity && message.ParseFromString(aMessage.payload)) {
    HandleMessage(aFrom, message);
  }
}

void CapacityService::HandleMessage(const core::HostId& aFrom,
                                    const proto::CapacityMessage& aMessage)
{
  // Upstreams and grants are separate for each environment.
  if (aMessage.environment() != mOptions.host.environment.Text()) {
    return;
  }
  if (aMessage.has_report()) {
    HandleReport(aFrom, request::capacity::FromMessage(aMessage.report()));
    return;
  }
  if (aMessage.has_table()) {
    mOptions.client.ApplyTable(request::capacity::FromMessage(aMessage.table()));
  }
}

void CapacityService::HandleReport(const core::HostId& aFrom,
                                   const request::capacity::DemandReport& aReport)
{
  request::capacity::CapacityBroker* broker = GetBrokerIfLeading();
  if (!broker) {
    return;
  }
  proto::CapacityMessage reply;
  reply.set_environment(mOptions.host.environment.Text());
  *reply.mutable_table() =
    request::capacity::ToMessage(broker->OnReport(aReport, mOptions.timers.Now()));
  Send(aFrom, reply);
}

request::capacity::CapacityBroker* CapacityService::GetBrokerIfLeading()
{
  const auto* group = mOptions.groups.Find(core::GroupId(mOptions.host.dataCentre.Text()));
  const bool isLeading = group && group->voter &&
                         group->voter->CurrentRole() == log::Role::Leader &&
                         group->voter->HoldsLease();
  if (!isLeading) {
    mBroker.reset();
    return nullptr;
  }
  const core::Term term = group->voter->CurrentTerm();
  if (mBroker && mBrokerTerm == term) {
    return &*mBroker;
  }
  mBrokerTerm = term;
  mBroker.emplace(request::capacity::CapacitySettings{}, term, mOptions.timers.Now());
  for (const auto& it : mOptions.directory.List()) {
    if (it.available && it.announcement.dataCentre == mOptions.host.dataCentre) {
      mBroker->AddOrUpdateUpstream(it.announcement.id, it.announcement.service,
                                   it.announcement.slots);
    }
  }
  return &*mBroker;
}

} // namespace cuminfield::process::capacity
