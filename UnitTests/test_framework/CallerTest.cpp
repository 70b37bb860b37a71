#include "TestFramework/caller/KeyGenerator.h"
#include "TestFramework/caller/Mix.h"
#include "TestFramework/caller/ServerSentEventParser.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::test_framework;
using cuminfield::core::WallTime;

TEST_GROUP(Caller){};

TEST(Caller, KeyIsAVersion7UuidWithTheGivenTime)
{
  caller::KeyGenerator keys(1);
  const std::string key = keys.Next(WallTime(0x0123456789abms)).Text();
  LONGS_EQUAL(36, key.size());
  STRCMP_EQUAL("01234567-89ab-7", key.substr(0, 15).c_str());
  CHECK(std::string("89ab").find(key[19]) != std::string::npos);
  CHECK(key != keys.Next(WallTime(0x0123456789abms)).Text());
}

TEST(Caller, ParsesEventsThatArriveInParts)
{
  caller::ServerSentEventParser reader;
  CHECK(reader.Parse("id: 0\nda").empty());
  const auto events = reader.Parse("ta: a\n\nid: 1\ndata: [DONE]\n\nid: 2");
  LONGS_EQUAL(2, events.size());
  STRCMP_EQUAL("0", events[0].id.c_str());
  STRCMP_EQUAL("a", events[0].data.c_str());
  STRCMP_EQUAL("[DONE]", events[1].data.c_str());
}

TEST(Caller, MixIsTheSameForTheSameSeed)
{
  const auto parts = caller::Mix::Parse(R"([{"kind":"chat"},{"kind":"payout"}])");
  caller::Mix one(parts, 7);
  caller::Mix two(parts, 7);
  for (int i = 0; i < 20; ++i) {
    STRCMP_EQUAL(one.Next(WallTime(1s)).body.c_str(), two.Next(WallTime(1s)).body.c_str());
  }
}

TEST(Caller, PayoutsAlwaysHaveAKey)
{
  caller::Mix mix(caller::Mix::Parse(R"([{"kind":"payout"}])"), 7);
  CHECK_FALSE(mix.Next(WallTime(1s)).key.IsEmpty());
}
