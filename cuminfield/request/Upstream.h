#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::request {

/// The properties that an upstream announces when it registers or renews its lease.
struct UpstreamAnnouncement
{
  core::UpstreamId id{};
  core::Incarnation incarnation{}; ///< Increases with each restart of the upstream.
  core::ServiceId service{};
  core::VersionId version{};
  core::DataCentreId dataCentre{};
  core::RegionId region{}; ///< Of its data centre; empty if this host does not know it.
  std::string address{};   ///< IP address.
  std::uint16_t port = 0;
  std::uint32_t slots = 1;         ///< Requests it runs concurrently without slowing down.
  core::Tokens cacheCapacity{ 0 }; ///< Size of the prefix cache.
  bool supportsResume = false;     ///< Streams can be reread from an offset by request id.
  bool isEngine = false;           ///< True for a model engine, false for a plain service.
};

/// What an upstream says of itself in an answer.
struct UpstreamNotice
{
  bool isLeaving = false; ///< It shuts down and takes no new work.
  /// It turned the request away and wants no other one from this host for so long.
  std::optional<core::Duration> retryAfter;

  bool IsEmpty() const { return !isLeaving && !retryAfter; }
};

/// An upstream's report of its load, as of some time ago.
struct LoadReport
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0; ///< Incremented by each report; a gap means lost reports.
  core::Duration age{ 0 };    ///< Age of the figures when the report was received.
  std::uint32_t running = 0;  ///< Requests in the current batch.
  std::uint32_t waiting = 0;  ///< Requests queued inside the engine.
  core::Tokens queuedPrefillTokens{ 0 };
  bool hasRequests = true; ///< False if `running` could not be read.
  /// How long work takes at this moment, in per cent of the usual time.
  std::optional<std::uint32_t> speedPercent{};
};

/// Prefix blocks stored in or removed from an upstream's cache. Delivered late and with gaps.
struct CacheEvent
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0; ///< Incremented by each event; a gap means lost events.
  std::vector<PrefixHash> stored;
  std::vector<PrefixHash> removed;
};

} // namespace cuminfield::request
