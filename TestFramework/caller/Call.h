#pragma once

#include "TestFramework/caller/ServerSentEventParser.h"
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
  core::IdempotencyKey key{};    ///< If empty, the request is not retried.
  bool isCompletion = false;     ///< False for a call of a plain service.
  bool isChat = false;           ///< Chat completion, whose prompt is a list of messages.
  bool isStreamed = false;       ///< The response is a stream of server-sent events.
  std::string prompt{};          ///< Completions only.
  std::int64_t outputTokens = 0; ///< Completions only.
};

/// Result of a call after its last attempt.
struct Outcome
{
  /// `answered`, `not-run`, `unknown`, `broken`, `failed` or `wrong`.
  std::string kind;
  std::string detail; ///< Description of the failure.
  int status = 0;
  std::vector<std::string> requestIds;       ///< X-Request-Id of each response that had one.
  std::vector<std::string> notRunRequestIds; ///< Those whose response was `not-run`.
  bool firstAttemptNotRun = false;           ///< The response to the first attempt was `not-run`.
  std::string host;                          ///< X-Host of the last response.
  std::string upstream;                      ///< X-Upstream of the last response.
  int attempts = 0;
  core::Duration firstTokenLatency{ 0 };
  core::Duration totalDuration{ 0 };
};

/// Hosts, timeouts and retries of a call.
struct CallOptions
{
  std::vector<process::settings::Endpoint> hosts;        ///< Used in turn, one for each attempt.
  core::Duration readTimeout = std::chrono::seconds(10); ///< Maximum wait for the next byte.
  core::Duration retryDelay = std::chrono::milliseconds(300); ///< Delay before the next attempt.
  int maxAttempts = 20;                                       ///< For calls with a key.
  bool retryNotRun = false; ///< For calls with a key: also retry after `not-run`.
};

/// Sends one request and its retries until it has an outcome. Checks that the response is exactly
/// the expected one. With a key, resumes an interrupted stream at another host.
class Call
{
public:
  using DoneCallback = std::function<void(const CallSpec&, const Outcome&)>;

  /// The first attempt goes to host number aHostIndex of the options. aDoneCallback is called once
  /// and may destroy this call.
  Call(core::TimerService& aTimers, http::Client& aClient, const CallOptions& aOptions,
       CallSpec aSpec, std::size_t aHostIndex, DoneCallback aDoneCallback);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start();

private:
  void SendAttempt();
  std::map<std::string, std::string> MakeHeaders() const;
  void OnStreamData(const std::string& aBytes);
  void CheckEvent(const ServerSentEvent& aEvent);
  void CheckBody(const std::string& aBody);
  void OnResponse(const http::ClientResponse& aResponse);
  void OnSuccess(const http::ClientResponse& aResponse);
  void OnErrorResponse(const http::ClientResponse& aResponse);
  void RetryOrFinish(const std::string& aKind);
  void Finish(const std::string& aKind);
  void RecordMismatch(const std::string& aDetail);
  void RecordFirstToken();

  core::TimerService& mTimers;
  http::Client& mClient;
  const CallOptions& mOptions;
  CallSpec mSpec;
  std::size_t mHostIndex;
  DoneCallback mDoneCallback;
  core::Instant mStartedAt;
  ServerSentEventParser mReader;
  std::int64_t mNextEventIndex = 0;
  bool mComplete = false;   ///< The complete body or `[DONE]` was received.
  bool mMismatched = false; ///< The response differs from the expected one.
  bool mFinished = false;
  Outcome mOutcome;
  core::TimerHandle mRetryTimer;
};

} // namespace cuminfield::test_framework::caller
