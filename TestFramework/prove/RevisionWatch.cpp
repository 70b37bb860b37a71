#include "TestFramework/prove/RevisionWatch.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminfield::test_framework::prove {

namespace {

constexpr std::uint64_t kMostWeight = 1'000;
constexpr core::Duration kPoll = std::chrono::milliseconds(100);
constexpr core::Duration kLostAnswer = std::chrono::milliseconds(2);

core::WallTime WallNow()
{
  return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

} // namespace

RevisionWatch::RevisionWatch(Cluster& aCluster, Oracle& aOracle, std::uint64_t aSeed)
  : mCluster(aCluster)
  , mOracle(aOracle)
  , mRandom(aSeed)
  , mRequests(aSeed + 1)
{
}

bool RevisionWatch::Change(std::size_t aHost)
{
  const std::string requestId = mRequests.Next(WallNow()).Text();
  mWeight = mWeight % kMostWeight + 1;
  const Answer response = Put(aHost, mAccepted, requestId, mWeight);
  Note(response);
  if (response.status == 409) {
    mAccepted = std::max(mAccepted, response.revision);
  }
  return response.status == 200;
}

void RevisionWatch::Race(std::size_t aFirstHost, std::size_t aSecondHost)
{
  const std::uint64_t base = mAccepted;
  const std::string firstId = mRequests.Next(WallNow()).Text();
  const std::string secondId = mRequests.Next(WallNow()).Text();
  const std::uint64_t weight = mRandom.UniformBelow(kMostWeight) + 1;
  // The first response may be lost. The operator then resends the same change through another
  // host.
  Put(aFirstHost, base, firstId, weight, kLostAnswer);
  const Answer secondResponse = Put(aSecondHost, base, secondId, weight % kMostWeight + 1);
  const Answer firstResponse = Put(aSecondHost, base, firstId, weight);
  const Answer resendResponse = Put(aFirstHost, base, firstId, weight);
  const int accepted =
    (firstResponse.status == 200 ? 1 : 0) + (secondResponse.status == 200 ? 1 : 0);
  mOracle.Check(accepted <= 1,
                fmt::format("two changes with base revision {} were accepted", base));
  if (firstResponse.status == 200 && resendResponse.status == 200) {
    mOracle.Check(firstResponse.revision == resendResponse.revision,
                  "a resent change got another revision");
  }
  const bool acceptedThenRejected = firstResponse.status == 200 && resendResponse.status == 409;
  mOracle.Check(!acceptedThenRejected, "a resend of an accepted change was rejected");
  Note(secondResponse);
  Note(firstResponse);
  Note(resendResponse);
}

void RevisionWatch::Look()
{
  for (std::size_t i = 0; i < Cluster::kHosts.size(); ++i) {
    if (mCluster.Children().Running(Cluster::kHosts.at(i))) {
      See(i, mCluster.RevisionAt(i));
    }
  }
}

void RevisionWatch::AwaitEverywhere(time::LoopTimerService& aTimers, core::Duration aTimeout)
{
  const core::Instant deadline = aTimers.Now() + aTimeout;
  for (std::size_t i = 0; i < Cluster::kHosts.size(); ++i) {
    std::uint64_t revision = mCluster.RevisionAt(i);
    while (revision < mAccepted && aTimers.Now() < deadline) {
      aTimers.RunFor(kPoll);
      revision = mCluster.RevisionAt(i);
    }
    mOracle.Check(revision >= mAccepted,
                  fmt::format("{} has revision {}, but revision {} was accepted",
                              Cluster::kHosts.at(i), revision, mAccepted));
    See(i, revision);
  }
}

RevisionWatch::Answer RevisionWatch::Put(std::size_t aHost, std::uint64_t aBase,
                                         const std::string& aRequestId, std::uint64_t aWeight,
                                         core::Duration aTimeout)
{
  const std::string target =
    fmt::format("/documents/trial?base={}&operator=prove&request={}", aBase, aRequestId);
  const auto response = mCluster.Ask(aHost, "PUT", target, mCluster.Document(aWeight), aTimeout);
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  Answer result{ .status = response.status };
  if (body.is_object() && body.contains("revision") && body["revision"].is_number()) {
    result.revision = body["revision"].get<std::uint64_t>();
  }
  return result;
}

void RevisionWatch::Note(const Answer& aResponse)
{
  if (aResponse.status == 200 || aResponse.status == 409) {
    mAccepted = std::max(mAccepted, aResponse.revision);
  }
}

void RevisionWatch::See(std::size_t aHost, std::uint64_t aRevision)
{
  if (aRevision == 0) {
    return;
  }
  std::uint64_t& lastObserved = mSeen.at(aHost);
  mOracle.Check(aRevision >= lastObserved,
                fmt::format("revision of {} decreased from {} to {}", Cluster::kHosts.at(aHost),
                            lastObserved, aRevision));
  lastObserved = std::max(lastObserved, aRevision);
}

} // namespace cuminfield::test_framework::prove
