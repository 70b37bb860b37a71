#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/request/Upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::control {

/// An upstream's renewal of its lease, with optional load and cache reports.
struct UpstreamRenewal
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::optional<request::LoadReport> loadReport;
  std::vector<request::CacheEvent> cacheEvents;
};

/// Parses the body of `POST /upstreams/announce`. InvalidRequest names the invalid field.
core::Result<request::UpstreamAnnouncement> ParseAnnouncement(const std::string& aBody);

/// Parses the body of `POST /upstreams/renew` or `POST /upstreams/leave`; a leave uses only id and
/// incarnation.
core::Result<UpstreamRenewal> ParseRenewal(const std::string& aBody);

} // namespace cuminfield::process::control
