#pragma once

#include "TestFramework/http/Exchange.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// The answer of one request as it grows, and the callers that read it: streamed as server-sent
/// events from any offset, or whole. Stays after its end so that it can be read again.
class AnswerStream
{
public:
  AnswerStream(std::string aId, std::string aPrompt, bool aChat);

  /// Streams events from aOffset on to aExchange.
  void Follow(std::shared_ptr<http::Exchange> aExchange, std::int64_t aOffset);

  /// Answers aExchange as one JSON body when the answer is whole.
  void AnswerWhole(std::shared_ptr<http::Exchange> aExchange);

  /// Adds the next token.
  void Grow();

  /// The answer is whole.
  void Finish();

  /// Closes the connections of all that read, as a fault.
  void Break();

  /// Number of tokens so far.
  std::int64_t Length() const { return mLength; }
  bool Finished() const { return mFinished; }

private:
  struct Reader
  {
    std::shared_ptr<http::Exchange> exchange;
    std::int64_t next = 0;
  };

  void Feed(Reader& aReader) const;
  std::string Event(std::int64_t aIndex) const;
  std::string Whole() const;

  std::string mId;
  std::string mPrompt;
  bool mChat;
  std::int64_t mLength = 0;
  bool mFinished = false;
  std::vector<Reader> mReaders;
  std::vector<std::shared_ptr<http::Exchange>> mWaiting;
};

} // namespace cuminfield::test_framework::engine
