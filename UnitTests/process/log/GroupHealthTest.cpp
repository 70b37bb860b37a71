#include "cuminfield/process/log/GroupHealth.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::log;
using namespace std::chrono_literals;

namespace {

/// A group whose voters have these silences, and which the settings want to have aTarget voters.
GroupHealth MakeHealth(const std::vector<core::Duration>& aSilences, std::size_t aTarget)
{
  GroupHealth::Options options{ .silentAfter = 600ms, .targetVoters = aTarget };
  for (const core::Duration it : aSilences) {
    const Member member{ .host = core::HostId("h" + std::to_string(options.voters.voters.size())),
                         .incarnation = core::Incarnation(1) };
    options.voters.voters.push_back(member);
    options.silence.emplace(member, it);
  }
  return GroupHealth(std::move(options));
}

} // namespace

TEST_GROUP(GroupHealth){};

TEST(GroupHealth, CompleteGroupToleratesWhatIsWanted)
{
  const GroupHealth health = MakeHealth({ 0ms, 75ms, 75ms, 75ms, 600ms }, 5);
  CHECK_EQUAL(5, health.ActiveVoterCount());
  CHECK_EQUAL(0, health.SilentVoterCount());
  CHECK_EQUAL(2, health.LossesTolerated());
  CHECK_EQUAL(2, health.LossesWanted());
}

TEST(GroupHealth, EachSilentVoterCostsOneLoss)
{
  CHECK_EQUAL(1, MakeHealth({ 0ms, 75ms, 75ms, 75ms, 601ms }, 5).LossesTolerated());
  CHECK_EQUAL(0, MakeHealth({ 0ms, 75ms, 75ms, 1s, 1h }, 5).LossesTolerated());
  // No majority is active: no loss is tolerated, nor is a negative number.
  CHECK_EQUAL(0, MakeHealth({ 0ms, 75ms, 1s, 1s, 1h }, 5).LossesTolerated());
}

TEST(GroupHealth, GroupWithAnEvenNumberOfVotersToleratesNoMoreThanWithOneLess)
{
  CHECK_EQUAL(1, MakeHealth({ 0ms, 0ms, 0ms, 0ms }, 5).LossesTolerated());
  CHECK_EQUAL(1, MakeHealth({ 0ms, 0ms, 0ms }, 5).LossesTolerated());
  CHECK_EQUAL(0, MakeHealth({ 0ms, 0ms }, 5).LossesTolerated());
  CHECK_EQUAL(0, MakeHealth({ 0ms }, 5).LossesTolerated());
}

TEST(GroupHealth, VoterThatNeverRepliedIsSilent)
{
  GroupHealth::Options options{ .silentAfter = 600ms, .targetVoters = 1 };
  options.voters.voters.push_back({ .host = core::HostId("a"), .incarnation = {} });
  const GroupHealth health(std::move(options));
  CHECK_EQUAL(1, health.SilentVoterCount());
  CHECK_EQUAL(0, health.LossesTolerated());
}
