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
class CompletionStream
{
public:
  CompletionStream(std::string aId, std::string aPrompt, bool aChat);

  /// Streams the events from aOffset to aExchange.
  void StreamTo(std::shared_ptr<http::Exchange> aExchange, std::int64_t aOffset);

  /// Sends the completion to aExchange as one JSON body once it is finished.
  void ReplyWhenFinished(std::shared_ptr<http::Exchange> aExchange);

  /// Adds the next token and sends it to all streams.
  void AddToken();

  /// Ends the completion and all responses that wait for it.
  void Finish();

  /// Closes all connections that receive this completion, as an injected fault or a cancellation.
  void AbortConnections();

  /// Number of tokens generated so far.
  std::int64_t TokenCount() const { return mTokenCount; }
  bool IsFinished() const { return mFinished; }

private:
  struct Reader
  {
    std::shared_ptr<http::Exchange> exchange;
    std::int64_t nextToken = 0;
  };

  void SendNewEvents(Reader& aReader) const;
  std::string MakeEvent(std::int64_t aIndex) const;
  std::string MakeCompleteBody() const;

  std::string mRequestId;
  std::string mPrompt;
  bool mIsChat;
  std::int64_t mTokenCount = 0;
  bool mFinished = false;
  std::vector<Reader> mReaders;
  std::vector<std::shared_ptr<http::Exchange>> mWaitingExchanges;
};

} // namespace cuminfield::test_framework::engine
