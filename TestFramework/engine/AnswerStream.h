#pragma once

#include "TestFramework/http/Exchange.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// The completion of one request while it is generated, and the connections that receive it, either
/// as server-sent events from any offset or as one body. It is retained after its end so that a
/// caller can resume the stream.
class AnswerStream
{
public:
  AnswerStream(std::string aId, std::string aPrompt, bool aChat);

  /// Streams the events from aOffset to aExchange.
  void Follow(std::shared_ptr<http::Exchange> aExchange, std::int64_t aOffset);

  /// Sends the completion to aExchange as one JSON body once it is finished.
  void AnswerWhole(std::shared_ptr<http::Exchange> aExchange);

  /// Adds the next token and sends it to all streams.
  void Grow();

  /// Ends the completion and all responses that wait for it.
  void Finish();

  /// Closes all connections that receive this completion, as an injected fault or a cancellation.
  void Break();

  /// Number of tokens generated so far.
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
