#include "TestFramework/engine_model/EngineSettings.h"

namespace cuminfield::test_framework::engine_model {

EngineSettings Generation(std::uint32_t aGeneration)
{
  EngineSettings settings;
  if (aGeneration == 0) {
    settings.stepBase = core::Duration(13'000);
    settings.perSequence = core::Duration(1'000);
    settings.prefillPerSecond = 4'500;
    settings.chunk = core::Tokens{ 64 };
    settings.slots = 10;
    settings.maxBatch = 30;
    settings.cacheCapacity = core::Tokens{ 64'000 };
  }
  if (aGeneration == 2) {
    settings.stepBase = core::Duration(8'000);
    settings.perSequence = core::Duration(500);
    settings.prefillPerSecond = 16'000;
    settings.chunk = core::Tokens{ 256 };
    settings.slots = 24;
    settings.maxBatch = 72;
    settings.cacheCapacity = core::Tokens{ 160'000 };
  }
  return settings;
}

EngineSettings PlainService()
{
  EngineSettings settings;
  settings.stepBase = core::Duration(4'000);
  settings.perSequence = core::Duration(300);
  settings.slots = 16;
  settings.maxBatch = 32;
  settings.cacheCapacity = core::Tokens{ 0 };
  return settings;
}

} // namespace cuminfield::test_framework::engine_model
