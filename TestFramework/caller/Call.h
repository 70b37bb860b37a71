#pragma once

#include "TestFramework/caller/EventReader.h"
#include "TestFramework/http/Client.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

/// A request that a caller sends, with what is needed to check its response.
struct CallSpec
{
  std::string method = "POST";
  std::string target{};
  std::string body{};
  core::WorkspaceId workspace{};
  core::TierId tier{};
  core::IdempotencyKey key{}; ///< If empty, the request is not retried.
  bool engine = false;        ///< False for a call of a plain service.
  bool chat = false;          ///< Chat completion, whose prompt is a list of messages.
  bool stream = false;        ///< The response is a stream of server-sent events.
  std::string prompt{};       ///< Completions only.
  std::int64_t tokens = 0;    ///< Completions only.
};

/// Result of a call after its last attempt.
struct Outcome
{
  /// `answered`, `not-run`, `unknown`, `broken`, `failed` or `wrong`.
  std::string kind;
  std::string detail; ///< Description of the failure.
  int status = 0;
  std::vector<std::string> requestIds; ///< X-Request-Id of each response that had one.
  std::vector<std::string> notRunIds;  ///< Those whose response was `not-run`.
  bool notRunFirst = false;            ///< The response to the first attempt was `not-run`.
  std::string host;                    ///< X-Host of the last response.
  std::string upstream;                ///< X-Upstream of the last response.
  int attempts = 0;
  core::Duration firstToken{ 0 };
  core::Duration total{ 0 };
};

/// Hosts, timeouts and retries of a call.
struct CallOptions
{
  std::vector<process::settings::Endpoint> hosts;        ///< Used in turn, one for each attempt.
  core::Duration silence = std::chrono::seconds(10);     ///< Maximum wait for the next byte.
  core::Duration pause = std::chrono::milliseconds(300); ///< Delay before the next attempt.
  int attempts = 20;                                     ///< For calls with a key.
  bool retryNotRun = false; ///< For calls with a key: also retry after `not-run`.
};

/// Sends one request and its retries until it has an outcome. Checks that the response is exactly
/// the expected one. With a key, resumes an interrupted stream at another host.
class Call
{
public:
  using End = std::function<void(const CallSpec&, const Outcome&)>;

  /// The first attempt goes to host number aHostIndex of the options. aDoneCallback is called once
  /// and may destroy this call.
  Call(core::TimerService& aTimers, http::Client& aClient, const CallOptions& aOptions,
       CallSpec aSpec, std::size_t aHostIndex, End aDoneCallback);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

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
  bool mDone = false;  ///< The complete body or `[DONE]` was received.
  bool mWrong = false; ///< The response differs from the expected one.
  bool mFinished = false;
  Outcome mOutcome;
  core::TimerHandle mAgain;
};

} // namespace cuminfield::test_framework::caller
