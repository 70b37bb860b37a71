#include "cuminfield/process/state/GroupStateMachine.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::state;

namespace {

constexpr std::int64_t kNow = 1'790'000'000'000'000;             ///< Microseconds since the epoch.
const std::string kKey = "01a0c450-6c00-7000-8000-000000000001"; ///< Created at kNow.

/// Sends commands to a data centre's group like a host: Claim without an upstream first, then
/// Retarget with the upstream at dispatch.
class ClaimClient
{
public:
  proto::ClaimVerdict Claim(const std::string& aRequest)
  {
    proto::Command command;
    command.mutable_claim()->set_workspace("w");
    command.mutable_claim()->set_key(kKey);
    command.mutable_claim()->set_digest("d");
    command.mutable_claim()->set_request_id(aRequest);
    command.mutable_claim()->set_host("h");
    return Execute(command).verdict();
  }

  proto::ClaimVerdict Dispatch(const std::string& aRequest, std::uint64_t aAttempt)
  {
    proto::Command command;
    command.mutable_retarget()->set_workspace("w");
    command.mutable_retarget()->set_key(kKey);
    command.mutable_retarget()->set_request_id(aRequest);
    command.mutable_retarget()->set_attempt(aAttempt);
    command.mutable_retarget()->mutable_upstream()->set_id("u");
    return Execute(command).verdict();
  }

  proto::ClaimVerdict Release(const std::string& aRequest, std::uint64_t aAttempt)
  {
    proto::Command command;
    command.mutable_release()->set_workspace("w");
    command.mutable_release()->set_key(kKey);
    command.mutable_release()->set_request_id(aRequest);
    command.mutable_release()->set_attempt(aAttempt);
    return Execute(command).verdict();
  }

private:
  proto::ClaimAnswer Execute(proto::Command& aCommand)
  {
    aCommand.set_now(kNow);
    return mMachine.ExecuteCommand(aCommand).claim();
  }

  GroupStateMachine mMachine{ GroupStateMachine::Settings() };
};

} // namespace

TEST_GROUP(ClaimTakeover){};

TEST(ClaimTakeover, UndispatchedClaimPassesToNextRequest)
{
  ClaimClient claims;
  LONGS_EQUAL(proto::CLAIM_VERDICT_GRANTED, claims.Claim("first"));
  LONGS_EQUAL(proto::CLAIM_VERDICT_GRANTED, claims.Claim("second"));
  LONGS_EQUAL(proto::CLAIM_VERDICT_STALE, claims.Dispatch("first", 1));
  LONGS_EQUAL(proto::CLAIM_VERDICT_GRANTED, claims.Dispatch("second", 2));
}

TEST(ClaimTakeover, DispatchedClaimStaysWithHolder)
{
  ClaimClient claims;
  claims.Claim("first");
  LONGS_EQUAL(proto::CLAIM_VERDICT_GRANTED, claims.Dispatch("first", 1));
  LONGS_EQUAL(proto::CLAIM_VERDICT_HELD, claims.Claim("second"));
}

TEST(ClaimTakeover, FormerHolderCannotReleaseKey)
{
  ClaimClient claims;
  claims.Claim("first");
  claims.Claim("second");
  LONGS_EQUAL(proto::CLAIM_VERDICT_HELD, claims.Release("first", 1));
  claims.Dispatch("second", 2);
  LONGS_EQUAL(proto::CLAIM_VERDICT_HELD, claims.Release("first", 1));
}

TEST(ClaimTakeover, ReleasedClaimIsFreeAndFormerHolderCannotDispatch)
{
  ClaimClient claims;
  claims.Claim("first");
  LONGS_EQUAL(proto::CLAIM_VERDICT_RELEASED, claims.Release("first", 1));
  LONGS_EQUAL(proto::CLAIM_VERDICT_STALE, claims.Dispatch("first", 1));
  LONGS_EQUAL(proto::CLAIM_VERDICT_GRANTED, claims.Claim("second"));
}
