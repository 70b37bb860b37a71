#include "TestFramework/prove/Oracle.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <filesystem>
#include <fstream>

namespace cuminfield::test_framework::prove {

void Oracle::Check(bool aHolds, const std::string& aViolation)
{
  ++mCheckCount;
  if (!aHolds) {
    ++mViolationCount;
    spdlog::error("violation: {}", aViolation);
  }
}

void Oracle::CheckFolder(const std::string& aFolder)
{
  for (const auto& it : std::filesystem::directory_iterator(aFolder)) {
    if (it.path().extension() == ".record") {
      ReadRunRecord(it.path());
    }
  }
  for (const auto& [key, ids] : mRunsByKey) {
    Check(ids.size() == 1, fmt::format("key {} ran {} times", key, ids.size()));
  }
  for (const auto& [id, runs] : mRunCountsById) {
    Check(runs == 1, fmt::format("request {} ran {} times", id, runs));
  }
  std::ifstream outcomes(aFolder + "/outcomes.jsonl");
  std::string line;
  while (std::getline(outcomes, line)) {
    CheckOutcome(line);
  }
}

std::string Oracle::OutcomeSummary() const
{
  std::string text;
  for (const auto& [kind, count] : mOutcomeCounts) {
    text += fmt::format("{}={} ", kind, count);
  }
  return text;
}

void Oracle::ReadRunRecord(const std::string& aFile)
{
  std::ifstream record(aFile);
  std::string line;
  while (std::getline(record, line)) {
    const auto event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object() || event.value("kind", "") != "begin") {
      continue;
    }
    const std::string id = event.value("request_id", "");
    const std::string key = event.value("key", "");
    if (event.value("method", "") != "GET") {
      ++mRunCountsById[id];
    }
    if (!key.empty()) {
      mRunsByKey[key].push_back(id);
    }
  }
}

void Oracle::CheckOutcome(const std::string& aLine)
{
  const auto outcome = nlohmann::json::parse(aLine, nullptr, false);
  if (!outcome.is_object()) {
    return;
  }
  const std::string kind = outcome.value("outcome", "");
  const std::string key = outcome.value("key", "");
  const std::size_t runs = mRunsByKey.contains(key) ? mRunsByKey.at(key).size() : 0;
  ++mOutcomeCounts[kind];
  Check(kind != "wrong", "wrong response: " + outcome.value("detail", ""));
  for (const std::string id : outcome.value("not_run_ids", nlohmann::json::array())) {
    Check(!mRunCountsById.contains(id), "request " + id + " ran after a not-run response");
  }
  if (kind == "not-run" && !key.empty()) {
    Check(runs == 0, "key " + key + " ran, but its last response is not-run");
  }
  if (!key.empty()) {
    const bool noResponse = kind == "broken" && outcome.value("status", 0) == 0;
    Check(!noResponse, fmt::format("key {} ({}) got no response in {} attempts", key,
                                   outcome.value("target", ""), outcome.value("attempts", 0)));
  }
  if (kind == "answered" && outcome.value("target", "") == "/payouts") {
    Check(runs == 1,
          fmt::format("payout {} got a successful response but ran {} times", key, runs));
  }
}

} // namespace cuminfield::test_framework::prove
