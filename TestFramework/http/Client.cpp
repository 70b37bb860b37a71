#include "TestFramework/http/Client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cuminfield::test_framework::http {

namespace {

/// A pending request, deleted by FinishRequest().
struct PendingRequest
{
  event_base* base = nullptr;
  evhttp_connection* connection = nullptr;
  Client::ResponseCallback responseCallback{};
  Client::DataCallback dataCallback{};
  ClientResponse response{};
  bool failed = false;
};

std::string ToLowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aText;
}

std::string ReadAll(evbuffer* aBuffer)
{
  std::string text(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, text.data(), text.size());
  return text;
}

void ReadHeaders(PendingRequest& aCall, evhttp_request* aRequest)
{
  aCall.response.status = evhttp_request_get_response_code(aRequest);
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
    aCall.response.headers[ToLowerCase(it->key)] = it->value;
  }
}

int OnHeaders(evhttp_request* aRequest, void* aCall)
{
  ReadHeaders(*static_cast<PendingRequest*>(aCall), aRequest);
  return 0;
}

void OnData(evhttp_request* aRequest, void* aCall)
{
  auto& call = *static_cast<PendingRequest*>(aCall);
  const std::string text = ReadAll(evhttp_request_get_input_buffer(aRequest));
  if (call.dataCallback) {
    call.dataCallback(call.response, text);
  } else {
    call.response.body += text;
  }
}

void OnError(evhttp_request_error /*aError*/, void* aCall)
{
  static_cast<PendingRequest*>(aCall)->failed = true;
}

void FinishRequest(int /*aSocket*/, short /*aEvents*/, void* aCall)
{
  auto* call = static_cast<PendingRequest*>(aCall);
  evhttp_connection_free(call->connection);
  call->responseCallback(call->response);
  delete call;
}

/// Finishes the request from the event loop: a connection must not be freed in its own callback.
void ScheduleFinish(PendingRequest* aCall)
{
  const timeval now{};
  event_base_once(aCall->base, -1, EV_TIMEOUT, &FinishRequest, aCall, &now);
}

void OnDone(evhttp_request* aRequest, void* aCall)
{
  auto* call = static_cast<PendingRequest*>(aCall);
  const bool hasResponse = aRequest != nullptr && evhttp_request_get_response_code(aRequest) != 0;
  call->response.complete = hasResponse && !call->failed;
  ScheduleFinish(call);
}

evhttp_cmd_type ToEvhttpMethod(const std::string& aMethod)
{
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return aMethod == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

evhttp_request* MakeRequest(const ClientRequest& aRequest, PendingRequest* aCall)
{
  evhttp_request* request = evhttp_request_new(&OnDone, aCall);
  evhttp_request_set_header_cb(request, &OnHeaders);
  evhttp_request_set_chunked_cb(request, &OnData);
  evhttp_request_set_error_cb(request, &OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", aRequest.endpoint.ToString().c_str());
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : aRequest.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request), aRequest.body.data(),
               aRequest.body.size());
  return request;
}

} // namespace

std::string ClientResponse::Header(const std::string& aName) const
{
  const auto it = headers.find(ToLowerCase(aName));
  return it == headers.end() ? std::string() : it->second;
}

void Client::Send(const ClientRequest& aRequest, ResponseCallback aOnResponse, DataCallback aOnData)
{
  auto* call = new PendingRequest{ .base = mBase,
                                   .responseCallback = std::move(aOnResponse),
                                   .dataCallback = std::move(aOnData) };
  call->connection = evhttp_connection_base_new(mBase, nullptr, aRequest.endpoint.address.c_str(),
                                                aRequest.endpoint.port);
  const auto micros = aRequest.timeout.count();
  const timeval timeout{ .tv_sec = micros / 1'000'000, .tv_usec = micros % 1'000'000 };
  evhttp_connection_set_timeout_tv(call->connection, &timeout);
  evhttp_request* request = MakeRequest(aRequest, call);
  const int rc = evhttp_make_request(call->connection, request, ToEvhttpMethod(aRequest.method),
                                     aRequest.target.c_str());
  if (rc != 0) {
    ScheduleFinish(call);
  }
}

} // namespace cuminfield::test_framework::http
