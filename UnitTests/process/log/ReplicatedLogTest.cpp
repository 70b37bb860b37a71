#include "cuminfield/process/log/ReplicatedLog.h"
#include "cuminfield/core/Invariant.h"

#include <stdexcept>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::log;

namespace {

const core::HostId kSelf("a");
const core::HostId kOther("b");
const core::HostId kThird("c");
constexpr std::uint64_t kIncarnation = 1;

/// Makes a voter of {a, b, c}, all in their first incarnation, with the founding entry stored.
/// aHosts are the hosts of its settings.
ReplicatedLog MakeVoter(core::Instant aNow,
                        const std::vector<core::HostId>& aHosts = { kSelf, kOther, kThird })
{
  Configuration founders;
  for (const core::HostId& host : { kSelf, kOther, kThird }) {
    founders.voters.push_back({ .host = host, .incarnation = core::Incarnation(kIncarnation) });
  }
  proto::Entry entry;
  entry.set_index(1);
  entry.set_term(1);
  *entry.mutable_configuration() = ToProto(founders);
  LogContents contents;
  contents.incarnation = core::Incarnation(kIncarnation);
  contents.hardState.set_term(1);
  contents.entries.push_back(entry);
  return ReplicatedLog({ .group = core::GroupId("g"),
                         .self = kSelf,
                         .voters = aHosts,
                         .contents = std::move(contents),
                         .random = core::Random(1),
                         .now = aNow,
                         .settings = {} });
}

proto::LogMessage MakeMessage(std::uint64_t aTerm)
{
  proto::LogMessage message;
  message.set_group("g");
  message.set_from_incarnation(kIncarnation);
  message.set_to_incarnation(kIncarnation);
  message.set_term(aTerm);
  return message;
}

/// Makes an append request with one command at aIndex. All entries but the first are of term aTerm.
proto::LogMessage MakeAppend(std::uint64_t aTerm, const std::string& aCommand,
                             std::uint64_t aCommit, std::uint64_t aIndex = 2)
{
  proto::LogMessage message = MakeMessage(aTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(aIndex - 1);
  request->set_previous_term(aIndex == 2 ? 1 : aTerm);
  request->set_commit(aCommit);
  proto::Entry* entry = request->add_entries();
  entry->set_index(aIndex);
  entry->set_term(aTerm);
  entry->set_command(aCommand);
  return message;
}

proto::LogMessage MakeVoteRequest(std::uint64_t aTerm)
{
  proto::LogMessage message = MakeMessage(aTerm);
  message.mutable_vote_request()->set_last_index(9);
  message.mutable_vote_request()->set_last_term(aTerm - 1);
  return message;
}

/// Thrown instead of ending the process.
struct InvariantBroken : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

void ThrowInvariantBroken(const char* aName)
{
  throw InvariantBroken(aName);
}

std::size_t CountVoteRequests(const std::vector<OutgoingMessage>& aMessages)
{
  std::size_t n = 0;
  for (const OutgoingMessage& it : aMessages) {
    n += it.message.has_vote_request() ? 1 : 0;
  }
  return n;
}

/// Returns the name of the invariant that aAction breaks; empty when it breaks none.
std::string FindBrokenInvariant(const std::function<void()>& aAction)
{
  core::SetInvariantHandler(ThrowInvariantBroken);
  std::string name;
  try {
    aAction();
  } catch (const InvariantBroken& broken) {
    name = broken.what();
  }
  core::SetInvariantHandler(nullptr);
  return name;
}

} // namespace

TEST_GROUP(ReplicatedLog)
{
  core::Instant now{ 1'000s };
  ReplicatedLog log = MakeVoter(now);
};

/// Guards against a member that takes itself for current on the word of a leader whose commit index
/// does not yet cover what former leaders committed.
TEST(ReplicatedLog, CommitIndexOfANewLeaderIsNotAllThatWasCommitted)
{
  log.Receive(kOther, MakeAppend(1, "x", 0), now);
  proto::LogMessage heartbeat = MakeMessage(2);
  heartbeat.mutable_append_request()->set_previous_index(2);
  heartbeat.mutable_append_request()->set_previous_term(1);
  log.Receive(kOther, heartbeat, now);
  CHECK(log.Leader() == kOther);
  CHECK_FALSE(log.CurrentAsOf().has_value());
  heartbeat.mutable_append_request()->set_commit(2);
  heartbeat.mutable_append_request()->set_confirmed_ms_ago(40);
  log.Receive(kOther, heartbeat, now);
  CHECK(log.CurrentAsOf() == now - 40ms);
}

TEST(ReplicatedLog, SendsNoAcknowledgementBeforeItIsDurable)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  CHECK(log.TakeMessages().empty());
  CHECK(log.HasBatch());
  const PersistBatch batch = log.TakeBatch();
  LONGS_EQUAL(2, batch.hardState.term());
  LONGS_EQUAL(1, batch.entries.size());
  CHECK(log.TakeMessages().empty());
  log.OnPersisted(now);
  const auto sent = log.TakeMessages();
  LONGS_EQUAL(1, sent.size());
  CHECK(sent[0].message.append_reply().success());
  LONGS_EQUAL(2, sent[0].message.append_reply().index());
}

/// Guards against a leader that takes a late answer for one to a round of its own. Rounds start
/// anew after a restart, and the answer bears the term in which the same host leads by now.
TEST(ReplicatedLog, RefusalOfAnEarlierTermConfirmsNoRound)
{
  log.Receive(kThird, MakeAppend(3, "x", 0), now);
  log.TakeBatch();
  log.OnPersisted(now);
  log.TakeMessages();
  proto::LogMessage late = MakeMessage(2);
  late.mutable_append_request()->set_previous_index(1);
  late.mutable_append_request()->set_previous_term(1);
  late.mutable_append_request()->set_round(23);
  log.Receive(kOther, late, now);
  const auto messages = log.TakeMessages();
  LONGS_EQUAL(1, messages.size());
  LONGS_EQUAL(3, messages[0].message.term());
  CHECK_FALSE(messages[0].message.append_reply().success());
  LONGS_EQUAL(0, messages[0].message.append_reply().round());
}

TEST(ReplicatedLog, MessageForAnotherIncarnationIsDropped)
{
  proto::LogMessage message = MakeAppend(2, "x", 0);
  message.set_to_incarnation(kIncarnation + 1);
  log.Receive(kOther, message, now);
  CHECK(!log.HasBatch());
  CHECK(log.Leader().IsEmpty());
}

TEST(ReplicatedLog, VotesOncePerTermAndNotSoonAfterLeaderContact)
{
  log.Receive(kOther, MakeVoteRequest(2), now);
  CHECK(!log.HasBatch()); // Just restarted, so it may have received from a leader before.
  now += 600ms;
  log.Receive(kOther, MakeVoteRequest(2), now);
  log.Receive(kThird, MakeVoteRequest(2), now);
  CHECK(log.TakeMessages().empty());
  const PersistBatch batch = log.TakeBatch();
  STRCMP_EQUAL("b", batch.hardState.vote().host().c_str());
  log.OnPersisted(now);
  const auto sent = log.TakeMessages();
  LONGS_EQUAL(2, sent.size());
  CHECK(sent[0].message.vote_reply().granted());
  CHECK(!sent[1].message.vote_reply().granted());
}

TEST(ReplicatedLog, VoteOfAnotherIncarnationDoesNotCount)
{
  now += 2s;
  log.Tick(now); // Requests pre-votes.
  LONGS_EQUAL(2, CountVoteRequests(log.TakeMessages()));
  proto::LogMessage reply = MakeMessage(2);
  reply.mutable_vote_reply()->set_pre_vote(true);
  reply.mutable_vote_reply()->set_granted(true);
  reply.set_from_incarnation(kIncarnation + 1);
  log.Receive(kOther, reply, now);
  CHECK(Role::PreCandidate == log.CurrentRole());
  reply.set_from_incarnation(kIncarnation);
  log.Receive(kOther, reply, now);
  CHECK(Role::Candidate == log.CurrentRole());
}

/// Persists every pending batch and returns the messages that may then be sent.
static std::vector<OutgoingMessage> PersistAll(ReplicatedLog& aLog, core::Instant aNow)
{
  while (aLog.HasBatch()) {
    aLog.TakeBatch();
    aLog.OnPersisted(aNow);
  }
  return aLog.TakeMessages();
}

/// Makes aLog the leader of aTerm by the vote of aVoter.
static void Elect(ReplicatedLog& aLog, const core::HostId& aVoter, std::uint64_t aTerm,
                  core::Instant aNow)
{
  aLog.Tick(aNow);
  proto::LogMessage vote = MakeMessage(aTerm);
  vote.mutable_vote_reply()->set_pre_vote(true);
  vote.mutable_vote_reply()->set_granted(true);
  aLog.Receive(aVoter, vote, aNow);
  PersistAll(aLog, aNow);
  vote.mutable_vote_reply()->set_pre_vote(false);
  aLog.Receive(aVoter, vote, aNow);
  CHECK(Role::Leader == aLog.CurrentRole());
  PersistAll(aLog, aNow);
}

static proto::LogMessage MakeAppendReply(std::uint64_t aTerm, std::uint64_t aIndex)
{
  proto::LogMessage message = MakeMessage(aTerm);
  message.mutable_append_reply()->set_success(true);
  message.mutable_append_reply()->set_index(aIndex);
  return message;
}

TEST(ReplicatedLog, SilentVoterMissingFromTheSettingsIsRemovedAfterACommitInTheTerm)
{
  ReplicatedLog leader = MakeVoter(now, { kSelf, kOther });
  now += 2s;
  Elect(leader, kOther, 2, now);
  now += 1190ms;
  leader.Receive(kOther, MakeAppendReply(2, 1), now); // Commits nothing of the leader's term.
  now += 100ms;
  leader.Tick(now);
  LONGS_EQUAL(3, leader.Voters().voters.size());
  leader.Receive(kOther, MakeAppendReply(2, 2), now);
  LONGS_EQUAL(2, leader.Voters().voters.size());
  CHECK(leader.Voters().FindVoter(kThird) == nullptr);
  CHECK(Role::Leader == leader.CurrentRole());
}

TEST(ReplicatedLog, EntryOfAnEarlierTermIsNotCommittedByCounting)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  now += 2s;
  Elect(log, kThird, 3, now);
  log.Receive(kThird, MakeAppendReply(3, 2), now);
  LONGS_EQUAL(0, log.CommitIndex().Value());
  log.Receive(kThird, MakeAppendReply(3, 3), now);
  LONGS_EQUAL(3, log.CommitIndex().Value());
}

TEST(ReplicatedLog, SnapshotKeepsLaterMatchingEntries)
{
  proto::LogMessage append = MakeAppend(2, "x", 0);
  proto::Entry* entry = append.mutable_append_request()->add_entries();
  entry->set_index(3);
  entry->set_term(2);
  log.Receive(kOther, append, now);
  PersistAll(log, now); // Acknowledges index 3.
  proto::LogMessage message = MakeMessage(2);
  message.mutable_snapshot_request()->set_index(2);
  message.mutable_snapshot_request()->set_term(2);
  log.Receive(kOther, message, now);
  LONGS_EQUAL(3, log.LastIndex().Value());
  LONGS_EQUAL(2, log.CommitIndex().Value());
}

TEST(ReplicatedLog, VoterWithoutALeaderAnnouncesItself)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  PersistAll(log, now);
  now += 500ms;
  log.Tick(now);
  CHECK(log.TakeMessages().empty()); // The last message of the leader is recent.
  now += 150ms;
  log.Tick(now);
  const auto sent = log.TakeMessages();
  CHECK(sent.size() >= 2);
  CHECK(sent[0].message.has_announcement());
  CHECK(sent[0].message.announcement().belongs());
}

TEST(ReplicatedLog, PlantedFaultSecondLeaderInATermIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  const std::string name =
    FindBrokenInvariant([&] { log.Receive(kThird, MakeAppend(2, "y", 0), now); });
  STRCMP_EQUAL("log.one-leader-per-term", name.c_str());
}

TEST(ReplicatedLog, PlantedFaultOverwrittenCommitIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 2), now);
  LONGS_EQUAL(2, log.CommitIndex().Value());
  const std::string name =
    FindBrokenInvariant([&] { log.Receive(kThird, MakeAppend(3, "y", 0), now); });
  STRCMP_EQUAL("log.committed-prefix", name.c_str());
}

TEST(ReplicatedLog, PlantedFaultDoubleStorageCompletionIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  log.TakeBatch();
  log.OnPersisted(now);
  const std::string name = FindBrokenInvariant([&] { log.OnPersisted(now); });
  STRCMP_EQUAL("log.one-batch", name.c_str());
}

/// Guards against memory exhaustion by hundreds of large documents: the entries retained before a
/// snapshot are limited in bytes, too.
TEST(ReplicatedLog, LargeCommandsDoNotFillTheMemory)
{
  now = core::Instant(10s);
  ReplicatedLog voter = MakeVoter(now);
  const std::string document(400 * 1024, 'd');
  constexpr std::uint64_t kSnapshotEvery = 20;
  for (std::uint64_t index = 2; index < 600; ++index) {
    now += 10ms;
    voter.Receive(kOther, MakeAppend(2, document, index, index), now);
    voter.TakeMessages();
    if (voter.HasBatch()) {
      voter.TakeBatch();
      voter.OnPersisted(now);
    }
    while (voter.NextCommitted()) {
    }
    if (index % kSnapshotEvery == 0) {
      voter.Compact(core::LogIndex(index), document);
    }
    const std::uint64_t sinceSnapshot = kSnapshotEvery * document.size();
    CHECK(voter.CommandBytes() <= ReplicatedLogSettings().trailingBytes + sinceSnapshot);
  }
}

namespace {

/// An open group's member that is not in its configuration, without entries.
ReplicatedLog MakeLearner(core::Instant aNow)
{
  LogContents contents;
  contents.incarnation = core::Incarnation(kIncarnation);
  ReplicatedLogSettings settings;
  settings.openGroupVoters = 3;
  return ReplicatedLog({ .group = core::GroupId("g"),
                         .self = kSelf,
                         .voters = { kOther },
                         .mayFoundGroup = false,
                         .contents = std::move(contents),
                         .random = core::Random(1),
                         .now = aNow,
                         .settings = settings });
}

/// Texts of `TO>reply|ask:MEMBERS` of all announcements.
std::string DescribeAnnouncements(const std::vector<OutgoingMessage>& aMessages)
{
  std::string text;
  for (const OutgoingMessage& it : aMessages) {
    if (!it.message.has_announcement()) {
      continue;
    }
    text += it.to.Text() + (it.message.announcement().reply() ? ">reply:" : ">ask:");
    for (const std::string& member : it.message.announcement().members()) {
      text += member;
    }
    text += " ";
  }
  return text;
}

proto::LogMessage MakeAnnouncement(bool aBelongs, bool aIsReply,
                                   const std::vector<std::string>& aMembers = {})
{
  proto::LogMessage message = MakeMessage(0);
  message.mutable_announcement()->set_belongs(aBelongs);
  message.mutable_announcement()->set_reply(aIsReply);
  for (const std::string& it : aMembers) {
    message.mutable_announcement()->add_members(it);
  }
  return message;
}

} // namespace

TEST(ReplicatedLog, FollowerNamesTheLeaderAndTheVotersToABlankHost)
{
  log.Receive(core::HostId("d"), MakeAppend(2, "x", 0), now);
  PersistAll(log, now);
  log.TakeMessages();
  log.Receive(kThird, MakeAnnouncement(false, false), now);
  STRCMP_EQUAL("c>reply:dabc ", DescribeAnnouncements(log.TakeMessages()).c_str());
}

/// Guards against two members that reply to each other without end.
TEST(ReplicatedLog, ReplyToAnAnnouncementIsNotRepliedTo)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  PersistAll(log, now);
  log.TakeMessages();
  log.Receive(kThird, MakeAnnouncement(true, true), now);
  log.Receive(kThird, MakeAnnouncement(false, true), now);
  STRCMP_EQUAL("", DescribeAnnouncements(log.TakeMessages()).c_str());
}

TEST(ReplicatedLog, HostsThatAreNamedAreAskedForAnHour)
{
  ReplicatedLog learner = MakeLearner(now);
  learner.Receive(kOther, MakeAnnouncement(true, true, { "a", "c" }), now);
  now += 59min;
  learner.Tick(now);
  STRCMP_EQUAL("b>ask: c>ask: ", DescribeAnnouncements(learner.TakeMessages()).c_str());
  now += 2min;
  learner.Tick(now);
  STRCMP_EQUAL("b>ask: ", DescribeAnnouncements(learner.TakeMessages()).c_str());
}

TEST(ReplicatedLog, HostsThatMayNotVoteInAClosedGroupAreNotAsked)
{
  now += 10s;
  log.Receive(kOther, MakeAnnouncement(true, true, { "d" }), now);
  log.Tick(now);
  STRCMP_EQUAL("b>ask: c>ask: ", DescribeAnnouncements(log.TakeMessages()).c_str());
}
