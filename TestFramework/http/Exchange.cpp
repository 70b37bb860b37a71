#include "TestFramework/http/Exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <sys/socket.h>

namespace cuminfield::test_framework::http {

namespace {

std::string MethodName(evhttp_cmd_type aMethod)
{
  switch (aMethod) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "POST";
  }
}

std::string ReadAll(evbuffer* aBuffer)
{
  std::string text(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, text.data(), text.size());
  return text;
}

} // namespace

Exchange::Exchange(evhttp_request* aRequest)
  : mRequest(aRequest)
  , mMethod(MethodName(evhttp_request_get_command(aRequest)))
  , mTarget(evhttp_request_get_uri(aRequest))
  , mBody(ReadAll(evhttp_request_get_input_buffer(aRequest)))
{
  mPath = mTarget.substr(0, mTarget.find('?'));
}

Exchange::~Exchange()
{
  if (IsEnded()) {
    return;
  }
  if (mStreamStarted) {
    CloseConnection();
  } else {
    Reply(500, "{}");
  }
}

std::optional<std::string> Exchange::Header(const std::string& aName) const
{
  if (IsEnded()) {
    return std::nullopt;
  }
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(mRequest), aName.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> Exchange::QueryParameter(const std::string& aName) const
{
  const auto queryStart = mTarget.find('?');
  if (queryStart == std::string::npos) {
    return std::nullopt;
  }
  evkeyvalq query{};
  evhttp_parse_query_str(mTarget.c_str() + queryStart + 1, &query);
  const char* value = evhttp_find_header(&query, aName.c_str());
  auto result = value == nullptr ? std::nullopt : std::optional<std::string>(value);
  evhttp_clear_headers(&query);
  return result;
}

void Exchange::SetHeader(const std::string& aName, const std::string& aValue)
{
  if (IsEnded()) {
    return;
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(mRequest);
  evhttp_remove_header(headers, aName.c_str());
  evhttp_add_header(headers, aName.c_str(), aValue.c_str());
}

void Exchange::Reply(int aStatus, const std::string& aBody, const std::string& aType)
{
  if (IsEnded()) {
    return;
  }
  SetHeader("Content-Type", aType);
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, aBody.data(), aBody.size());
  evhttp_send_reply(mRequest, aStatus, nullptr, buffer);
  evbuffer_free(buffer);
  mRequest = nullptr;
}

void Exchange::BeginStream(int aStatus, const std::string& aType)
{
  if (IsEnded()) {
    return;
  }
  SetHeader("Content-Type", aType);
  evhttp_send_reply_start(mRequest, aStatus, nullptr);
  mStreamStarted = true;
}

void Exchange::WriteChunk(const std::string& aText)
{
  if (IsEnded()) {
    return;
  }
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, aText.data(), aText.size());
  evhttp_send_reply_chunk(mRequest, buffer);
  evbuffer_free(buffer);
}

void Exchange::EndStream()
{
  if (IsEnded()) {
    return;
  }
  evhttp_send_reply_end(mRequest);
  mRequest = nullptr;
}

void Exchange::CloseConnection()
{
  if (IsEnded()) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(mRequest);
  if (connection != nullptr) {
    const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    shutdown(socket, SHUT_RDWR);
  }
  if (!mStreamStarted) {
    BeginStream(500, "text/plain");
  }
  EndStream();
}

} // namespace cuminfield::test_framework::http
