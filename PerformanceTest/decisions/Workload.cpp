#include "PerformanceTest/decisions/Workload.h"

#include <algorithm>

namespace cuminfield::performance_test::decisions {

namespace {

constexpr std::int64_t kBlockTokens = request::kPrefixBlockTokens.value;
constexpr double kMicrosPerSecond = 1e6;

std::size_t DrawIndex(const std::vector<double>& aShares, core::Random& aRandom)
{
  double point = aRandom.Uniform();
  for (std::size_t n = 0; n + 1 < aShares.size(); ++n) {
    if (point < aShares[n]) {
      return n;
    }
    point -= aShares[n];
  }
  return aShares.size() - 1;
}

/// Draws a length between a tenth and ten times the mean.
std::int64_t DrawLength(std::int64_t aMean, core::Random& aRandom)
{
  const auto mean = static_cast<double>(aMean);
  const double drawn = mean * (0.1 + aRandom.Exponential(0.9));
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::min(drawn, mean * 10)));
}

void FillPrompt(Arrival& aArrival, const RequestClass& aClass, core::Random& aRandom)
{
  aArrival.promptTokens = aClass.sharedPromptTokens;
  if (aClass.meanUniquePromptTokens > 0) {
    aArrival.promptTokens += DrawLength(aClass.meanUniquePromptTokens, aRandom);
  }
  aArrival.sharedBlocks = aClass.sharedPromptTokens / kBlockTokens;
  for (std::int64_t n = 0; n < aArrival.promptTokens / kBlockTokens; ++n) {
    const bool shared = n < aArrival.sharedBlocks;
    const std::uint64_t name = aArrival.templateId * 4'096 + static_cast<std::uint64_t>(n) + 1;
    aArrival.prefixHashes.push_back(shared ? name * 0xd6e8feb86659fd93ULL : aRandom.Bits());
  }
}

Arrival MakeArrival(const WorkloadSettings& aSettings, const std::vector<RequestClass>& aClasses,
                    std::size_t aClass, core::Duration aAt, core::Random& aRandom)
{
  const RequestClass& requestClass = aClasses[aClass];
  Arrival arrival;
  arrival.arrivalTime = aAt;
  arrival.classIndex = aClass;
  arrival.region = static_cast<std::uint32_t>(DrawIndex(aSettings.regionShares, aRandom));
  arrival.workspace = static_cast<std::uint32_t>(DrawIndex(aSettings.workspaceShares, aRandom));
  // The minimum of two draws makes the first templates more popular.
  const std::uint64_t drawn = std::min(aRandom.UniformBelow(requestClass.templatesPerWorkspace),
                                       aRandom.UniformBelow(requestClass.templatesPerWorkspace));
  arrival.templateId = (aClass * 64 + arrival.workspace) * 1'024 + drawn;
  arrival.responseTokens = std::min(requestClass.meanResponseTokens * kMaxResponseFactor,
                                    DrawLength(requestClass.meanResponseTokens, aRandom));
  FillPrompt(arrival, requestClass, aRandom);
  return arrival;
}

double RateFactor(const WorkloadSettings& aSettings, core::Duration aAt)
{
  const auto length = static_cast<double>(aSettings.burstLength.count());
  const auto period = static_cast<double>(aSettings.burstPeriod.count());
  const double normalFactor = (period - aSettings.burstRateFactor * length) / (period - length);
  const bool burst = aAt % aSettings.burstPeriod < aSettings.burstLength;
  return burst ? aSettings.burstRateFactor : normalFactor;
}

} // namespace

std::vector<RequestClass> MakeRequestClasses(bool aConsortium)
{
  using std::chrono::milliseconds;
  const std::int64_t scale = aConsortium ? 1 : 2;
  const std::string engine = aConsortium ? "taxateur" : "asistent-roi";
  const std::string plain = aConsortium ? "kassa" : "dispecerat";
  return {
    { "quick", 0, engine, 0.70, 512, 96 * scale, 40 / scale, 4, milliseconds(480), milliseconds(39),
      true },
    { "blurb", 1, engine, 0.15, 512, 192, 150, 4, milliseconds(1'500), milliseconds(60), true },
    { "long", 2, engine, 0.10, 3'072, 1'200, 400, 12, milliseconds(10'000), milliseconds(100),
      true },
    { "background", 3, engine, 0.05, 1'024, 400, 300, 8, milliseconds(20'000), milliseconds(200),
      true },
    { "booking", 0, plain, 0.3, 0, 0, 6, 1, milliseconds(480), milliseconds(39), false },
    { "lookup", 1, plain, 0.7, 0, 0, 3, 1, milliseconds(1'000), milliseconds(60), true },
  };
}

double MinEngineSeconds(const RequestClass& aClass,
                        const test_framework::engine_model::EngineSettings& aEngine)
{
  const auto prompt = static_cast<double>(aClass.meanUniquePromptTokens);
  const auto answer = static_cast<double>(aClass.meanResponseTokens);
  const double baseSeconds =
    static_cast<double>(aEngine.baseStepDuration.count()) / kMicrosPerSecond;
  const double perSequenceSeconds =
    static_cast<double>(aEngine.stepDurationPerSequence.count()) / kMicrosPerSecond;
  const double steps = std::max(
    answer / aEngine.slots, prompt / static_cast<double>(aEngine.maxPrefillTokensPerStep.value));
  return prompt / aEngine.prefillTokensPerSecond + answer * perSequenceSeconds +
         baseSeconds * steps;
}

double MaxRequestRate(const std::vector<RequestClass>& aClasses, const std::string& aService,
                      const std::vector<test_framework::engine_model::EngineSettings>& aEngines)
{
  double rate = 0;
  for (const auto& engine : aEngines) {
    // Uses the mean request of the mix, so that prefill and decode share steps as well as possible.
    RequestClass mean;
    double prompt = 0;
    double answer = 0;
    for (const RequestClass& it : aClasses) {
      if (it.service == aService) {
        prompt += it.mixShare * static_cast<double>(it.meanUniquePromptTokens);
        answer += it.mixShare * static_cast<double>(it.meanResponseTokens);
      }
    }
    constexpr double kScale = 1'000; // Preserves fractions of tokens in integers.
    mean.meanUniquePromptTokens = static_cast<std::int64_t>(prompt * kScale);
    mean.meanResponseTokens = static_cast<std::int64_t>(answer * kScale);
    rate += kScale / MinEngineSeconds(mean, engine);
  }
  return rate;
}

std::vector<Arrival> MakeArrivals(const WorkloadSettings& aSettings,
                                  const std::vector<RequestClass>& aClasses,
                                  const std::vector<double>& aRate, core::Random& aRandom)
{
  std::vector<Arrival> arrivals;
  for (std::size_t classIndex = 0; classIndex < aClasses.size(); ++classIndex) {
    const bool bursts = aClasses[classIndex].tier == 0;
    const double maxRate = aRate[classIndex] * (bursts ? aSettings.burstRateFactor : 1.0);
    if (maxRate <= 0) {
      continue;
    }
    // Thinning: draws at the maximum rate and accepts in proportion to the current rate.
    core::Duration at{ 0 };
    while (true) {
      const double step = aRandom.Exponential(kMicrosPerSecond / maxRate);
      at += core::Duration(static_cast<std::int64_t>(step));
      if (at >= aSettings.length) {
        break;
      }
      const double factor = bursts ? RateFactor(aSettings, at) / aSettings.burstRateFactor : 1.0;
      if (aRandom.Chance(factor)) {
        arrivals.push_back(MakeArrival(aSettings, aClasses, classIndex, at, aRandom));
      }
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.arrivalTime < aRight.arrivalTime;
                   });
  return arrivals;
}

} // namespace cuminfield::performance_test::decisions
