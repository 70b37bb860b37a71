#pragma once

#include <optional>
#include <string>

struct evhttp_request;

namespace cuminfield::test_framework::http {

/// One request that a stand-in received, and its answer. Outlives the caller's connection: writing
/// after the caller has gone does nothing.
class Exchange
{
public:
  /// Takes over aRequest until the answer is complete.
  explicit Exchange(evhttp_request* aRequest);
  /// An answer still owed is ended with 500, or cut short.
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// `GET`, `POST`, `PUT` or `DELETE`.
  const std::string& Method() const { return mMethod; }
  /// Path without query.
  const std::string& Path() const { return mPath; }
  /// Path with query, as sent.
  const std::string& Target() const { return mTarget; }
  /// The whole body.
  const std::string& Body() const { return mBody; }
  /// A header of the request.
  std::optional<std::string> Header(const std::string& aName) const;
  /// A parameter of the query.
  std::optional<std::string> Parameter(const std::string& aName) const;

  /// Sets a header of the answer; before Reply() or Begin().
  void SetHeader(const std::string& aName, const std::string& aValue);
  /// Sends the whole answer.
  void Reply(int aStatus, const std::string& aBody, const std::string& aType = "application/json");
  /// Sends the head of a streamed answer.
  void Begin(int aStatus, const std::string& aType);
  /// Sends the next part of a streamed answer.
  void Write(const std::string& aText);
  /// Ends a streamed answer.
  void End();
  /// Closes the connection whatever has been sent, with nothing more.
  void Break();
  /// True once Reply(), End() or Break() was called.
  bool Ended() const { return mRequest == nullptr; }

private:
  evhttp_request* mRequest;
  bool mBegun = false;
  std::string mMethod;
  std::string mPath;
  std::string mTarget;
  std::string mBody;
};

} // namespace cuminfield::test_framework::http
