#include "cuminfield/connection/caller/HttpServer.h"

#include "cuminfield/core/Socket.h"
#include "cuminfield/core/Timeval.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cuminfield::connection::caller {

namespace {

const HttpHeaders kProblemHeaders{ { std::string(kContentTypeHeader), "application/problem+json" },
                                   { std::string(kRetryAfterHeader), "1" } };

std::size_t UnsentBytes(evhttp_connection* aConnection)
{
  return evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(aConnection)));
}

const char* ToMethodName(evhttp_cmd_type aCommand)
{
  switch (aCommand) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "";
  }
}

CallerRequest ReadRequest(evhttp_request* aRequest)
{
  CallerRequest request;
  request.method = ToMethodName(evhttp_request_get_command(aRequest));
  request.target = evhttp_request_get_uri(aRequest);
  request.path = request.target.substr(0, request.target.find('?'));
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* it = headers->tqh_first; it; it = it->next.tqe_next) {
    request.headers.push_back({ .name = it->key, .value = it->value });
  }
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  return request;
}

} // namespace

/// Channel of one request. If the connection is lost before the response is complete, evhttp
/// detaches the request from it, and the channel must end the request.
class HttpServer::Channel
  : public CallerChannel
  , public std::enable_shared_from_this<Channel>
{
public:
  Channel(HttpServer& aServer, evhttp_request* aRequest)
    : mServer(aServer)
    , mRequest(aRequest)
  {
    ++mServer.mOpenRequestCount;
  }

  ~Channel() override
  {
    // If the handler destroys the channel without a response, the caller must not wait for one.
    if (mRequest) {
      Abort();
    }
  }

  /// Detects that the caller disconnects while its request is processed.
  void WatchConnection()
  {
    evhttp_connection* connection = evhttp_request_get_connection(mRequest);
    evhttp_connection_set_closecb(connection, OnClosed, this);
    bufferevent* channel = evhttp_connection_get_bufferevent(connection);
    core::SetTcpNoDelay(bufferevent_getfd(channel));
    // evhttp disables reading until it writes the response, which would hide that the caller
    // disconnected. evhttp makes the same change itself with its first write.
    bufferevent_event_cb onEvent = nullptr;
    bufferevent_data_cb onWrite = nullptr;
    void* context = nullptr;
    bufferevent_getcb(channel, nullptr, &onWrite, &onEvent, &context);
    bufferevent_setcb(channel, nullptr, onWrite, onEvent, context);
    // A waiting caller sends nothing until it has its response, so only writes time out.
    const timeval stall = core::ToTimeval(mServer.mOptions.settings.idleTimeout);
    bufferevent_set_timeouts(channel, nullptr, &stall);
    bufferevent_enable(channel, EV_READ);
  }

  /// Rejects a request that no handler has received.
  void Reject(int aStatus, const std::string& aTitle, const std::string& aDetail)
  {
    // With an idempotency key, an earlier request may have run; its claim has not been looked up.
    const evkeyvalq* headers = evhttp_request_get_input_headers(mRequest);
    const bool hasIdempotencyKey =
      evhttp_find_header(headers, kIdempotencyKeyHeader.data()) != nullptr;
    const nlohmann::json body{ { "type", "about:blank" },
                               { "title", aTitle },
                               { "status", aStatus },
                               { "detail", aDetail },
                               { "outcome", hasIdempotencyKey ? "unknown" : "not-run" } };
    SendResponse(aStatus, kProblemHeaders, body.dump());
  }

  void SendHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    if (!mRequest) {
      return;
    }
    AddHeaders(aHeaders);
    mHeadSent = true;
    evhttp_send_reply_start(mRequest, aStatus, nullptr);
  }

  void SendBody(std::string_view aBytes) override
  {
    if (!mRequest || aBytes.empty()) {
      return;
    }
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, aBytes.data(), aBytes.size());
    evhttp_send_reply_chunk_with_cb(mRequest, chunk, OnWritten, this);
    evbuffer_free(chunk);
    CheckBacklog();
  }

  void End() override
  {
    if (!mRequest) {
      return;
    }
    evhttp_request* request = DetachRequest();
    evhttp_send_reply_end(request);
  }

  void Abort() override
  {
    if (!mRequest) {
      return;
    }
    evhttp_connection* connection = evhttp_request_get_connection(mRequest);
    const bool endsWithConnection = EndsWithConnection();
    DetachRequest();
    if (connection) {
      mServer.mIdleConnections.erase(connection);
      bufferevent* channel = evhttp_connection_get_bufferevent(connection);
      bufferevent_disable(channel, EV_READ | EV_WRITE);
      if (endsWithConnection) {
        core::ResetConnection(bufferevent_getfd(channel));
      }
      mServer.DeferClose(connection);
    }
  }

  void SendResponse(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody) override
  {
    if (!mRequest) {
      return;
    }
    AddHeaders(aHeaders);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, aBody.data(), aBody.size());
    evhttp_request* request = DetachRequest();
    evhttp_send_reply(request, aStatus, nullptr, body);
    evbuffer_free(body);
  }

private:
  void AddHeaders(const HttpHeaders& aHeaders)
  {
    evkeyvalq* headers = evhttp_request_get_output_headers(mRequest);
    for (const HttpHeader& it : aHeaders) {
      evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    }
  }

  /// True for a response that has begun without length or chunks (to an HTTP/1.0 caller): an
  /// orderly close would mark its end.
  bool EndsWithConnection() const
  {
    const evkeyvalq* headers = evhttp_request_get_output_headers(mRequest);
    return mHeadSent && mRequest->chunked == 0 && !evhttp_find_header(headers, "Content-Length");
  }

  /// Detaches the channel before the last bytes are sent, so that its callbacks are not called for
  /// the connection's next request.
  evhttp_request* DetachRequest()
  {
    evhttp_request* request = std::exchange(mRequest, nullptr);
    --mServer.mOpenRequestCount;
    evhttp_connection* connection = evhttp_request_get_connection(request);
    if (connection) {
      mServer.mIdleConnections.insert(connection);
      evhttp_connection_set_closecb(connection, OnIdleClosed, &mServer);
      const timeval idle = core::ToTimeval(mServer.mOptions.settings.idleTimeout);
      bufferevent* channel = evhttp_connection_get_bufferevent(connection);
      bufferevent_set_timeouts(channel, &idle, &idle);
    }
    return request;
  }

  void CheckBacklog()
  {
    evhttp_connection* connection = evhttp_request_get_connection(mRequest);
    if (!connection) {
      return;
    }
    const bool backlog = static_cast<std::int64_t>(UnsentBytes(connection)) >
                         mServer.mOptions.settings.maxUnsentBytes.value;
    if (backlog != mHasBacklog) {
      mHasBacklog = backlog;
      if (onBacklog) {
        onBacklog(backlog);
      }
    }
  }

  void HandleDisconnect()
  {
    if (!mRequest) {
      return;
    }
    evhttp_request* request = std::exchange(mRequest, nullptr);
    --mServer.mOpenRequestCount;
    mServer.mOptions.loop.Post([self = shared_from_this(), request] {
      // The request has no connection any more, so this only frees it.
      evhttp_send_reply_end(request);
      if (self->onDisconnected) {
        const auto callback = std::move(self->onDisconnected);
        callback();
      }
    });
  }

  static void OnClosed(evhttp_connection*, void* aSelf)
  {
    static_cast<Channel*>(aSelf)->HandleDisconnect();
  }

  static void OnWritten(evhttp_connection*, void* aSelf)
  {
    auto* self = static_cast<Channel*>(aSelf);
    if (self->mRequest && self->mHasBacklog) {
      self->CheckBacklog();
    }
  }

  HttpServer& mServer;
  evhttp_request* mRequest;
  bool mHeadSent = false;
  bool mHasBacklog = false;
};

HttpServer::HttpServer(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

HttpServer::~HttpServer()
{
  for (evhttp_connection* it : mIdleConnections) {
    evhttp_connection_set_closecb(it, nullptr, nullptr);
  }
  if (mServer) {
    evhttp_free(mServer);
  }
}

core::Result<void> HttpServer::Start()
{
  mServer = evhttp_new(mOptions.loop.EventBase());
  evhttp_set_allowed_methods(mServer,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_max_body_size(mServer, mOptions.settings.maxBodySize.value);
  evhttp_set_max_headers_size(mServer, mOptions.settings.maxHeaderSize.value);
  const timeval idle = core::ToTimeval(mOptions.settings.idleTimeout);
  evhttp_set_timeout_tv(mServer, &idle);
  evhttp_set_default_content_type(mServer, nullptr);
  evhttp_set_gencb(mServer, OnRequest, this);
  mListeningSocket =
    evhttp_bind_socket_with_handle(mServer, mOptions.listen.address.c_str(), mOptions.listen.port);
  if (!mListeningSocket) {
    return core::Fail(core::ErrorKind::Io, "cannot listen on " + mOptions.listen.ToString() +
                                             "; free the port or change it in section [listen]");
  }
  return core::Success();
}

void HttpServer::StopAccepting()
{
  if (mListeningSocket) {
    evhttp_del_accept_socket(mServer, std::exchange(mListeningSocket, nullptr));
  }
}

void HttpServer::CloseIdleConnections()
{
  const std::set<evhttp_connection*> idle = mIdleConnections;
  for (evhttp_connection* it : idle) {
    bufferevent* channel = evhttp_connection_get_bufferevent(it);
    const bool requestBegun = evbuffer_get_length(bufferevent_get_input(channel)) > 0;
    if (UnsentBytes(it) == 0 && !requestBegun) {
      mIdleConnections.erase(it);
      DeferClose(it);
    }
  }
}

bool HttpServer::HasUnsentBytes() const
{
  // A connection is idle as soon as its response has been handed to evhttp.
  return std::any_of(mIdleConnections.begin(), mIdleConnections.end(),
                     [](evhttp_connection* aIt) { return UnsentBytes(aIt) > 0; });
}

void HttpServer::OnIdleClosed(evhttp_connection* aConnection, void* aSelf)
{
  static_cast<HttpServer*>(aSelf)->mIdleConnections.erase(aConnection);
}

void HttpServer::HandleRequest(evhttp_request* aRequest)
{
  mIdleConnections.erase(evhttp_request_get_connection(aRequest));
  auto channel = std::make_shared<Channel>(*this, aRequest);
  channel->WatchConnection();
  if (mOpenRequestCount > mOptions.settings.maxOpenRequests) {
    channel->Reject(kStatusUnavailable, "too many callers", "Send again after Retry-After.");
    return;
  }
  if (!evhttp_request_get_uri(aRequest)) {
    // evhttp could not parse the request.
    channel->Reject(kStatusBadRequest, "malformed or too large",
                    "Send a shorter, well-formed request.");
    return;
  }
  CallerRequest request = ReadRequest(aRequest);
  mOptions.handler.OnRequest(std::move(request), std::move(channel));
}

void HttpServer::DeferClose(evhttp_connection* aConnection)
{
  // Freed from the loop, since this may run inside a callback of the connection, and only if evhttp
  // has not freed the connection by then.
  mClosingConnections.insert(aConnection);
  evhttp_connection_set_closecb(aConnection, OnClosingClosed, this);
  mOptions.loop.Post([this, aConnection] {
    if (mClosingConnections.erase(aConnection) > 0) {
      evhttp_connection_set_closecb(aConnection, nullptr, nullptr);
      evhttp_connection_free(aConnection);
    }
  });
}

void HttpServer::OnClosingClosed(evhttp_connection* aConnection, void* aSelf)
{
  static_cast<HttpServer*>(aSelf)->mClosingConnections.erase(aConnection);
}

void HttpServer::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  static_cast<HttpServer*>(aSelf)->HandleRequest(aRequest);
}

} // namespace cuminfield::connection::caller
