#include "cuminfield/process/cluster/CrashMessages.h"

namespace cuminfield::process::cluster {

using request::quarantine::CrashAttribution;
using request::quarantine::CrashReport;
using request::quarantine::ServicePart;

CrashReport ToCrashReport(const proto::CrashReport& aMessage)
{
  CrashReport report{ .crash = { .service = core::ServiceId(aMessage.service()),
                                 .upstream = core::UpstreamId(aMessage.upstream()),
                                 .incarnation = core::Incarnation(aMessage.incarnation()) },
                      .parts = {} };
  for (const proto::SuspectPart& it : aMessage.parts()) {
    report.parts.push_back(
      { .part = core::PromptPartId(it.part()), .wasSuspected = it.was_suspected() });
  }
  return report;
}

proto::CrashReport ToProto(const CrashReport& aReport)
{
  proto::CrashReport message;
  message.set_service(aReport.crash.service.Text());
  message.set_upstream(aReport.crash.upstream.Text());
  message.set_incarnation(aReport.crash.incarnation.Value());
  for (const request::quarantine::SuspectPart& it : aReport.parts) {
    proto::SuspectPart* part = message.add_parts();
    part->set_part(it.part.Text());
    part->set_was_suspected(it.wasSuspected);
  }
  return message;
}

ServicePart ToServicePart(const proto::ServicePart& aMessage)
{
  return { core::ServiceId(aMessage.service()), core::PromptPartId(aMessage.part()) };
}

proto::ServicePart ToProto(const ServicePart& aPart)
{
  proto::ServicePart message;
  message.set_service(aPart.first.Text());
  message.set_part(aPart.second.Text());
  return message;
}

std::vector<ServicePart> ToServiceParts(const ServicePartList& aList)
{
  std::vector<ServicePart> parts;
  for (const proto::ServicePart& it : aList) {
    parts.push_back(ToServicePart(it));
  }
  return parts;
}

CrashAttribution::Record ToRecord(const proto::SuspectRecord& aMessage)
{
  CrashAttribution::Record record{ .crashes = {},
                                   .wasSuspected = aMessage.was_suspected(),
                                   .hasStartedBefore = aMessage.started_before(),
                                   .lastCrashMs = aMessage.last_crash_ms(),
                                   .releases = aMessage.releases() };
  for (const proto::CrashReport& it : aMessage.crashes()) {
    record.crashes.push_back(ToCrashReport(it).crash);
  }
  return record;
}

proto::SuspectRecord ToProto(const core::PromptPartId& aPart,
                             const CrashAttribution::Record& aRecord)
{
  proto::SuspectRecord message;
  message.set_part(aPart.Text());
  for (const request::quarantine::Crash& it : aRecord.crashes) {
    *message.add_crashes() = ToProto(CrashReport{ .crash = it, .parts = {} });
  }
  message.set_was_suspected(aRecord.wasSuspected);
  message.set_started_before(aRecord.hasStartedBefore);
  message.set_last_crash_ms(aRecord.lastCrashMs);
  message.set_releases(aRecord.releases);
  return message;
}

} // namespace cuminfield::process::cluster
