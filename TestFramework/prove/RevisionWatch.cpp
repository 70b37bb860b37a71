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
  const std::string request = mRequests.Next(WallNow()).Text();
  mWeight = mWeight % kMostWeight + 1;
  const Answer answer = Put(aHost, mAccepted, request, mWeight);
  Note(answer);
  if (answer.status == 409) {
    mAccepted = std::max(mAccepted, answer.revision);
  }
  return answer.status == 200;
}

void RevisionWatch::Race(std::size_t aOne, std::size_t aOther)
{
  const std::uint64_t base = mAccepted;
  const std::string first = mRequests.Next(WallNow()).Text();
  const std::string second = mRequests.Next(WallNow()).Text();
  const std::uint64_t weight = mRandom.Below(kMostWeight) + 1;
  // The first answer may be lost: the operator then sends the same again through another host.
  Put(aOne, base, first, weight, kLostAnswer);
  const Answer other = Put(aOther, base, second, weight % kMostWeight + 1);
  const Answer one = Put(aOther, base, first, weight);
  const Answer again = Put(aOne, base, first, weight);
  const int accepted = (one.status == 200 ? 1 : 0) + (other.status == 200 ? 1 : 0);
  mOracle.Check(accepted <= 1, fmt::format("two changes on revision {} were accepted", base));
  if (one.status == 200 && again.status == 200) {
    mOracle.Check(one.revision == again.revision, "a resend got another revision");
  }
  const bool reversed = one.status == 200 && again.status == 409;
  mOracle.Check(!reversed, "a resend of an accepted change was refused");
  Note(other);
  Note(one);
  Note(again);
}

void RevisionWatch::Look()
{
  for (std::size_t i = 0; i < Cluster::kHosts.size(); ++i) {
    if (mCluster.Children().Running(Cluster::kHosts.at(i))) {
      See(i, mCluster.RevisionAt(i));
    }
  }
}

void RevisionWatch::AwaitEverywhere(time::LoopTimerService& aTimers, core::Duration aLimit)
{
  const core::Instant limit = aTimers.Now() + aLimit;
  for (std::size_t i = 0; i < Cluster::kHosts.size(); ++i) {
    std::uint64_t revision = mCluster.RevisionAt(i);
    while (revision < mAccepted && aTimers.Now() < limit) {
      aTimers.RunFor(kPoll);
      revision = mCluster.RevisionAt(i);
    }
    mOracle.Check(revision >= mAccepted, fmt::format("{} has revision {}, accepted is {}",
                                                     Cluster::kHosts.at(i), revision, mAccepted));
    See(i, revision);
  }
}

RevisionWatch::Answer RevisionWatch::Put(std::size_t aHost, std::uint64_t aBase,
                                         const std::string& aRequest, std::uint64_t aWeight,
                                         core::Duration aTimeout)
{
  const std::string target =
    fmt::format("/documents/trial?base={}&operator=prove&request={}", aBase, aRequest);
  const auto response = mCluster.Ask(aHost, "PUT", target, mCluster.Document(aWeight), aTimeout);
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  Answer answer{ .status = response.status };
  if (body.is_object() && body.contains("revision") && body["revision"].is_number()) {
    answer.revision = body["revision"].get<std::uint64_t>();
  }
  return answer;
}

void RevisionWatch::Note(const Answer& aAnswer)
{
  if (aAnswer.status == 200 || aAnswer.status == 409) {
    mAccepted = std::max(mAccepted, aAnswer.revision);
  }
}

void RevisionWatch::See(std::size_t aHost, std::uint64_t aRevision)
{
  if (aRevision == 0) {
    return;
  }
  std::uint64_t& seen = mSeen.at(aHost);
  mOracle.Check(aRevision >= seen, fmt::format("{} went back from revision {} to {}",
                                               Cluster::kHosts.at(aHost), seen, aRevision));
  seen = std::max(seen, aRevision);
}

} // namespace cuminfield::test_framework::prove
