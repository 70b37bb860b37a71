#pragma once

#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/request/quarantine/CrashAttribution.h"

#include <vector>

namespace cuminfield::process::cluster {

// Conversions between the messages of crashes and suspected parts and their types.

request::quarantine::CrashReport ToCrashReport(const proto::CrashReport& aMessage);
proto::CrashReport ToProto(const request::quarantine::CrashReport& aReport);

request::quarantine::ServicePart ToServicePart(const proto::ServicePart& aMessage);
proto::ServicePart ToProto(const request::quarantine::ServicePart& aPart);

using ServicePartList = google::protobuf::RepeatedPtrField<proto::ServicePart>;
std::vector<request::quarantine::ServicePart> ToServiceParts(const ServicePartList& aList);

/// aParts: a vector or set of parts.
template<typename Parts>
ServicePartList ToServicePartList(const Parts& aParts)
{
  ServicePartList list;
  for (const request::quarantine::ServicePart& it : aParts) {
    *list.Add() = ToProto(it);
  }
  return list;
}

request::quarantine::CrashAttribution::Record ToRecord(const proto::SuspectRecord& aMessage);
proto::SuspectRecord ToProto(const core::PromptPartId& aPart,
                             const request::quarantine::CrashAttribution::Record& aRecord);

} // namespace cuminfield::process::cluster
