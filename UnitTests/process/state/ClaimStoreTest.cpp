#include "UnitTests/process/state/StateTest.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <map>
#include <optional>

using namespace cuminfield;
using namespace cuminfield::unit_tests::state;

namespace {

constexpr std::int64_t kRetention = 10 * kMicrosPerMinute;
constexpr std::int64_t kFutureAllowance = 5 * kMicrosPerMinute;
constexpr std::int64_t kFoundingSkew = 5 * kMicrosPerSecond;

GroupStateMachine::Settings MakeClaimSettings()
{
  GroupStateMachine::Settings settings;
  settings.claims.retention = core::Duration(kRetention);
  return settings;
}

std::string MakeKey(std::int64_t aMicros, int aNumber)
{
  char text[64];
  const auto millis = static_cast<unsigned long long>(aMicros / 1000);
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x", millis >> 16, millis & 0xFFFF,
                aNumber);
  return text;
}

std::int64_t KeyTime(const std::string& aKey)
{
  return std::stoll(aKey.substr(0, 8) + aKey.substr(9, 4), nullptr, 16) * 1000;
}

/// The common fields of any claim command.
struct CommandFields
{
  explicit CommandFields(const proto::Command& aCommand)
  {
    if (aCommand.has_claim()) {
      ReadKey(aCommand.claim());
    } else if (aCommand.has_retarget()) {
      ReadKey(aCommand.retarget());
      attempt = aCommand.retarget().attempt();
    } else if (aCommand.has_release()) {
      ReadKey(aCommand.release());
      attempt = aCommand.release().attempt();
    } else {
      ReadKey(aCommand.complete());
      attempt = aCommand.complete().attempt();
    }
  }

  template<typename Message>
  void ReadKey(const Message& aMessage)
  {
    key = aMessage.key();
    recordId = aMessage.workspace() + "/" + key;
    requestId = aMessage.request_id();
  }

  std::string key;
  std::string recordId;
  std::string requestId;
  std::uint64_t attempt = 0;
};

struct ClaimOracle
{
  /// Checks that each attempt belongs to one request, that a second request gets the key only after
  /// the first one's release or before its dispatch, that RELEASED is returned only if no other
  /// request holds the key, and that there is one outcome.
  struct HistoryChecker
  {
    std::map<std::string, bool> dispatched;
    std::map<std::string, std::string> attemptOwners;
    std::map<std::string, std::string> holders;
    std::map<std::string, std::uint32_t> outcomes;

    bool IsConsistent(const proto::Command& aCommand, const proto::Answer& aAnswer)
    {
      const CommandFields fields(aCommand);
      const proto::ClaimAnswer& answer = aAnswer.claim();
      std::string& holder = holders[fields.recordId];
      if (answer.verdict() == proto::CLAIM_VERDICT_RELEASED) {
        const bool free = holder.empty() || holder == fields.requestId;
        holder.clear();
        return free;
      }
      if (answer.verdict() == proto::CLAIM_VERDICT_COMPLETED) {
        const std::uint32_t status = answer.record().outcome().status();
        return outcomes.try_emplace(fields.recordId, status).first->second == status;
      }
      if (answer.verdict() != proto::CLAIM_VERDICT_GRANTED) {
        return true;
      }
      const bool isExclusive =
        holder.empty() || holder == fields.requestId || !dispatched[fields.recordId];
      holder = fields.requestId;
      dispatched[fields.recordId] =
        aCommand.has_retarget() || !aCommand.claim().upstream().id().empty();
      const std::string attempt = fields.recordId + "#" + std::to_string(answer.attempt());
      return isExclusive &&
             attemptOwners.try_emplace(attempt, fields.requestId).first->second == fields.requestId;
    }
  };

  std::optional<std::int64_t> founded;
  std::int64_t now = 0;
  std::map<std::string, std::string> digests;
  std::map<std::string, std::map<std::string, std::uint64_t>> firstAttempts;
  std::map<std::string, std::string> holders;
  std::map<std::string, std::uint64_t> attempts;
  std::map<std::string, std::string> upstreams;
  std::map<std::string, std::uint32_t> outcomes;
  std::vector<std::string> keys;

  proto::Command RandomCommand() const
  {
    proto::Command command;
    command.set_now(RandomTime(now));
    const std::int64_t offset = *rc::gen::elementOf(
      std::vector<std::int64_t>{ -kRetention - 1000, -kRetention, -kFoundingSkew, 0, 0,
                                 kFutureAllowance, kFutureAllowance + 1000 });
    std::string key = MakeKey(std::max(now, command.now()) + offset, *rc::gen::inRange(0, 2));
    if (!keys.empty() && *rc::gen::inRange(0, 5) != 0) {
      key = *rc::gen::elementOf(keys);
    }
    const std::string workspace = *rc::gen::inRange(0, 8) == 0 ? "other" : "shop";
    const std::string request = OneOf({ "r1", "r2", "r3" });
    const std::string recordId = workspace + "/" + key;
    std::uint64_t attempt = attempts.contains(recordId) ? attempts.at(recordId) : 1;
    if (*rc::gen::inRange(0, 4) == 0) {
      attempt = *rc::gen::inRange<std::uint64_t>(0, 4);
    }
    const auto fill = [&](auto& aMessage) {
      aMessage.set_workspace(workspace);
      aMessage.set_key(key);
      aMessage.set_request_id(request);
    };
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        fill(*command.mutable_retarget());
        command.mutable_retarget()->set_attempt(attempt);
        command.mutable_retarget()->mutable_upstream()->set_id(OneOf({ "u1", "u2" }));
        break;
      case 1:
        fill(*command.mutable_release());
        command.mutable_release()->set_attempt(attempt);
        break;
      case 2:
        fill(*command.mutable_complete());
        command.mutable_complete()->set_attempt(attempt);
        command.mutable_complete()->mutable_outcome()->set_status(*rc::gen::inRange(200, 203));
        break;
      default:
        fill(*command.mutable_claim());
        command.mutable_claim()->set_digest(*rc::gen::inRange(0, 6) == 0 ? "d2" : "d1");
        command.mutable_claim()->set_host("g1");
        command.mutable_claim()->mutable_upstream()->set_id(OneOf({ "u1", "" }));
        break;
    }
    return command;
  }

  std::string Predict(const proto::Command& aCommand)
  {
    founded = founded.value_or(aCommand.now());
    now = std::max(now, aCommand.now());
    const CommandFields fields(aCommand);
    keys.push_back(fields.key);
    const std::int64_t time = KeyTime(fields.key);
    if (time < std::max(*founded - kFoundingSkew, now - kRetention)) {
      return "TOO_OLD";
    }
    if (time > now + kFutureAllowance) {
      return "FROM_FUTURE";
    }
    if (aCommand.has_claim()) {
      return Claim(fields, aCommand.claim());
    }
    if (aCommand.has_retarget()) {
      return Retarget(fields, aCommand.retarget().upstream().id());
    }
    if (aCommand.has_release()) {
      return Release(fields);
    }
    return Complete(fields, aCommand.complete().outcome().status());
  }

  std::string Claim(const CommandFields& aFields, const proto::Claim& aClaim)
  {
    const std::string& recordId = aFields.recordId;
    if (digests.contains(recordId) && digests[recordId] != aClaim.digest()) {
      return "DIGEST_DIFFERS";
    }
    if (firstAttempts[recordId].contains(aFields.requestId)) {
      const std::uint64_t firstAttempt = firstAttempts[recordId][aFields.requestId];
      const bool hasOtherUpstream =
        attempts[recordId] == firstAttempt && upstreams[recordId] != aClaim.upstream().id();
      return holders[recordId] != aFields.requestId || hasOtherUpstream
               ? "STALE"
               : "GRANTED " + std::to_string(firstAttempt);
    }
    const bool isWaiting = upstreams[recordId].empty() && !outcomes.contains(recordId);
    if (!holders[recordId].empty() && !isWaiting) {
      return DescribeHeld(recordId);
    }
    digests[recordId] = aClaim.digest();
    holders[recordId] = aFields.requestId;
    upstreams[recordId] = aClaim.upstream().id();
    firstAttempts[recordId][aFields.requestId] = ++attempts[recordId];
    return "GRANTED " + std::to_string(attempts[recordId]);
  }

  std::string DescribeHeld(const std::string& aPlace)
  {
    return "HELD " + holders[aPlace] + " " + std::to_string(attempts[aPlace]) + " " +
           std::to_string(outcomes.contains(aPlace) ? outcomes[aPlace] : 0);
  }

  std::string Retarget(const CommandFields& aFields, const std::string& aUpstream)
  {
    const std::string& recordId = aFields.recordId;
    if (holders[recordId] != aFields.requestId || outcomes.contains(recordId)) {
      return "STALE";
    }
    const bool resent = attempts[recordId] == aFields.attempt + 1 &&
                        upstreams[recordId] == aUpstream &&
                        attempts[recordId] > firstAttempts[recordId][aFields.requestId];
    if (!resent && attempts[recordId] != aFields.attempt) {
      return "STALE";
    }
    attempts[recordId] = aFields.attempt + 1;
    upstreams[recordId] = aUpstream;
    return "GRANTED " + std::to_string(attempts[recordId]);
  }

  std::string Release(const CommandFields& aFields)
  {
    const std::string& recordId = aFields.recordId;
    const std::uint64_t firstAttempt =
      firstAttempts[recordId].try_emplace(aFields.requestId, 0).first->second;
    if (holders[recordId] != aFields.requestId) {
      return holders[recordId].empty() ? "RELEASED" : DescribeHeld(recordId);
    }
    const std::uint64_t attempt = aFields.attempt == 0 ? firstAttempt : aFields.attempt;
    if (outcomes.contains(recordId) || attempt != attempts[recordId]) {
      return "STALE";
    }
    holders[recordId].clear();
    return "RELEASED";
  }

  std::string Complete(const CommandFields& aFields, std::uint32_t aStatus)
  {
    const std::string& recordId = aFields.recordId;
    if (holders[recordId] != aFields.requestId || attempts[recordId] != aFields.attempt) {
      return "STALE";
    }
    return "COMPLETED " + std::to_string(outcomes.try_emplace(recordId, aStatus).first->second);
  }

  static std::string Describe(const proto::Answer& aAnswer)
  {
    const proto::ClaimAnswer& answer = aAnswer.claim();
    const std::string status = std::to_string(answer.record().outcome().status());
    const char* const verdicts[] = { "NONE",     "GRANTED",     "HELD",    "DIGEST_DIFFERS",
                                     "TOO_OLD",  "FROM_FUTURE", "INVALID", "FULL",
                                     "RELEASED", "COMPLETED",   "STALE" };
    std::string verdict = verdicts[answer.verdict()];
    switch (answer.verdict()) {
      case proto::CLAIM_VERDICT_GRANTED:
        return verdict + " " + std::to_string(answer.attempt());
      case proto::CLAIM_VERDICT_HELD:
        return verdict + " " + answer.record().request_id() + " " +
               std::to_string(answer.record().attempt()) + " " + status;
      case proto::CLAIM_VERDICT_COMPLETED:
        return verdict + " " + status;
      default:
        return verdict;
    }
  }
};

proto::Command MakeClaim(const std::string& aKey, const std::string& aRequest, std::int64_t aNow)
{
  proto::Command command;
  command.set_now(aNow);
  proto::Claim& claim = *command.mutable_claim();
  claim.set_workspace("shop");
  claim.set_key(aKey);
  claim.set_request_id(aRequest);
  claim.set_digest("d1");
  claim.set_host("g1");
  claim.mutable_upstream()->set_id("u1");
  return command;
}

proto::Command MakeComplete(const std::string& aKey, const std::string& aBody)
{
  proto::Command command;
  command.set_now(kStartMicros);
  proto::Complete& complete = *command.mutable_complete();
  complete.set_workspace("shop");
  complete.set_key(aKey);
  complete.set_request_id("r1");
  complete.set_attempt(1);
  complete.mutable_outcome()->set_status(200);
  complete.mutable_outcome()->set_body(aBody);
  complete.mutable_outcome()->set_body_kept(true);
  return command;
}

bool IsDetected(const InjectedFault& aFault)
{
  return !AgreesWithOracle<ClaimOracle>(MakeClaimSettings(), aFault);
}

} // namespace

TEST_GROUP(ClaimStore){};

TEST(ClaimStore, AgreesWithOracle)
{
  CHECK(AgreesWithOracle<ClaimOracle>(MakeClaimSettings(), {}));
}

TEST(ClaimStore, OracleDetectsLostRequestIds)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      for (proto::ClaimRecord& record :
                           *aSnapshot.mutable_claims()->mutable_records()) {
                        if (record.state() == proto::CLAIM_STATE_RELEASED) {
                          record.clear_grants();
                        }
                      }
                    } }));
}

TEST(ClaimStore, OracleDetectsLostFoundingTime)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      aSnapshot.mutable_clock()->set_founded_at(0);
                    } }));
}

TEST(ClaimStore, OracleDetectsLostRecord)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      if (aSnapshot.claims().records_size() > 2) {
                        aSnapshot.mutable_claims()->mutable_records()->RemoveLast();
                      }
                    } }));
}

TEST(ClaimStore, OracleDetectsTakeoverAfterDispatch)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      for (proto::ClaimRecord& record :
                           *aSnapshot.mutable_claims()->mutable_records()) {
                        record.clear_upstream();
                      }
                    } }));
}

TEST(ClaimStore, OracleDetectsSecondOutcome)
{
  CHECK(IsDetected({ .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
                      for (proto::ClaimRecord& record :
                           *aSnapshot.mutable_claims()->mutable_records()) {
                        if (record.state() == proto::CLAIM_STATE_DONE) {
                          record.set_state(proto::CLAIM_STATE_CLAIMED);
                          record.clear_outcome();
                        }
                      }
                    } }));
}

TEST(ClaimStore, UpperAndLowerCaseAreTheSameKey)
{
  GroupStateMachine machine(MakeClaimSettings());
  std::string key = MakeKey(kStartMicros, 0xABC);
  CHECK(machine.ExecuteCommand(MakeClaim(key, "r1", kStartMicros)).claim().verdict() ==
        proto::CLAIM_VERDICT_GRANTED);
  std::transform(key.begin(), key.end(), key.begin(),
                 [](char aChar) { return static_cast<char>(std::toupper(aChar)); });
  CHECK(machine.ExecuteCommand(MakeClaim(key, "r2", kStartMicros)).claim().verdict() ==
        proto::CLAIM_VERDICT_HELD);
  key[14] = '4'; // A UUID of version 4 contains no time.
  CHECK(machine.ExecuteCommand(MakeClaim(key, "r3", kStartMicros)).claim().verdict() ==
        proto::CLAIM_VERDICT_INVALID);
}

TEST(ClaimStore, RejectsNewKeysWhenFullAndDropsExpiredOnesInBatches)
{
  GroupStateMachine::Settings settings = MakeClaimSettings();
  settings.claims.maxRecords = 100;
  settings.claims.maxDropsPerCommand = 10;
  process::state::GroupClock clock;
  process::state::ClaimStore store(clock, settings.claims);
  clock.Advance(process::state::FromMicros(kStartMicros));
  for (int i = 0; i < 100; ++i) {
    const auto command = MakeClaim(MakeKey(kStartMicros, i), "r1", kStartMicros);
    CHECK(store.Claim(command.claim()).verdict() == proto::CLAIM_VERDICT_GRANTED);
  }
  const std::int64_t afterRetention = kStartMicros + kRetention + 1000;
  const auto next = MakeClaim(MakeKey(afterRetention, 0), "r1", afterRetention);
  CHECK(store.Claim(MakeClaim(MakeKey(kStartMicros, 200), "r1", kStartMicros).claim()).verdict() ==
        proto::CLAIM_VERDICT_FULL);
  clock.Advance(process::state::FromMicros(afterRetention));
  store.DropExpired();
  LONGS_EQUAL(90, store.RecordCount());
  CHECK(store.Claim(next.claim()).verdict() == proto::CLAIM_VERDICT_GRANTED);
}

TEST(ClaimStore, StoresBodiesOnlyWithinLimits)
{
  GroupStateMachine::Settings settings = MakeClaimSettings();
  settings.claims.maxTotalBodyBytes = core::Bytes{ 20 * 1024 };
  GroupStateMachine machine(settings);
  const std::size_t maxSize = 16 * 1024;
  const auto storesBody = [&](int aNumber, std::size_t aSize) {
    const std::string key = MakeKey(kStartMicros, aNumber);
    machine.ExecuteCommand(MakeClaim(key, "r1", kStartMicros));
    const auto answer = machine.ExecuteCommand(MakeComplete(key, std::string(aSize, 'x'))).claim();
    CHECK(answer.verdict() == proto::CLAIM_VERDICT_COMPLETED);
    LONGS_EQUAL(200, answer.record().outcome().status());
    return answer.record().outcome().body_kept();
  };
  CHECK(!storesBody(0, maxSize + 1));
  CHECK(storesBody(1, maxSize));
  CHECK(!storesBody(2, maxSize));
  CHECK(storesBody(3, 1024));
}

TEST(ClaimStore, RejectsMalformedCommands)
{
  GroupStateMachine machine(MakeClaimSettings());
  proto::Answer answer;
  CHECK(answer.ParseFromString(machine.Apply(core::LogIndex(1), "\xFF\xFF")));
  CHECK(answer.kind_case() == proto::Answer::kRefused);
  proto::Command document;
  document.mutable_apply_document()->set_environment("trial");
  CHECK(machine.ExecuteCommand(document).kind_case() == proto::Answer::kRefused);
}
