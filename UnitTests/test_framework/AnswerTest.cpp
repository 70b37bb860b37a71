#include "TestFramework/engine/Answer.h"
#include "TestFramework/plain/PlainAnswer.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield::test_framework;

TEST_GROUP(CompletionText){};

TEST(CompletionText, ConsistsOfItsWordsInOrder)
{
  const std::string expected =
    engine::AnswerWord("p", 0) + engine::AnswerWord("p", 1) + engine::AnswerWord("p", 2);
  STRCMP_EQUAL(expected.c_str(), engine::Answer("p", 3).c_str());
}

TEST(CompletionText, DiffersBetweenPrompts)
{
  CHECK(engine::Answer("a", 4) != engine::Answer("b", 4));
}

TEST(CompletionText, ExtractsThePromptFromMessages)
{
  const auto body = nlohmann::json::parse(R"({"messages":[{"role":"user","content":"hello"}]})");
  STRCMP_EQUAL("user\nhello\n", engine::PromptOf(body).c_str());
}

TEST(CompletionText, PrefixHashesAreChainedOverCompleteBlocks)
{
  const std::string block(256, 'x');
  const auto one = engine::PrefixHashes(block + "rest");
  const auto two = engine::PrefixHashes(block + block);
  LONGS_EQUAL(1, one.size());
  LONGS_EQUAL(2, two.size());
  CHECK(one[0] == two[0]);
  CHECK(two[0] != two[1]);
}

TEST(CompletionText, PlainResponseDependsOnTheBody)
{
  CHECK(plain::PlainAnswer("POST", "/payouts", "a") != plain::PlainAnswer("POST", "/payouts", "b"));
}
