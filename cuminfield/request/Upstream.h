#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfield::request {

/// What an upstream says of itself when it announces or renews.
struct UpstreamAnnouncement
{
  core::UpstreamId id{};
  core::Incarnation incarnation{}; ///< Grows with each restart of the upstream.
  core::ServiceId service{};
  core::VersionId version{};
  core::DataCentreId dataCentre{};
  core::RegionId region{};
  std::string address{}; ///< IP number.
  std::uint16_t port = 0;
  std::uint32_t slots = 1;         ///< Requests it runs at once before its pace falls.
  core::Tokens cacheCapacity{ 0 }; ///< Tokens of prefix cache.
  bool supportsResume = false;     ///< Streams can be read again from an offset by request id.
  bool isEngine = false;           ///< A model engine.
};

/// An upstream's report on its load: true some time ago.
struct LoadReport
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0; ///< Grows by one each report; a gap means lost reports.
  core::Duration age{ 0 };    ///< How old the figures were when they were received.
  std::uint32_t running = 0;  ///< Requests in the batch.
  std::uint32_t waiting = 0;  ///< Requests queued inside the engine.
  core::Tokens queuedPrefillTokens{ 0 };
};

/// Blocks of prefix that entered or left an upstream's cache; late and with gaps.
struct CacheEvent
{
  core::UpstreamId id;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0; ///< Grows by one each event; a gap means lost events.
  std::vector<PrefixHash> stored;
  std::vector<PrefixHash> removed;
};

} // namespace cuminfield::request
