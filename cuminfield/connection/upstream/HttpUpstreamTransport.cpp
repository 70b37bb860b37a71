#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include "cuminfield/connection/upstream/BodyFraming.h"
#include "cuminfield/connection/upstream/ResponseHeadChecker.h"
#include "cuminfield/core/Socket.h"
#include "cuminfield/core/Timeval.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <utility>

namespace cuminfield::connection::upstream {

namespace {

/// Least time between two checks of the idle connections.
constexpr core::Duration kMinIdleCheckInterval = std::chrono::milliseconds(100);

std::optional<evhttp_cmd_type> ToCommand(const std::string& aMethod)
{
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return std::nullopt;
}

HttpHeaders CopyHeaders(const evkeyvalq* aHeaders)
{
  HttpHeaders headers;
  for (const evkeyval* it = aHeaders->tqh_first; it; it = it->next.tqe_next) {
    headers.push_back({ .name = it->key, .value = it->value });
  }
  return headers;
}

} // namespace

/// Outlives the call while evhttp owns its request; `call` is null for callbacks after the call.
struct HttpUpstreamTransport::CallState
{
  Call* call = nullptr;
};

class HttpUpstreamTransport::Call : public UpstreamCall
{
public:
  Call(HttpUpstreamTransport& aTransport, Endpoint aKey, UpstreamRequest aRequest,
       UpstreamCallListener& aListener)
    : mTransport(aTransport)
    , mEndpoint(std::move(aKey))
    , mRequest(std::move(aRequest))
    , mListener(aListener)
    , mState(std::make_shared<State>(State{ .call = this }))
  {
  }

  ~Call() override
  {
    mState->call = nullptr;
    if (mConnection) {
      StopWatching();
      mTransport.DeferClose(mConnection, mRequestState);
    }
  }

  void Start()
  {
    mConnection = mRequest.freshConnection ? mTransport.CreateConnection(mEndpoint)
                                           : mTransport.AcquireConnection(mEndpoint);
    const auto command = ToCommand(mRequest.method);
    if (!mConnection || !command) {
      PostFailure(mConnection ? "method " + mRequest.method + " is not supported"
                              : "no socket; raise the limit of open files");
      return;
    }
    evhttp_connection_set_closecb(mConnection, nullptr, nullptr);
    WatchBuffers();
    SendRequest(*command);
  }

  void Pause(bool aPaused) override
  {
    if (!mConnection) {
      return;
    }
    bufferevent* channel = evhttp_connection_get_bufferevent(mConnection);
    if (aPaused) {
      bufferevent_disable(channel, EV_READ);
    } else {
      bufferevent_enable(channel, EV_READ);
    }
  }

private:
  using State = CallState;

  const std::string& RequestIdHeader() const
  {
    return mTransport.mOptions.settings.requestIdHeader;
  }

  int Socket() const { return bufferevent_getfd(evhttp_connection_get_bufferevent(mConnection)); }

  void WatchBuffers()
  {
    bufferevent* channel = evhttp_connection_get_bufferevent(mConnection);
    mInput = bufferevent_get_input(channel);
    mInputCallback = evbuffer_add_cb(mInput, OnInput, this);
    mOutput = bufferevent_get_output(channel);
    mOutputCallback = evbuffer_add_cb(mOutput, OnOutput, this);
  }

  void SendRequest(evhttp_cmd_type aCommand)
  {
    // evhttp owns the request; the pointer on the heap keeps the state alive until the last
    // callback.
    mRequestState = new std::shared_ptr<State>(mState);
    evhttp_request* request = evhttp_request_new(OnComplete, mRequestState);
    evhttp_request_set_header_cb(request, OnHeaders);
    evhttp_request_set_chunked_cb(request, OnChunk);
    evhttp_request_set_error_cb(request, OnError);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (FindHeader(mRequest.headers, "Host").empty()) {
      evhttp_add_header(headers, "Host", mEndpoint.first.c_str());
    }
    evhttp_add_header(headers, RequestIdHeader().c_str(), mRequest.id.Text().c_str());
    for (const HttpHeader& it : mRequest.headers) {
      evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    }
    evbuffer* body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, mRequest.body.data(), mRequest.body.size());
    if (!mRequest.body.empty()) {
      // evhttp adds a length for some methods only. Without a length, the upstream would read the
      // body as the next request.
      evhttp_add_header(headers, "Content-Length", std::to_string(mRequest.body.size()).c_str());
    }
    const std::string target = mRequest.target;
    if (evhttp_make_request(mConnection, request, aCommand, target.c_str()) != 0) {
      // evhttp has freed the request without a callback.
      StopWatching();
      mTransport.DeferClose(std::exchange(mConnection, nullptr),
                            std::exchange(mRequestState, nullptr));
      PostFailure("cannot start a connection");
      return;
    }
    mConnectTimer = mTransport.mOptions.loop.ScheduleAfter(
      mTransport.mOptions.settings.connectTimeout, [this] { CheckConnected(); });
  }

  /// Fails the call if the connection has not been established in time.
  void CheckConnected()
  {
    if (mAnyByteSent || !mConnection) {
      return;
    }
    // Freed at once: otherwise it could still connect and send after the failure is reported.
    StopWatching();
    evhttp_connection_free(std::exchange(mConnection, nullptr));
    delete std::exchange(mRequestState, nullptr);
    Fail("no connection in time");
  }

  /// Reports from the loop a failure that occurred before any byte was sent.
  void PostFailure(std::string aReason)
  {
    mTransport.mOptions.loop.Post([state = mState, reason = std::move(aReason)] {
      if (state->call) {
        state->call->Fail(reason);
      }
    });
  }

  void Fail(const std::string& aReason)
  {
    const bool mayHaveRun = mAnyByteSent;
    std::string message =
      "upstream " + mEndpoint.first + ":" + std::to_string(mEndpoint.second) + ": " + aReason;
    message += mayHaveRun ? "; ask again with the same key" : "; safe to send again";
    mListener.OnFailed({ .mayHaveRun = mayHaveRun,
                         .error = { .kind = core::ErrorKind::Unavailable, .message = message } });
  }

  /// Removes the callbacks of the buffers before the connection is released or closed.
  void StopWatching()
  {
    if (mOutputCallback) {
      evbuffer_remove_cb_entry(mOutput, std::exchange(mOutputCallback, nullptr));
      evbuffer_remove_cb_entry(mInput, std::exchange(mInputCallback, nullptr));
    }
  }

  void HandleComplete(evhttp_request* aRequest)
  {
    StopWatching();
    mConnectTimer.Cancel();
    evhttp_connection* connection = std::exchange(mConnection, nullptr);
    const int status = aRequest ? evhttp_request_get_response_code(aRequest) : 0;
    if (mRejection) {
      mErrorText = mRejection;
    }
    if (status == 0 || !mHeadReceived || !mErrorText.empty()) {
      mTransport.DeferClose(connection, nullptr);
      Fail(mErrorText.empty() ? "no answer" : mErrorText);
      return;
    }
    const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (mFraming == BodyFraming::ConnectionClose && !core::HasPeerReceivedAll(socket)) {
      mTransport.DeferClose(connection, nullptr);
      Fail("connection closed before the request was received");
      return;
    }
    // After an early response, unread bytes of the request would precede the next one.
    if (mFraming == BodyFraming::ConnectionClose || mIsEarlyResponse) {
      mTransport.DeferClose(connection, nullptr);
    } else {
      mTransport.ReleaseConnection(mEndpoint, connection);
    }
    mListener.OnEnd();
  }

  int HandleHeaders(evhttp_request* aRequest)
  {
    evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
    const int status = evhttp_request_get_response_code(aRequest);
    const HttpHeaders copy = CopyHeaders(headers);
    const auto framing = DetermineBodyFraming(status, copy);
    if (mHeadChecker.IsMalformed()) {
      mRejection = "the head of the answer is malformed";
    } else if (status < kStatusOk) {
      // Callers don't ask for informational responses, and evhttp would take them for the answer.
      mRejection = "the answer is only informational";
    } else if (mRequest.id.Text() != FindHeader(copy, RequestIdHeader())) {
      mRejection = "the answer belongs to another request";
    } else if (!framing) {
      mRejection = "the length of the answer is ambiguous";
    }
    if (mRejection) {
      return -1;
    }
    mHeadReceived = true;
    mFraming = *framing;
    mIsEarlyResponse |= !mRequest.body.empty() && !core::HasPeerReceivedAll(Socket());
    core::SetTcpQuickAck(Socket());
    if (mFraming == BodyFraming::ConnectionClose) {
      // With `keep-alive`, evhttp would take the response for empty.
      evhttp_remove_header(headers, "Connection");
    }
    mListener.OnHead(status, copy);
    return 0;
  }

  void HandleChunk(evhttp_request* aRequest)
  {
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0 || !mHeadReceived) {
      return;
    }
    core::SetTcpQuickAck(Socket());
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    mListener.OnBody(std::string_view(bytes, size));
  }

  static void OnComplete(evhttp_request* aRequest, void* aState)
  {
    auto* requestState = static_cast<std::shared_ptr<State>*>(aState);
    if (!(*requestState)->call) {
      return; // DeferClose() frees the state.
    }
    Call* call = (*requestState)->call;
    delete std::exchange(call->mRequestState, nullptr);
    call->HandleComplete(aRequest);
  }

  static int OnHeaders(evhttp_request* aRequest, void* aState)
  {
    const std::shared_ptr<State> state = *static_cast<std::shared_ptr<State>*>(aState);
    return state->call ? state->call->HandleHeaders(aRequest) : -1;
  }

  static void OnChunk(evhttp_request* aRequest, void* aState)
  {
    const std::shared_ptr<State> state = *static_cast<std::shared_ptr<State>*>(aState);
    if (state->call) {
      state->call->HandleChunk(aRequest);
    }
  }

  static void OnError(evhttp_request_error aError, void* aState)
  {
    const std::shared_ptr<State> state = *static_cast<std::shared_ptr<State>*>(aState);
    if (!state->call) {
      return;
    }
    state->call->mErrorText = Describe(aError);
  }

  static std::string Describe(evhttp_request_error aError)
  {
    switch (aError) {
      case EVREQ_HTTP_TIMEOUT:
        return "silent for too long";
      case EVREQ_HTTP_EOF:
        return "connection closed before the answer was whole";
      case EVREQ_HTTP_INVALID_HEADER:
        return "answer is not HTTP";
      case EVREQ_HTTP_BUFFER_ERROR:
        return "connection broke";
      case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
      case EVREQ_HTTP_DATA_TOO_LONG:
        return "answer is too long";
    }
    return "connection failed";
  }

  static void OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    // Bytes removed from the buffer may have reached the upstream, even if the call fails later.
    auto* self = static_cast<Call*>(aSelf);
    if (aInfo->n_deleted == 0 || self->mAnyByteSent) {
      return;
    }
    self->mAnyByteSent = true;
    core::SetTcpNoDelay(self->Socket());
  }

  static void OnInput(evbuffer* aInput, const evbuffer_cb_info* aInfo, void* aSelf)
  {
    auto* self = static_cast<Call*>(aSelf);
    if (aInfo->n_added > 0) {
      self->CheckHead(aInput, aInfo);
      self->CheckEarlyResponse(aInput);
    }
  }

  void CheckHead(evbuffer* aInput, const evbuffer_cb_info* aInfo)
  {
    std::size_t unread = std::min(aInfo->n_added, evbuffer_get_length(aInput));
    std::array<char, 1024> bytes{};
    while (unread > 0 && !mHeadChecker.IsDone()) {
      evbuffer_ptr position;
      evbuffer_ptr_set(aInput, &position, evbuffer_get_length(aInput) - unread, EVBUFFER_PTR_SET);
      const std::size_t size = std::min(unread, bytes.size());
      evbuffer_copyout_from(aInput, &position, bytes.data(), size);
      mHeadChecker.Consume({ bytes.data(), size });
      unread -= size;
    }
  }

  /// Handles a response that arrives while the request is being written. evhttp reads it only once
  /// all is written, which an upstream that doesn't read the request would prevent.
  void CheckEarlyResponse(evbuffer* aInput)
  {
    if (mIsUploadStopped || evbuffer_get_length(mOutput) == 0) {
      return;
    }
    mIsEarlyResponse = true;
    if (!mHeadChecker.IsDone()) {
      return;
    }
    if (!mHeadChecker.IsMalformed() && !std::exchange(mIsEarlyHeadRead, true)) {
      std::string head(mHeadChecker.HeadSize(), '\0');
      evbuffer_copyout(aInput, head.data(), head.size());
      mEarlyResponseSize = FindResponseSize(head);
    }
    const bool isComplete =
      mEarlyResponseSize && evbuffer_get_length(aInput) >= *mEarlyResponseSize;
    if (mHeadChecker.IsMalformed() || isComplete) {
      mIsUploadStopped = true;
      mTransport.mOptions.loop.Post([state = mState] {
        if (state->call) {
          state->call->StopUpload();
        }
      });
    }
  }

  /// Drops the rest of the request, so that evhttp reads the response.
  void StopUpload()
  {
    // With nothing left to write, evhttp is reading already.
    if (!mConnection || evbuffer_get_length(mOutput) == 0) {
      return;
    }
    evbuffer_unfreeze(mOutput, 1); // Only the bufferevent itself may remove bytes.
    evbuffer_drain(mOutput, evbuffer_get_length(mOutput));
    evbuffer_freeze(mOutput, 1);
    bufferevent_trigger(evhttp_connection_get_bufferevent(mConnection), EV_WRITE,
                        BEV_TRIG_IGNORE_WATERMARKS);
  }

  HttpUpstreamTransport& mTransport;
  Endpoint mEndpoint;
  UpstreamRequest mRequest;
  UpstreamCallListener& mListener;
  std::shared_ptr<State> mState;
  evhttp_connection* mConnection = nullptr;
  std::shared_ptr<State>* mRequestState = nullptr; ///< Callback argument of the request in evhttp.
  core::TimerHandle mConnectTimer;
  evbuffer* mInput = nullptr;
  evbuffer_cb_entry* mInputCallback = nullptr;
  evbuffer* mOutput = nullptr;
  evbuffer_cb_entry* mOutputCallback = nullptr;
  bool mAnyByteSent = false; ///< Whether the upstream may have received a byte.
  ResponseHeadChecker mHeadChecker;
  bool mIsEarlyResponse = false; ///< It began before the upstream had received the request.
  bool mIsUploadStopped = false; ///< The response is decided, so the rest need not be written.
  bool mIsEarlyHeadRead = false;
  std::optional<std::size_t> mEarlyResponseSize; ///< Of an early response that announces it.
  bool mHeadReceived = false;
  const char* mRejection = nullptr; ///< Why the head was rejected.
  BodyFraming mFraming = BodyFraming::NoBody;
  std::string mErrorText;
};

/// A call whose response is ignored; removed when the call has ended.
class HttpUpstreamTransport::Notification : public UpstreamCallListener
{
public:
  explicit Notification(HttpUpstreamTransport& aTransport)
    : mTransport(aTransport)
  {
  }

  void Start(const std::string& aAddress, std::uint16_t aPort, UpstreamRequest aRequest)
  {
    mCall = mTransport.Start(aAddress, aPort, std::move(aRequest), *this);
  }

  void OnHead(int, const HttpHeaders&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override { DeferRemoval(); }
  void OnFailed(const UpstreamFailure&) override { DeferRemoval(); }

private:
  void DeferRemoval()
  {
    mTransport.mOptions.loop.Post(
      [&transport = mTransport, self = this] { transport.mNotifications.erase(self); });
  }

  HttpUpstreamTransport& mTransport;
  std::unique_ptr<UpstreamCall> mCall;
};

HttpUpstreamTransport::HttpUpstreamTransport(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

HttpUpstreamTransport::~HttpUpstreamTransport()
{
  mNotifications.clear();
  for (const auto& [key, idle] : mIdleConnections) {
    for (const IdleConnection& it : idle) {
      evhttp_connection_set_closecb(it.connection, nullptr, nullptr);
      evhttp_connection_free(it.connection);
    }
  }
}

std::unique_ptr<UpstreamCall> HttpUpstreamTransport::Start(const std::string& aAddress,
                                                           std::uint16_t aPort,
                                                           UpstreamRequest aRequest,
                                                           UpstreamCallListener& aListener)
{
  auto call =
    std::make_unique<Call>(*this, Endpoint(aAddress, aPort), std::move(aRequest), aListener);
  call->Start();
  return call;
}

void HttpUpstreamTransport::Notify(const std::string& aAddress, std::uint16_t aPort,
                                   UpstreamRequest aRequest)
{
  auto notification = std::make_unique<Notification>(*this);
  Notification* started = notification.get();
  mNotifications.emplace(started, std::move(notification));
  started->Start(aAddress, aPort, std::move(aRequest));
}

evhttp_connection* HttpUpstreamTransport::AcquireConnection(const Endpoint& aKey)
{
  const auto it = mIdleConnections.find(aKey);
  while (it != mIdleConnections.end() && !it->second.empty()) {
    const IdleConnection idle = it->second.back();
    it->second.pop_back();
    // Unread bytes on an idle connection belong to no request, so it is not reused.
    bufferevent* channel = evhttp_connection_get_bufferevent(idle.connection);
    const bool inputEmpty = evbuffer_get_length(bufferevent_get_input(channel)) == 0;
    if (inputEmpty && mOptions.loop.Now() - idle.idleSince <= mOptions.settings.maxIdleTime) {
      return idle.connection;
    }
    DeferClose(idle.connection, nullptr);
  }
  return CreateConnection(aKey);
}

evhttp_connection* HttpUpstreamTransport::CreateConnection(const Endpoint& aKey)
{
  event_base* base = mOptions.loop.EventBase();
  evhttp_connection* connection =
    evhttp_connection_base_new(base, nullptr, aKey.first.c_str(), aKey.second);
  if (!connection) {
    return nullptr;
  }
  const timeval stall = core::ToTimeval(mOptions.settings.stallTimeout);
  evhttp_connection_set_timeout_tv(connection, &stall);
  evhttp_connection_set_retries(connection, 0);
  const HttpUpstreamTransportSettings& settings = mOptions.settings;
  evhttp_connection_set_max_headers_size(connection, settings.maxHeadSize.value);
  evhttp_connection_set_max_body_size(connection, settings.maxResponseSize.value);
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection), EV_READ, 0,
                           static_cast<std::size_t>(settings.maxUnreadBytes.value));
  return connection;
}

void HttpUpstreamTransport::ReleaseConnection(const Endpoint& aKey, evhttp_connection* aConnection)
{
  std::vector<IdleConnection>& idle = mIdleConnections[aKey];
  bufferevent* channel = evhttp_connection_get_bufferevent(aConnection);
  const bool inputEmpty = evbuffer_get_length(bufferevent_get_input(channel)) == 0;
  if (!inputEmpty || idle.size() >= mOptions.settings.maxIdlePerUpstream) {
    DeferClose(aConnection, nullptr);
    return;
  }
  evhttp_connection_set_closecb(aConnection, OnIdleClosed, this);
  idle.push_back({ .connection = aConnection, .idleSince = mOptions.loop.Now() });
  if (!mIdleTimer.IsActive()) {
    mIdleTimer = mOptions.loop.ScheduleAfter(mOptions.settings.maxIdleTime,
                                             [this] { CloseExpiredConnections(); });
  }
}

void HttpUpstreamTransport::CloseExpiredConnections()
{
  const core::Instant now = mOptions.loop.Now();
  std::optional<core::Instant> oldest;
  for (auto it = mIdleConnections.begin(); it != mIdleConnections.end();) {
    std::erase_if(it->second, [&](const IdleConnection& aIdle) {
      if (now - aIdle.idleSince >= mOptions.settings.maxIdleTime) {
        DeferClose(aIdle.connection, nullptr);
        return true;
      }
      oldest = std::min(oldest.value_or(aIdle.idleSince), aIdle.idleSince);
      return false;
    });
    it = it->second.empty() ? mIdleConnections.erase(it) : std::next(it);
  }
  if (oldest) {
    const core::Duration due = *oldest + mOptions.settings.maxIdleTime - now;
    mIdleTimer = mOptions.loop.ScheduleAfter(std::max(due, kMinIdleCheckInterval),
                                             [this] { CloseExpiredConnections(); });
  }
}

void HttpUpstreamTransport::DeferClose(evhttp_connection* aConnection,
                                       std::shared_ptr<CallState>* aState)
{
  // This may run inside a callback of the connection.
  evhttp_connection_set_closecb(aConnection, nullptr, nullptr);
  mOptions.loop.Post([aConnection, aState] {
    evhttp_connection_free(aConnection);
    delete aState;
  });
}

void HttpUpstreamTransport::OnIdleClosed(evhttp_connection* aConnection, void* aSelf)
{
  auto* self = static_cast<HttpUpstreamTransport*>(aSelf);
  for (auto& [key, idle] : self->mIdleConnections) {
    const auto it =
      std::find_if(idle.begin(), idle.end(), [aConnection](const IdleConnection& aIdle) {
        return aIdle.connection == aConnection;
      });
    if (it != idle.end()) {
      idle.erase(it);
      self->DeferClose(aConnection, nullptr);
      return;
    }
  }
}

} // namespace cuminfield::connection::upstream
