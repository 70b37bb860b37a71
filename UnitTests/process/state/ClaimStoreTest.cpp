#include "UnitTests/process/state/StateTest.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <map>
#include <optional>

using namespace cuminfield;
using namespace cuminfield::unit_tests::state;

namespace {

constexpr std::int64_t kRetention = 10 * kMinute;
constexpr std::int64_t kAllowance = 5 * kMinute;
constexpr std::int64_t kSkew = 5 * kSecond;

GroupStateMachine::Settings ClaimSettings()
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

std::int64_t TimeOf(const std::string& aKey)
{
  return std::stoll(aKey.substr(0, 8) + aKey.substr(9, 4), nullptr, 16) * 1000;
}

/// The key fields of whichever claim command this is.
struct Fields
{
  explicit Fields(const proto::Command& aCommand)
  {
    if (aCommand.has_claim()) {
      Take(aCommand.claim());
    } else if (aCommand.has_retarget()) {
      Take(aCommand.retarget());
      attempt = aCommand.retarget().attempt();
    } else if (aCommand.has_release()) {
      Take(aCommand.release());
      attempt = aCommand.release().attempt();
    } else {
      Take(aCommand.complete());
      attempt = aCommand.complete().attempt();
    }
  }

  template<typename Message>
  void Take(const Message& aMessage)
  {
    key = aMessage.key();
    place = aMessage.workspace() + "/" + key;
    request = aMessage.request_id();
  }

  std::string key;
  std::string place;
  std::string request;
  std::uint64_t attempt = 0;
};

struct ClaimOracle
{
  /// One request per attempt; a second request only after the first one's release or before it was
  /// sent anywhere; RELEASED only when nobody has the key; one outcome.
  struct Witness
  {
    std::map<std::string, bool> sent;
    std::map<std::string, std::string> owners;
    std::map<std::string, std::string> running;
    std::map<std::string, std::uint32_t> outcomes;

    bool Agrees(const proto::Command& aCommand, const proto::Answer& aAnswer)
    {
      const Fields fields(aCommand);
      const proto::ClaimAnswer& answer = aAnswer.claim();
      std::string& runs = running[fields.place];
      if (answer.verdict() == proto::CLAIM_VERDICT_RELEASED) {
        const bool free = runs.empty() || runs == fields.request;
        runs.clear();
        return free;
      }
      if (answer.verdict() == proto::CLAIM_VERDICT_COMPLETED) {
        const std::uint32_t status = answer.record().outcome().status();
        return outcomes.try_emplace(fields.place, status).first->second == status;
      }
      if (answer.verdict() != proto::CLAIM_VERDICT_GRANTED) {
        return true;
      }
      const bool alone = runs.empty() || runs == fields.request || !sent[fields.place];
      runs = fields.request;
      sent[fields.place] = aCommand.has_retarget() || !aCommand.claim().upstream().id().empty();
      const std::string attempt = fields.place + "#" + std::to_string(answer.attempt());
      return alone && owners.try_emplace(attempt, fields.request).first->second == fields.request;
    }
  };

  std::optional<std::int64_t> founded;
  std::int64_t now = 0;
  std::map<std::string, std::string> digests;
  std::map<std::string, std::map<std::string, std::uint64_t>> seen;
  std::map<std::string, std::string> holders;
  std::map<std::string, std::uint64_t> attempts;
  std::map<std::string, std::string> upstreams;
  std::map<std::string, std::uint32_t> done;
  std::vector<std::string> keys;

  proto::Command Random() const
  {
    proto::Command command;
    command.set_now(RandomTime(now));
    const std::int64_t offset = *rc::gen::elementOf(std::vector<std::int64_t>{
      -kRetention - 1000, -kRetention, -kSkew, 0, 0, kAllowance, kAllowance + 1000 });
    std::string key = MakeKey(std::max(now, command.now()) + offset, *rc::gen::inRange(0, 2));
    if (!keys.empty() && *rc::gen::inRange(0, 5) != 0) {
      key = *rc::gen::elementOf(keys);
    }
    const std::string workspace = *rc::gen::inRange(0, 8) == 0 ? "other" : "shop";
    const std::string request = OneOf({ "r1", "r2", "r3" });
    const std::string place = workspace + "/" + key;
    std::uint64_t attempt = attempts.contains(place) ? attempts.at(place) : 1;
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

  std::string Decide(const proto::Command& aCommand)
  {
    founded = founded.value_or(aCommand.now());
    now = std::max(now, aCommand.now());
    const Fields fields(aCommand);
    keys.push_back(fields.key);
    const std::int64_t time = TimeOf(fields.key);
    if (time < std::max(*founded - kSkew, now - kRetention)) {
      return "TOO_OLD";
    }
    if (time > now + kAllowance) {
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

  std::string Claim(const Fields& aFields, const proto::Claim& aClaim)
  {
    const std::string& place = aFields.place;
    if (digests.contains(place) && digests[place] != aClaim.digest()) {
      return "DIGEST_DIFFERS";
    }
    if (seen[place].contains(aFields.request)) {
      const std::uint64_t first = seen[place][aFields.request];
      const bool other = attempts[place] == first && upstreams[place] != aClaim.upstream().id();
      return holders[place] != aFields.request || other ? "STALE"
                                                        : "GRANTED " + std::to_string(first);
    }
    const bool waits = upstreams[place].empty() && !done.contains(place);
    if (!holders[place].empty() && !waits) {
      return Held(place);
    }
    digests[place] = aClaim.digest();
    holders[place] = aFields.request;
    upstreams[place] = aClaim.upstream().id();
    seen[place][aFields.request] = ++attempts[place];
    return "GRANTED " + std::to_string(attempts[place]);
  }

  std::string Held(const std::string& aPlace)
  {
    return "HELD " + holders[aPlace] + " " + std::to_string(attempts[aPlace]) + " " +
           std::to_string(done.contains(aPlace) ? done[aPlace] : 0);
  }

  std::string Retarget(const Fields& aFields, const std::string& aUpstream)
  {
    const std::string& place = aFields.place;
    if (holders[place] != aFields.request || done.contains(place)) {
      return "STALE";
    }
    const bool resent = attempts[place] == aFields.attempt + 1 && upstreams[place] == aUpstream &&
                        attempts[place] > seen[place][aFields.request];
    if (!resent && attempts[place] != aFields.attempt) {
      return "STALE";
    }
    attempts[place] = aFields.attempt + 1;
    upstreams[place] = aUpstream;
    return "GRANTED " + std::to_string(attempts[place]);
  }

  std::string Release(const Fields& aFields)
  {
    const std::string& place = aFields.place;
    const std::uint64_t first = seen[place].try_emplace(aFields.request, 0).first->second;
    if (holders[place] != aFields.request) {
      return holders[place].empty() ? "RELEASED" : Held(place);
    }
    const std::uint64_t attempt = aFields.attempt == 0 ? first : aFields.attempt;
    if (done.contains(place) || attempt != attempts[place]) {
      return "STALE";
    }
    holders[place].clear();
    return "RELEASED";
  }

  std::string Complete(const Fields& aFields, std::uint32_t aStatus)
  {
    const std::string& place = aFields.place;
    if (holders[place] != aFields.request || attempts[place] != aFields.attempt) {
      return "STALE";
    }
    return "COMPLETED " + std::to_string(done.try_emplace(place, aStatus).first->second);
  }

  static std::string Text(const proto::Answer& aAnswer)
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
  command.set_now(kStart);
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

bool Caught(const Fault& aFault)
{
  return !Agree<ClaimOracle>(ClaimSettings(), aFault);
}

} // namespace

TEST_GROUP(ClaimStore){};

TEST(ClaimStore, AgreesWithTheOracle)
{
  CHECK(Agree<ClaimOracle>(ClaimSettings(), {}));
}

TEST(ClaimStore, OracleCatchesForgottenRequestIds)
{
  CHECK(Caught({ .distort = {}, .forget = [](proto::Snapshot& aSnapshot) {
                  for (proto::ClaimRecord& record :
                       *aSnapshot.mutable_claims()->mutable_records()) {
                    if (record.state() == proto::CLAIM_STATE_RELEASED) {
                      record.clear_grants();
                    }
                  }
                } }));
}

TEST(ClaimStore, OracleCatchesAForgottenFounding)
{
  CHECK(Caught({ .distort = {}, .forget = [](proto::Snapshot& aSnapshot) {
                  aSnapshot.mutable_clock()->set_founded_at(0);
                } }));
}

TEST(ClaimStore, OracleCatchesALostRecord)
{
  CHECK(Caught({ .distort = {}, .forget = [](proto::Snapshot& aSnapshot) {
                  if (aSnapshot.claims().records_size() > 2) {
                    aSnapshot.mutable_claims()->mutable_records()->RemoveLast();
                  }
                } }));
}

TEST(ClaimStore, OracleCatchesADispatchThatIsTakenOver)
{
  CHECK(Caught({ .distort = {}, .forget = [](proto::Snapshot& aSnapshot) {
                  for (proto::ClaimRecord& record :
                       *aSnapshot.mutable_claims()->mutable_records()) {
                    record.clear_upstream();
                  }
                } }));
}

TEST(ClaimStore, OracleCatchesASecondOutcome)
{
  CHECK(Caught({ .distort = {}, .forget = [](proto::Snapshot& aSnapshot) {
                  for (proto::ClaimRecord& record :
                       *aSnapshot.mutable_claims()->mutable_records()) {
                    if (record.state() == proto::CLAIM_STATE_DONE) {
                      record.set_state(proto::CLAIM_STATE_CLAIMED);
                      record.clear_outcome();
                    }
                  }
                } }));
}

TEST(ClaimStore, SpellingsOfOneKeyAreOneKey)
{
  GroupStateMachine machine(ClaimSettings());
  std::string key = MakeKey(kStart, 0xABC);
  CHECK(machine.Decide(MakeClaim(key, "r1", kStart)).claim().verdict() ==
        proto::CLAIM_VERDICT_GRANTED);
  std::transform(key.begin(), key.end(), key.begin(),
                 [](char aChar) { return static_cast<char>(std::toupper(aChar)); });
  CHECK(machine.Decide(MakeClaim(key, "r2", kStart)).claim().verdict() ==
        proto::CLAIM_VERDICT_HELD);
  key[14] = '4'; // Version 4 carries no time.
  CHECK(machine.Decide(MakeClaim(key, "r3", kStart)).claim().verdict() ==
        proto::CLAIM_VERDICT_INVALID);
}

TEST(ClaimStore, RefusesNewKeysWhenFullAndDropsExpiredOnesInSteps)
{
  GroupStateMachine::Settings settings = ClaimSettings();
  settings.claims.maxRecords = 100;
  settings.claims.dropsPerCommand = 10;
  process::state::GroupClock clock;
  process::state::ClaimStore store(clock, settings.claims);
  clock.Advance(process::state::FromMicros(kStart));
  for (int i = 0; i < 100; ++i) {
    const auto command = MakeClaim(MakeKey(kStart, i), "r1", kStart);
    CHECK(store.Claim(command.claim()).verdict() == proto::CLAIM_VERDICT_GRANTED);
  }
  const std::int64_t later = kStart + kRetention + 1000;
  const auto next = MakeClaim(MakeKey(later, 0), "r1", later);
  CHECK(store.Claim(MakeClaim(MakeKey(kStart, 200), "r1", kStart).claim()).verdict() ==
        proto::CLAIM_VERDICT_FULL);
  clock.Advance(process::state::FromMicros(later));
  store.DropExpired();
  LONGS_EQUAL(90, store.Count());
  CHECK(store.Claim(next.claim()).verdict() == proto::CLAIM_VERDICT_GRANTED);
}

TEST(ClaimStore, KeepsBodiesOnlyWithinTheirBounds)
{
  GroupStateMachine::Settings settings = ClaimSettings();
  settings.claims.maxBodyBytes = core::Bytes{ 20 * 1024 };
  GroupStateMachine machine(settings);
  const std::size_t largest = 16 * 1024;
  const auto keeps = [&](int aNumber, std::size_t aSize) {
    const std::string key = MakeKey(kStart, aNumber);
    machine.Decide(MakeClaim(key, "r1", kStart));
    const auto answer = machine.Decide(MakeComplete(key, std::string(aSize, 'x'))).claim();
    CHECK(answer.verdict() == proto::CLAIM_VERDICT_COMPLETED);
    LONGS_EQUAL(200, answer.record().outcome().status());
    return answer.record().outcome().body_kept();
  };
  CHECK(!keeps(0, largest + 1));
  CHECK(keeps(1, largest));
  CHECK(!keeps(2, largest));
  CHECK(keeps(3, 1024));
}

TEST(ClaimStore, RefusesMalformedCommands)
{
  GroupStateMachine machine(ClaimSettings());
  proto::Answer answer;
  CHECK(answer.ParseFromString(machine.Apply(core::LogIndex(1), "\xFF\xFF")));
  CHECK(answer.kind_case() == proto::Answer::kRefused);
  proto::Command document;
  document.mutable_apply_document()->set_environment("trial");
  CHECK(machine.Decide(document).kind_case() == proto::Answer::kRefused);
}
