#pragma once

#include "TestFramework/caller/EventReader.h"
#include "TestFramework/http/Client.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

/// A request that a caller makes, and the answer that is its own.
struct CallSpec
{
  std::string method = "POST";
  std::string target{};
  std::string body{};
  core::WorkspaceId workspace{};
  core::TierId tier{};
  core::IdempotencyKey key{}; ///< Empty: sent once and never again.
  bool engine = false;        ///< A completion; else a plain call.
  bool chat = false;          ///< With messages.
  bool stream = false;        ///< Answered by server-sent events.
  std::string prompt{};       ///< Of a completion.
  std::int64_t tokens = 0;    ///< Of a completion.
};

/// How a call came out.
struct Outcome
{
  /// `answered`, `not-run`, `unknown`, `broken`, `failed` or `wrong`.
  std::string kind;
  std::string detail; ///< What was wrong.
  int status = 0;
  std::vector<std::string> requestIds; ///< X-Request-Id of each attempt that named one.
  std::vector<std::string> notRunIds;  ///< Those that were answered `not-run`.
  bool notRunFirst = false;            ///< The first attempt was answered `not-run`.
  std::string host;                    ///< X-Host of the last answer.
  std::string upstream;                ///< X-Upstream of the last answer.
  int attempts = 0;
  core::Duration firstToken{ 0 };
  core::Duration total{ 0 };
};

/// How patient a caller is.
struct CallOptions
{
  std::vector<process::settings::Endpoint> hosts;        ///< Tried in turn.
  core::Duration silence = std::chrono::seconds(10);     ///< Longest wait for the next byte.
  core::Duration pause = std::chrono::milliseconds(300); ///< Before the next attempt.
  int attempts = 20;                                     ///< With a key: most attempts.
  bool retryNotRun = false;                              ///< With a key: also after `not-run`.
};

/// One caller's request from the first attempt to its outcome: checks the answer byte for byte,
/// and with a key asks another host when a stream breaks off.
class Call
{
public:
  using End = std::function<void(const CallSpec&, const Outcome&)>;

  /// Begins at host number aHost of the options; aEnd is called once and may destroy this.
  Call(core::TimerService& aTimers, http::Client& aClient, const CallOptions& aOptions,
       CallSpec aSpec, std::size_t aHost, End aEnd);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Sends the first attempt.
  void Start();

private:
  void Attempt();
  std::map<std::string, std::string> Headers() const;
  void Received(const std::string& aBytes);
  void CheckEvent(const StreamEvent& aEvent);
  void CheckBody(const std::string& aBody);
  void Ended(const http::ClientResponse& aResponse);
  void EndedWell(const http::ClientResponse& aResponse);
  void Refused(const http::ClientResponse& aResponse);
  void TryAgainOr(const std::string& aKind);
  void Finish(const std::string& aKind);
  void Wrong(const std::string& aDetail);
  void NoteFirstToken();

  core::TimerService& mTimers;
  http::Client& mClient;
  const CallOptions& mOptions;
  CallSpec mSpec;
  std::size_t mHost;
  End mEnd;
  core::Instant mBegun;
  EventReader mReader;
  std::int64_t mNextEvent = 0;
  bool mDone = false;  ///< `[DONE]` arrived.
  bool mWrong = false; ///< Bytes arrived that are not of this answer.
  bool mFinished = false;
  Outcome mOutcome;
  core::TimerHandle mAgain;
};

} // namespace cuminfield::test_framework::caller
