#pragma once

#include <optional>
#include <string>

struct evhttp_request;

namespace cuminfield::test_framework::http {

/// A request that a stand-in received, and its response. May outlive the connection: writes after
/// the caller has disconnected are ignored.
class Exchange
{
public:
  /// Owns aRequest until the response is complete.
  explicit Exchange(evhttp_request* aRequest);
  /// A response that was not started becomes a 500; a started one is aborted.
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// `GET`, `POST`, `PUT` or `DELETE`.
  const std::string& Method() const { return mMethod; }
  /// Path without the query.
  const std::string& Path() const { return mPath; }
  /// Path with the query, as received.
  const std::string& Target() const { return mTarget; }
  const std::string& Body() const { return mBody; }
  /// Returns a request header. After the response has ended, there are none.
  std::optional<std::string> Header(const std::string& aName) const;
  std::optional<std::string> QueryParameter(const std::string& aName) const;

  /// Sets a response header. Call before Reply() or BeginStream().
  void SetHeader(const std::string& aName, const std::string& aValue);
  /// Sends a complete response.
  void Reply(int aStatus, const std::string& aBody, const std::string& aType = "application/json");
  /// Sends the headers of a streamed response.
  void BeginStream(int aStatus, const std::string& aType);
  /// Sends the next chunk of a streamed response.
  void WriteChunk(const std::string& aText);
  /// Ends a streamed response.
  void EndStream();
  /// Closes the connection at once, whatever has been sent so far.
  void CloseConnection();
  /// True after Reply(), EndStream() or CloseConnection().
  bool IsEnded() const { return mRequest == nullptr; }

private:
  evhttp_request* mRequest;
  bool mStreamStarted = false;
  std::string mMethod;
  std::string mPath;
  std::string mTarget;
  std::string mBody;
};

} // namespace cuminfield::test_framework::http
