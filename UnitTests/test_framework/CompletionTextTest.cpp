#include "TestFramework/engine/CompletionText.h"
#include "TestFramework/plain/PlainResponse.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield::test_framework;

TEST_GROUP(CompletionText){};

TEST(CompletionText, ConsistsOfItsWordsInOrder)
{
  const std::string expected = engine::MakeCompletionWord("p", 0) +
                               engine::MakeCompletionWord("p", 1) +
                               engine::MakeCompletionWord("p", 2);
  STRCMP_EQUAL(expected.c_str(), engine::MakeCompletionText("p", 3).c_str());
}

TEST(CompletionText, DiffersBetweenPrompts)
{
  CHECK(engine::MakeCompletionText("a", 4) != engine::MakeCompletionText("b", 4));
}

TEST(CompletionText, ExtractsThePromptFromMessages)
{
  const auto body = nlohmann::json::parse(R"({"messages":[{"role":"user","content":"hello"}]})");
  STRCMP_EQUAL("user\nhello\n", engine::ExtractPrompt(body).c_str());
}

TEST(CompletionText, PrefixHashesAreChainedOverCompleteBlocks)
{
  const std::string block(256, 'x');
  const auto one = engine::ComputePrefixHashes(block + "rest");
  const auto two = engine::ComputePrefixHashes(block + block);
  LONGS_EQUAL(1, one.size());
  LONGS_EQUAL(2, two.size());
  CHECK(one[0] == two[0]);
  CHECK(two[0] != two[1]);
}

TEST(CompletionText, PlainResponseDependsOnTheBody)
{
  CHECK(plain::MakePlainResponse("POST", "/payouts", "a") !=
        plain::MakePlainResponse("POST", "/payouts", "b"));
}
