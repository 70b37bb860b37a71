#include "TestFramework/engine/CompletionStream.h"

#include "TestFramework/engine/CompletionText.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::test_framework::engine {

CompletionStream::CompletionStream(std::string aId, std::string aPrompt, bool aChat)
  : mRequestId(std::move(aId))
  , mPrompt(std::move(aPrompt))
  , mIsChat(aChat)
{
}

void CompletionStream::StreamTo(std::shared_ptr<http::Exchange> aExchange, std::int64_t aOffset)
{
  aExchange->BeginStream(200, "text/event-stream");
  Reader reader{ .exchange = std::move(aExchange), .nextToken = aOffset };
  SendNewEvents(reader);
  if (!mFinished) {
    mReaders.push_back(std::move(reader));
  }
}

void CompletionStream::ReplyWhenFinished(std::shared_ptr<http::Exchange> aExchange)
{
  if (mFinished) {
    aExchange->Reply(200, MakeCompleteBody());
    return;
  }
  mWaitingExchanges.push_back(std::move(aExchange));
}

void CompletionStream::AddToken()
{
  ++mTokenCount;
  for (Reader& it : mReaders) {
    SendNewEvents(it);
  }
}

void CompletionStream::Finish()
{
  mFinished = true;
  for (Reader& it : std::exchange(mReaders, {})) {
    SendNewEvents(it);
  }
  for (const auto& it : std::exchange(mWaitingExchanges, {})) {
    it->Reply(200, MakeCompleteBody());
  }
}

void CompletionStream::AbortConnections()
{
  for (const Reader& it : std::exchange(mReaders, {})) {
    it.exchange->CloseConnection();
  }
  for (const auto& it : std::exchange(mWaitingExchanges, {})) {
    it->CloseConnection();
  }
}

void CompletionStream::SendNewEvents(Reader& aReader) const
{
  for (; aReader.nextToken < mTokenCount; ++aReader.nextToken) {
    aReader.exchange->WriteChunk(MakeEvent(aReader.nextToken));
  }
  if (mFinished) {
    aReader.exchange->WriteChunk(fmt::format("id: {}\ndata: [DONE]\n\n", mTokenCount));
    aReader.exchange->EndStream();
  }
}

std::string CompletionStream::MakeEvent(std::int64_t aIndex) const
{
  const std::string word = MakeCompletionWord(mPrompt, aIndex);
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", nullptr } };
  if (mIsChat) {
    choice["delta"] = { { "content", word } };
  } else {
    choice["text"] = word;
  }
  const nlohmann::json event = { { "id", mRequestId }, { "choices", { choice } } };
  return fmt::format("id: {}\ndata: {}\n\n", aIndex, event.dump());
}

std::string CompletionStream::MakeCompleteBody() const
{
  const std::string text = MakeCompletionText(mPrompt, mTokenCount);
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", "length" } };
  if (mIsChat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  const std::int64_t prompt = CountTokens(mPrompt);
  const nlohmann::json usage = { { "prompt_tokens", prompt },
                                 { "completion_tokens", mTokenCount } };
  return nlohmann::json{
    { "id", mRequestId }, { "choices", { choice } }, { "usage", usage }
  }.dump();
}

} // namespace cuminfield::test_framework::engine
