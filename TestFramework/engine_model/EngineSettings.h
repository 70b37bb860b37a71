#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::test_framework::engine_model {

/// Tunables of one EngineModel. The defaults are the middle of three hardware generations.
struct EngineSettings
{
  core::Duration stepBase{ 10'000 };      ///< Time of a step with an empty batch.
  core::Duration perSequence{ 250 };      ///< Added to a step by each sequence that decodes.
  double prefillPerSecond = 20'000;       ///< Prompt tokens per second.
  core::Tokens chunk{ 256 };              ///< Prompt tokens that one step takes at most.
  std::uint32_t slots = 48;               ///< Batch at which tokens still keep their pace.
  std::uint32_t maxBatch = 144;           ///< Beyond this the engine queues, first come first.
  core::Tokens cacheCapacity{ 250'000 };  ///< Prefix cache.
  core::Duration reportPeriod{ 500'000 }; ///< Between load reports and between cache events.
  core::Duration reportLag{ 200'000 };    ///< Until a report or event is received.
  double eventLoss = 0.05;                ///< Share of cache events that are lost.
};

/// The three generations, slowest first: 0, 1 or 2.
EngineSettings Generation(std::uint32_t aGeneration);

/// A plain service: short calls, no prompt, no cache.
EngineSettings PlainService();

} // namespace cuminfield::test_framework::engine_model
