#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include <CppUTest/TestHarness.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <string>
#include <utility>

using namespace cuminfield;
using namespace cuminfield::connection;
using namespace std::chrono_literals;

namespace {

/// Upstream that sends a prefix and then the same bytes repeatedly until it is disconnected.
class EndlessUpstream
{
public:
  EndlessUpstream(core::EventLoop& aLoop, std::string aPrefix,
                  std::string aRepeated = std::string(16 * 1024, 'x'))
    : mLoop(aLoop)
    , mPrefix(std::move(aPrefix))
    , mChunk(std::move(aRepeated))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mListener = evconnlistener_new_bind(
      aLoop.EventBase(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }

  ~EndlessUpstream()
  {
    if (mChannel) {
      bufferevent_free(mChannel);
    }
    evconnlistener_free(mListener);
  }

  std::uint16_t Port() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

  bool IsDisconnected() const { return mDisconnected; }
  std::size_t SentBytes() const { return mSentBytes; }

private:
  void Send(const std::string& aBytes)
  {
    mSentBytes += aBytes.size();
    bufferevent_write(mChannel, aBytes.data(), aBytes.size());
  }

  static void OnAccept(evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf)
  {
    auto* self = static_cast<EndlessUpstream*>(aSelf);
    self->mChannel =
      bufferevent_socket_new(self->mLoop.EventBase(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(self->mChannel, OnRead, OnWrite, OnEvent, self);
    bufferevent_enable(self->mChannel, EV_READ | EV_WRITE);
  }

  static void OnRead(bufferevent* aChannel, void* aSelf)
  {
    evbuffer_drain(bufferevent_get_input(aChannel),
                   evbuffer_get_length(bufferevent_get_input(aChannel)));
    auto* self = static_cast<EndlessUpstream*>(aSelf);
    if (self->mSentBytes == 0) {
      self->Send(self->mPrefix);
    }
  }

  static void OnWrite(bufferevent*, void* aSelf)
  {
    auto* self = static_cast<EndlessUpstream*>(aSelf);
    if (self->mSentBytes > 0) {
      self->Send(self->mChunk);
    }
  }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<EndlessUpstream*>(aSelf)->mDisconnected = true;
    }
  }

  core::EventLoop& mLoop;
  std::string mPrefix;
  std::string mChunk;
  evconnlistener* mListener = nullptr;
  bufferevent* mChannel = nullptr;
  std::size_t mSentBytes = 0;
  bool mDisconnected = false;
};

class Listener : public upstream::UpstreamCallListener
{
public:
  void OnHead(int, const HttpHeaders&) override { headReceived = true; }
  void OnBody(std::string_view aBytes) override { bodyBytes += aBytes.size(); }
  void OnEnd() override { ended = true; }
  void OnFailed(const upstream::UpstreamFailure& aFailure) override
  {
    failed = true;
    mayHaveRun = aFailure.mayHaveRun;
  }

  bool headReceived = false;
  bool ended = false;
  bool failed = false;
  bool mayHaveRun = false;
  std::size_t bodyBytes = 0;
};

/// Limit of the bytes in the socket buffers of one connection, besides those in the transport.
constexpr std::size_t kMaxSocketBufferBytes = std::size_t{ 12 } * 1024 * 1024;

} // namespace

TEST_GROUP(EndlessResponse)
{
  core::EventLoop loop;
  Listener listener;
  upstream::HttpUpstreamTransportSettings settings{ .requestIdHeader = "Id" };

  // As in the programs, writing to a closed connection is an error instead of a signal.
  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  void RunUntilFailed(EndlessUpstream & aUpstream, core::Duration aLimit)
  {
    upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
    const auto call = transport.Start("127.0.0.1", aUpstream.Port(),
                                      { .id = core::RequestId("r"),
                                        .method = "GET",
                                        .target = "/",
                                        .headers = {},
                                        .body = "",
                                        .freshConnection = true },
                                      listener);
    const auto poll = loop.ScheduleEvery(5ms, [&] {
      if (listener.failed) {
        loop.Stop();
      }
    });
    const auto end = loop.ScheduleAfter(aLimit, [&] { loop.Stop(); });
    loop.Run();
  }
};

TEST(EndlessResponse, EndlessHeadersAreRejected)
{
  EndlessUpstream upstream(loop, "HTTP/1.1 200 OK\r\nId: r\r\nName: ");
  RunUntilFailed(upstream, 3s);
  CHECK(listener.failed);
  CHECK(listener.mayHaveRun);
  CHECK_FALSE(listener.headReceived);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}

TEST(EndlessResponse, EndlessBytesThatAreNotHttpAreRejected)
{
  EndlessUpstream upstream(loop, "x");
  RunUntilFailed(upstream, 3s);
  CHECK(listener.failed);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}

TEST(EndlessResponse, EndlessBodyIsRejected)
{
  EndlessUpstream upstream(loop, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n");
  RunUntilFailed(upstream, 5s);
  CHECK(listener.failed);
  CHECK_FALSE(listener.ended);
  CHECK(listener.bodyBytes < kMaxSocketBufferBytes * 2);
}

/// Only complete chunks are passed on, so the buffered part of a chunk must be bounded.
TEST(EndlessResponse, IncompleteChunkIsBounded)
{
  EndlessUpstream upstream(
    loop, "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nf00000\r\n");
  RunUntilFailed(upstream, 1s);
  CHECK_EQUAL(0, listener.bodyBytes);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}

/// The size of a chunk and the trailers are lines, too.
TEST(EndlessResponse, EndlessChunkSizeIsBounded)
{
  EndlessUpstream upstream(loop, "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n",
                           std::string(16 * 1024, '0'));
  RunUntilFailed(upstream, 1s);
  CHECK_EQUAL(0, listener.bodyBytes);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}

TEST(EndlessResponse, EndlessTrailersAreRejected)
{
  std::string trailers;
  for (int n = 0; n < 1'000; ++n) {
    trailers += "Name: value\r\n";
  }
  EndlessUpstream upstream(
    loop, "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", trailers);
  RunUntilFailed(upstream, 3s);
  CHECK(listener.failed);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}

/// Guards against a host that keeps the headers of informational responses without end.
TEST(EndlessResponse, EndlessInformationalResponsesAreRejected)
{
  std::string responses;
  for (int n = 0; n < 20; ++n) {
    responses += "HTTP/1.1 100 Continue\r\nName: " + std::string(1'000, 'x') + "\r\n\r\n";
  }
  EndlessUpstream upstream(loop, responses, responses);
  RunUntilFailed(upstream, 3s);
  CHECK(listener.failed);
  CHECK(upstream.SentBytes() < kMaxSocketBufferBytes);
}
