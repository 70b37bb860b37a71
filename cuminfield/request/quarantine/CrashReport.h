#pragma once

#include "cuminfield/core/Ids.h"

#include <compare>
#include <utility>
#include <vector>

namespace cuminfield::request::quarantine {

/// The end of one incarnation of an upstream, as a request that it was running saw it.
struct Crash
{
  core::ServiceId service;
  core::UpstreamId upstream;
  core::Incarnation incarnation;

  auto operator<=>(const Crash&) const = default;
};

/// A part of the prompt of a request that broke off.
struct SuspectPart
{
  core::PromptPartId part;
  /// The host knew of several crashes with the part when it sent the request.
  bool wasSuspected = false;
};

/// A request that broke off at an upstream before its first token.
struct CrashReport
{
  Crash crash;
  std::vector<SuspectPart> parts;
};

/// A part and the service at whose upstreams requests with it broke off, or began.
using ServicePart = std::pair<core::ServiceId, core::PromptPartId>;

/// Parts, in ascending order, that only together are known to crash upstreams.
using PartGroup = std::vector<core::PromptPartId>;

} // namespace cuminfield::request::quarantine
