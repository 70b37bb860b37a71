#include "cuminfield/process/log/ReplicatedLog.h"
#include "cuminfield/core/Invariant.h"

#include <stdexcept>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::log;

namespace {

const core::HostId kSelf("a");
const core::HostId kOther("b");
const core::HostId kThird("c");
constexpr std::uint64_t kIncarnation = 1;

/// A voter of {a, b, c}, all in their first life, with the founding entry stored.
ReplicatedLog MakeVoter(core::Instant aNow)
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
                         .voters = { kSelf, kOther, kThird },
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

/// An append of one command at index 2.
proto::LogMessage MakeAppend(std::uint64_t aTerm, const std::string& aCommand,
                             std::uint64_t aCommit)
{
  proto::LogMessage message = MakeMessage(aTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(1);
  request->set_previous_term(1);
  request->set_commit(aCommit);
  proto::Entry* entry = request->add_entries();
  entry->set_index(2);
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

/// Raised in place of ending the program.
struct Broken : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

void Raise(const char* aName)
{
  throw Broken(aName);
}

/// The name of the invariant that aAct breaks; empty when it breaks none.
std::string BrokenBy(const std::function<void()>& aAct)
{
  core::SetInvariantHandler(Raise);
  std::string name;
  try {
    aAct();
  } catch (const Broken& broken) {
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

TEST(ReplicatedLog, SendsNoAcknowledgementBeforeItIsDurable)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  CHECK(log.TakeMessages().empty());
  CHECK(log.HasBatch());
  const PersistBatch batch = log.TakeBatch();
  LONGS_EQUAL(2, batch.hardState.term());
  LONGS_EQUAL(1, batch.entries.size());
  CHECK(log.TakeMessages().empty());
  log.Persisted(now);
  const auto out = log.TakeMessages();
  LONGS_EQUAL(1, out.size());
  CHECK(out[0].message.append_reply().success());
  LONGS_EQUAL(2, out[0].message.append_reply().index());
}

TEST(ReplicatedLog, MessageForAnEarlierLifeIsDropped)
{
  proto::LogMessage message = MakeAppend(2, "x", 0);
  message.set_to_incarnation(kIncarnation + 1);
  log.Receive(kOther, message, now);
  CHECK(!log.HasBatch());
  CHECK(log.Leader().Empty());
}

TEST(ReplicatedLog, VotesOncePerTermAndRefusesWhileALeaderWasHeard)
{
  log.Receive(kOther, MakeVoteRequest(2), now);
  CHECK(!log.HasBatch()); // Just started: it may have heard a leader before.
  now += 600ms;
  log.Receive(kOther, MakeVoteRequest(2), now);
  log.Receive(kThird, MakeVoteRequest(2), now);
  CHECK(log.TakeMessages().empty());
  const PersistBatch batch = log.TakeBatch();
  STRCMP_EQUAL("b", batch.hardState.vote().host().c_str());
  log.Persisted(now);
  const auto out = log.TakeMessages();
  LONGS_EQUAL(2, out.size());
  CHECK(out[0].message.vote_reply().granted());
  CHECK(!out[1].message.vote_reply().granted());
}

TEST(ReplicatedLog, VoteOfAnotherLifeDoesNotCount)
{
  now += 2s;
  log.Tick(now); // Asks for pre-votes.
  LONGS_EQUAL(2, log.TakeMessages().size());
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

TEST(ReplicatedLog, PlantedFaultSecondLeaderInATermIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  const std::string name = BrokenBy([&] { log.Receive(kThird, MakeAppend(2, "y", 0), now); });
  STRCMP_EQUAL("log.one-leader-per-term", name.c_str());
}

TEST(ReplicatedLog, PlantedFaultOverwrittenCommitIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 2), now);
  LONGS_EQUAL(2, log.CommitIndex().Value());
  const std::string name = BrokenBy([&] { log.Receive(kThird, MakeAppend(3, "y", 0), now); });
  STRCMP_EQUAL("log.committed-prefix", name.c_str());
}

TEST(ReplicatedLog, PlantedFaultDoubleStorageCompletionIsCaught)
{
  log.Receive(kOther, MakeAppend(2, "x", 0), now);
  log.TakeBatch();
  log.Persisted(now);
  const std::string name = BrokenBy([&] { log.Persisted(now); });
  STRCMP_EQUAL("log.one-batch", name.c_str());
}
