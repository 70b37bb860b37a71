#include "TestFramework/caller/Call.h"

#include "TestFramework/engine/Answer.h"
#include "TestFramework/plain/PlainAnswer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::test_framework::caller {

namespace {

/// Returns the text of the first choice of a completion or of one of its events.
std::string ChoiceText(const nlohmann::json& aBody)
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
           CallSpec aSpec, std::size_t aHostIndex, End aDoneCallback)
  : mTimers(aTimers)
  , mClient(aClient)
  , mOptions(aOptions)
  , mSpec(std::move(aSpec))
  , mHost(aHostIndex)
  , mEnd(std::move(aDoneCallback))
{
}

void Call::Start()
{
  mBegun = mTimers.Now();
  Attempt();
}

void Call::Attempt()
{
  ++mOutcome.attempts;
  mReader = {};
  const http::ClientRequest request{ .to = mOptions.hosts[mHost % mOptions.hosts.size()],
                                     .method = mSpec.method,
                                     .target = mSpec.target,
                                     .headers = Headers(),
                                     .body = mSpec.body,
                                     .timeout = mOptions.silence };
  auto onResponse = [this](const http::ClientResponse& aResponse) { Ended(aResponse); };
  if (!mSpec.stream) {
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
      Ended(aResponse);
    },
    [this, body](const http::ClientResponse& aResponse, const std::string& aBytes) {
      if (aResponse.status == 200) {
        Received(aBytes);
      } else {
        *body += aBytes;
      }
    });
}

std::map<std::string, std::string> Call::Headers() const
{
  std::map<std::string, std::string> headers = { { "X-Workspace", mSpec.workspace.Text() },
                                                 { "X-Tier", mSpec.tier.Text() },
                                                 { "Content-Type", "application/json" } };
  if (!mSpec.key.IsEmpty()) {
    headers["Idempotency-Key"] = mSpec.key.Text();
  }
  if (mNextEvent > 0) {
    headers["Last-Event-ID"] = std::to_string(mNextEvent - 1);
  }
  return headers;
}

void Call::Received(const std::string& aBytes)
{
  for (const StreamEvent& it : mReader.Read(aBytes)) {
    CheckEvent(it);
  }
}

void Call::CheckEvent(const StreamEvent& aEvent)
{
  NoteFirstToken();
  if (mDone) {
    Wrong("an event after [DONE]");
    return;
  }
  if (aEvent.data == "[DONE]") {
    mDone = true;
    if (mNextEvent != mSpec.tokens) {
      Wrong("[DONE] after " + std::to_string(mNextEvent) + " events");
    }
    return;
  }
  if (aEvent.id != std::to_string(mNextEvent)) {
    Wrong("event " + aEvent.id + " in place of " + std::to_string(mNextEvent));
    return;
  }
  const std::string text = ChoiceText(nlohmann::json::parse(aEvent.data, nullptr, false));
  if (text != engine::AnswerWord(mSpec.prompt, mNextEvent)) {
    Wrong("the text of event " + aEvent.id + " is not this caller's");
    return;
  }
  ++mNextEvent;
}

void Call::CheckBody(const std::string& aBody)
{
  NoteFirstToken();
  if (!mSpec.engine) {
    if (aBody != plain::PlainAnswer(mSpec.method, mSpec.target, mSpec.body)) {
      Wrong("the body is not this caller's: " + aBody);
    }
    return;
  }
  const std::string text = ChoiceText(nlohmann::json::parse(aBody, nullptr, false));
  if (text != engine::Answer(mSpec.prompt, mSpec.tokens)) {
    Wrong("the text is not this caller's or not whole");
  }
}

void Call::Ended(const http::ClientResponse& aResponse)
{
  mOutcome.status = aResponse.status;
  const std::string id = aResponse.Header("X-Request-Id");
  if (!id.empty()) {
    mOutcome.requestIds.push_back(id);
  }
  mOutcome.host = aResponse.Header("X-Host");
  mOutcome.upstream = aResponse.Header("X-Upstream");
  if (aResponse.status == 200) {
    EndedWell(aResponse);
  } else if (aResponse.status == 0 || !aResponse.whole) {
    TryAgainOr("broken");
  } else {
    Refused(aResponse);
  }
}

void Call::EndedWell(const http::ClientResponse& aResponse)
{
  if (!mSpec.stream && aResponse.whole) {
    CheckBody(aResponse.body);
    mDone = true;
  }
  if (mWrong) {
    Finish("wrong");
  } else if (mDone) {
    Finish("answered");
  } else {
    TryAgainOr("broken");
  }
}

void Call::Refused(const http::ClientResponse& aResponse)
{
  const auto problem = nlohmann::json::parse(aResponse.body, nullptr, false);
  const std::string outcome = problem.is_object() ? problem.value("outcome", "") : "";
  mOutcome.detail = problem.is_object() ? problem.value("detail", "") : aResponse.body;
  if (outcome == "unknown") {
    TryAgainOr("unknown");
    return;
  }
  if (outcome != "not-run") {
    Finish("failed");
    return;
  }
  mOutcome.notRunFirst = mOutcome.notRunFirst || mOutcome.attempts == 1;
  mOutcome.notRunIds.push_back(aResponse.Header("X-Request-Id"));
  if (mOptions.retryNotRun && aResponse.status >= 500) {
    TryAgainOr("not-run");
  } else {
    Finish("not-run");
  }
}

void Call::TryAgainOr(const std::string& aKind)
{
  if (mSpec.key.IsEmpty() || mOutcome.attempts >= mOptions.attempts) {
    Finish(aKind);
    return;
  }
  ++mHost;
  mAgain = mTimers.ScheduleAfter(mOptions.pause, [this] { Attempt(); });
}

void Call::Finish(const std::string& aKind)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mOutcome.kind = aKind;
  mOutcome.total = mTimers.Now() - mBegun;
  mEnd(mSpec, mOutcome);
}

void Call::Wrong(const std::string& aDetail)
{
  mWrong = true;
  if (mOutcome.detail.empty()) {
    mOutcome.detail = aDetail;
  }
}

void Call::NoteFirstToken()
{
  if (mOutcome.firstToken == core::Duration::zero()) {
    mOutcome.firstToken = mTimers.Now() - mBegun;
  }
}

} // namespace cuminfield::test_framework::caller
