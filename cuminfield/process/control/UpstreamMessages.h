#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/request/Upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::control {

/// What an upstream says when it renews.
struct Renewal
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::optional<request::LoadReport> load;
  std::vector<request::CacheEvent> cache;
};

/// Reads `POST /upstreams/announce`. InvalidRequest names the field.
core::Result<request::UpstreamAnnouncement> ReadAnnouncement(const std::string& aBody);

/// Reads `POST /upstreams/renew` and, of it only id and incarnation, `POST /upstreams/leave`.
core::Result<Renewal> ReadRenewal(const std::string& aBody);

} // namespace cuminfield::process::control
