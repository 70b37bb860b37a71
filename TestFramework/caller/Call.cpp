#include "TestFramework/caller/Call.h"

#include "TestFramework/engine/CompletionText.h"
#include "TestFramework/plain/PlainResponse.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::test_framework::caller {

namespace {

/// Returns the text of the first choice of a completion or of one of its events.
std::string GetChoiceText(const nlohmann::json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("choices") || aBody["choices"].empty()) {
    return {};
  }
  const auto& choice = aBody["choices"][0];
  for (const char* it : { "delta", "message" }) {
    if (choice.contains(it)) {
      return choice[it].value("content", "");
    }
  }
  return choice.value("text", "");
}

} // namespace

Call::Call(core::TimerService& aTimers, http::Client& aClient, const CallOptions& aOptions,
           CallSpec aSpec, std::size_t aHostIndex, DoneCallback aDoneCallback)
  : mTimers(aTimers)
  , mClient(aClient)
  , mOptions(aOptions)
  , mSpec(std::move(aSpec))
  , mHostIndex(aHostIndex)
  , mDoneCallback(std::move(aDoneCallback))
{
}

void Call::Start()
{
  mStartedAt = mTimers.Now();
  SendAttempt();
}

void Call::SendAttempt()
{
  ++mOutcome.attempts;
  mReader = {};
  const http::ClientRequest request{ .endpoint = mOptions.hosts[mHostIndex % mOptions.hosts.size()],
                                     .method = mSpec.method,
                                     .target = mSpec.target,
                                     .headers = MakeHeaders(),
                                     .body = mSpec.body,
                                     .timeout = mOptions.readTimeout };
  auto onResponse = [this](const http::ClientResponse& aResponse) { OnResponse(aResponse); };
  if (!mSpec.isStreamed) {
    mClient.Send(request, onResponse);
    return;
  }
  // An error response to a streamed request is one JSON body that arrives through the data
  // callback.
  auto body = std::make_shared<std::string>();
  mClient.Send(
    request,
    [this, body](http::ClientResponse aResponse) {
      aResponse.body = *body;
      OnResponse(aResponse);
    },
    [this, body](const http::ClientResponse& aResponse, const std::string& aBytes) {
      if (aResponse.status == 200) {
        OnStreamData(aBytes);
      } else {
        *body += aBytes;
      }
    });
}

std::map<std::string, std::string> Call::MakeHeaders() const
{
  std::map<std::string, std::string> headers = { { "X-Workspace", mSpec.workspace.Text() },
                                                 { "X-Tier", mSpec.tier.Text() },
                                                 { "Content-Type", "application/json" } };
  if (!mSpec.key.IsEmpty()) {
    headers["Idempotency-Key"] = mSpec.key.Text();
  }
  if (mNextEventIndex > 0) {
    headers["Last-Event-ID"] = std::to_string(mNextEventIndex - 1);
  }
  return headers;
}

void Call::OnStreamData(const std::string& aBytes)
{
  for (const ServerSentEvent& it : mReader.Parse(aBytes)) {
    CheckEvent(it);
  }
}

void Call::CheckEvent(const ServerSentEvent& aEvent)
{
  RecordFirstToken();
  if (mComplete) {
    RecordMismatch("an event after [DONE]");
    return;
  }
  if (aEvent.data == "[DONE]") {
    mComplete = true;
    if (mNextEventIndex != mSpec.outputTokens) {
      RecordMismatch("[DONE] after " + std::to_string(mNextEventIndex) + " events");
    }
    return;
  }
  if (aEvent.id != std::to_string(mNextEventIndex)) {
    RecordMismatch("event " + aEvent.id + " in place of " + std::to_string(mNextEventIndex));
    return;
  }
  const std::string text = GetChoiceText(nlohmann::json::parse(aEvent.data, nullptr, false));
  if (text != engine::MakeCompletionWord(mSpec.prompt, mNextEventIndex)) {
    RecordMismatch("the text of event " + aEvent.id + " is not this caller's");
    return;
  }
  ++mNextEventIndex;
}

void Call::CheckBody(const std::string& aBody)
{
  RecordFirstToken();
  if (!mSpec.isCompletion) {
    if (aBody != plain::MakePlainResponse(mSpec.method, mSpec.target, mSpec.body)) {
      RecordMismatch("the body is not this caller's: " + aBody);
    }
    return;
  }
  const std::string text = GetChoiceText(nlohmann::json::parse(aBody, nullptr, false));
  if (text != engine::MakeCompletionText(mSpec.prompt, mSpec.outputTokens)) {
    RecordMismatch("the text is not this caller's or not whole");
  }
}

void Call::OnResponse(const http::ClientResponse& aResponse)
{
  mOutcome.status = aResponse.status;
  const std::string id = aResponse.Header("X-Request-Id");
  if (!id.empty()) {
    mOutcome.requestIds.push_back(id);
  }
  mOutcome.host = aResponse.Header("X-Host");
  mOutcome.upstream = aResponse.Header("X-Upstream");
  if (aResponse.status == 200) {
    OnSuccess(aResponse);
  } else if (aResponse.status == 0 || !aResponse.complete) {
    RetryOrFinish("broken");
  } else {
    OnErrorResponse(aResponse);
  }
}

void Call::OnSuccess(const http::ClientResponse& aResponse)
{
  if (!mSpec.isStreamed && aResponse.complete) {
    CheckBody(aResponse.body);
    mComplete = true;
  }
  if (mMismatched) {
    Finish("wrong");
  } else if (mComplete) {
    Finish("answered");
  } else {
    RetryOrFinish("broken");
  }
}

void Call::OnErrorResponse(const http::ClientResponse& aResponse)
{
  const auto problem = nlohmann::json::parse(aResponse.body, nullptr, false);
  const std::string outcome = problem.is_object() ? problem.value("outcome", "") : "";
  mOutcome.detail = problem.is_object() ? problem.value("detail", "") : aResponse.body;
  if (outcome == "unknown") {
    RetryOrFinish("unknown");
    return;
  }
  if (outcome != "not-run") {
    Finish("failed");
    return;
  }
  mOutcome.firstAttemptNotRun = mOutcome.firstAttemptNotRun || mOutcome.attempts == 1;
  mOutcome.notRunRequestIds.push_back(aResponse.Header("X-Request-Id"));
  if (mOptions.retryNotRun && aResponse.status >= 500) {
    RetryOrFinish("not-run");
  } else {
    Finish("not-run");
  }
}

void Call::RetryOrFinish(const std::string& aKind)
{
  if (mSpec.key.IsEmpty() || mOutcome.attempts >= mOptions.maxAttempts) {
    Finish(aKind);
    return;
  }
  ++mHostIndex;
  mRetryTimer = mTimers.ScheduleAfter(mOptions.retryDelay, [this] { SendAttempt(); });
}

void Call::Finish(const std::string& aKind)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mOutcome.kind = aKind;
  mOutcome.totalDuration = mTimers.Now() - mStartedAt;
  mDoneCallback(mSpec, mOutcome);
}

void Call::RecordMismatch(const std::string& aDetail)
{
  mMismatched = true;
  if (mOutcome.detail.empty()) {
    mOutcome.detail = aDetail;
  }
}

void Call::RecordFirstToken()
{
  if (mOutcome.firstTokenLatency == core::Duration::zero()) {
    mOutcome.firstTokenLatency = mTimers.Now() - mStartedAt;
  }
}

} // namespace cuminfield::test_framework::caller
