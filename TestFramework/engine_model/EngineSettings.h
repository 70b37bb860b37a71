#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::test_framework::engine_model {

/// Settings of an EngineModel. The defaults are the middle of three hardware generations.
struct EngineSettings
{
  core::Duration baseStepDuration{ 10'000 };     ///< Duration of a step of an empty batch.
  core::Duration stepDurationPerSequence{ 250 }; ///< Added for each decoding sequence.
  double prefillTokensPerSecond = 20'000;
  core::Tokens maxPrefillTokensPerStep{ 256 };
  std::uint32_t slots = 48;                 ///< Batch size up to which the token interval holds.
  std::uint32_t maxBatchSize = 144;         ///< Further requests wait in a FIFO queue.
  core::Tokens cacheCapacity{ 250'000 };    ///< Of the prefix cache.
  core::Duration reportInterval{ 500'000 }; ///< Of load reports and of cache events.
  core::Duration reportDelay{ 200'000 }; ///< From the sampling of a report or event to its receipt.
  double eventLossRatio = 0.05;          ///< Fraction of cache events that are lost.
};

/// Returns the settings of hardware generation 0, 1 or 2, slowest first.
EngineSettings MakeGenerationSettings(std::uint32_t aGeneration);

/// Returns the settings of a plain service: short calls without prompts or a cache.
EngineSettings MakePlainServiceSettings();

} // namespace cuminfield::test_framework::engine_model
