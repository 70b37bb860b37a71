#include "TestFramework/prove/RevisionChecker.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminfield::test_framework::prove {

namespace {

constexpr std::uint64_t kMaxWeight = 1'000;
constexpr core::Duration kPollInterval = std::chrono::milliseconds(100);
constexpr core::Duration kLostResponseTimeout = std::chrono::milliseconds(2);

core::WallTime WallNow()
{
  return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

} // namespace

RevisionChecker::RevisionChecker(Cluster& aCluster, Oracle& aOracle, std::uint64_t aSeed)
  : mCluster(aCluster)
  , mOracle(aOracle)
  , mRandom(aSeed)
  , mRequestIds(aSeed + 1)
{
}

bool RevisionChecker::SubmitChange(std::size_t aHost)
{
  const std::string requestId = mRequestIds.Next(WallNow()).Text();
  mWeight = mWeight % kMaxWeight + 1;
  const ChangeResponse response = PutDocument(aHost, mLatestAccepted, requestId, mWeight);
  RecordResponse(response);
  if (response.status == 409) {
    mLatestAccepted = std::max(mLatestAccepted, response.revision);
  }
  return response.status == 200;
}

void RevisionChecker::SubmitConcurrentChanges(std::size_t aFirstHost, std::size_t aSecondHost)
{
  const std::uint64_t base = mLatestAccepted;
  const std::string firstId = mRequestIds.Next(WallNow()).Text();
  const std::string secondId = mRequestIds.Next(WallNow()).Text();
  const std::uint64_t weight = mRandom.UniformBelow(kMaxWeight) + 1;
  // The first response may be lost. The operator then resends the same change through another
  // host.
  PutDocument(aFirstHost, base, firstId, weight, kLostResponseTimeout);
  const ChangeResponse secondResponse =
    PutDocument(aSecondHost, base, secondId, weight % kMaxWeight + 1);
  const ChangeResponse firstResponse = PutDocument(aSecondHost, base, firstId, weight);
  const ChangeResponse resendResponse = PutDocument(aFirstHost, base, firstId, weight);
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
  RecordResponse(secondResponse);
  RecordResponse(firstResponse);
  RecordResponse(resendResponse);
}

void RevisionChecker::CheckHosts()
{
  for (std::size_t i = 0; i < Cluster::kHostIds.size(); ++i) {
    if (mCluster.ChildProcesses().IsRunning(Cluster::kHostIds.at(i))) {
      CheckRevision(i, mCluster.GetRevision(i));
    }
  }
}

void RevisionChecker::AwaitConvergence(time::LoopTimerService& aTimers, core::Duration aTimeout)
{
  const core::Instant deadline = aTimers.Now() + aTimeout;
  for (std::size_t i = 0; i < Cluster::kHostIds.size(); ++i) {
    std::uint64_t revision = mCluster.GetRevision(i);
    while (revision < mLatestAccepted && aTimers.Now() < deadline) {
      aTimers.RunFor(kPollInterval);
      revision = mCluster.GetRevision(i);
    }
    mOracle.Check(revision >= mLatestAccepted,
                  fmt::format("{} has revision {}, but revision {} was accepted",
                              Cluster::kHostIds.at(i), revision, mLatestAccepted));
    CheckRevision(i, revision);
  }
}

RevisionChecker::ChangeResponse RevisionChecker::PutDocument(std::size_t aHost, std::uint64_t aBase,
                                                             const std::string& aRequestId,
                                                             std::uint64_t aWeight,
                                                             core::Duration aTimeout)
{
  const std::string target =
    fmt::format("/documents/trial?base={}&operator=prove&request={}", aBase, aRequestId);
  const auto response =
    mCluster.SendRequest(aHost, "PUT", target, mCluster.MakeDocument(aWeight), aTimeout);
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  ChangeResponse result{ .status = response.status };
  if (body.is_object() && body.contains("revision") && body["revision"].is_number()) {
    result.revision = body["revision"].get<std::uint64_t>();
  }
  return result;
}

void RevisionChecker::RecordResponse(const ChangeResponse& aResponse)
{
  if (aResponse.status == 200 || aResponse.status == 409) {
    mLatestAccepted = std::max(mLatestAccepted, aResponse.revision);
  }
}

void RevisionChecker::CheckRevision(std::size_t aHost, std::uint64_t aRevision)
{
  if (aRevision == 0) {
    return;
  }
  std::uint64_t& lastObserved = mLastObserved.at(aHost);
  mOracle.Check(aRevision >= lastObserved,
                fmt::format("revision of {} decreased from {} to {}", Cluster::kHostIds.at(aHost),
                            lastObserved, aRevision));
  lastObserved = std::max(lastObserved, aRevision);
}

} // namespace cuminfield::test_framework::prove
