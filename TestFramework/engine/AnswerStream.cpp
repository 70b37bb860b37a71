#include "TestFramework/engine/AnswerStream.h"

#include "TestFramework/engine/Answer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::test_framework::engine {

AnswerStream::AnswerStream(std::string aId, std::string aPrompt, bool aChat)
  : mId(std::move(aId))
  , mPrompt(std::move(aPrompt))
  , mChat(aChat)
{
}

void AnswerStream::Follow(std::shared_ptr<http::Exchange> aExchange, std::int64_t aOffset)
{
  aExchange->Begin(200, "text/event-stream");
  Reader reader{ .exchange = std::move(aExchange), .next = aOffset };
  Feed(reader);
  if (!mFinished) {
    mReaders.push_back(std::move(reader));
  }
}

void AnswerStream::AnswerWhole(std::shared_ptr<http::Exchange> aExchange)
{
  if (mFinished) {
    aExchange->Reply(200, Whole());
    return;
  }
  mWaiting.push_back(std::move(aExchange));
}

void AnswerStream::Grow()
{
  ++mLength;
  for (Reader& it : mReaders) {
    Feed(it);
  }
}

void AnswerStream::Finish()
{
  mFinished = true;
  for (Reader& it : std::exchange(mReaders, {})) {
    Feed(it);
  }
  for (const auto& it : std::exchange(mWaiting, {})) {
    it->Reply(200, Whole());
  }
}

void AnswerStream::Break()
{
  for (const Reader& it : std::exchange(mReaders, {})) {
    it.exchange->Break();
  }
  for (const auto& it : std::exchange(mWaiting, {})) {
    it->Break();
  }
}

void AnswerStream::Feed(Reader& aReader) const
{
  for (; aReader.next < mLength; ++aReader.next) {
    aReader.exchange->Write(Event(aReader.next));
  }
  if (mFinished) {
    aReader.exchange->Write(fmt::format("id: {}\ndata: [DONE]\n\n", mLength));
    aReader.exchange->End();
  }
}

std::string AnswerStream::Event(std::int64_t aIndex) const
{
  const std::string word = AnswerWord(mPrompt, aIndex);
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", nullptr } };
  if (mChat) {
    choice["delta"] = { { "content", word } };
  } else {
    choice["text"] = word;
  }
  const nlohmann::json event = { { "id", mId }, { "choices", { choice } } };
  return fmt::format("id: {}\ndata: {}\n\n", aIndex, event.dump());
}

std::string AnswerStream::Whole() const
{
  const std::string text = Answer(mPrompt, mLength);
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", "length" } };
  if (mChat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  const std::int64_t prompt = CountTokens(mPrompt);
  const nlohmann::json usage = { { "prompt_tokens", prompt }, { "completion_tokens", mLength } };
  return nlohmann::json{ { "id", mId }, { "choices", { choice } }, { "usage", usage } }.dump();
}

} // namespace cuminfield::test_framework::engine
