#include "TestFramework/caller/HostileCaller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace cuminfield::test_framework::caller {

namespace {

constexpr core::Duration kPause = std::chrono::milliseconds(100);
constexpr std::size_t kGarbageBytes = 4'096;
constexpr std::size_t kHeaderLines = 10'000;
const std::string kRequest = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: w\r\n"
                             "X-Tier: quick\r\nContent-Length: 30\r\n\r\n"
                             R"({"prompt":"p","max_tokens":4 })";

sockaddr_in SocketAddress(const process::settings::Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

} // namespace

HostileCaller::HostileCaller(event_base* aBase, core::TimerService& aTimers,
                             process::settings::Endpoint aHost, Hostility aBehavior,
                             std::uint64_t aSeed)
  : mBase(aBase)
  , mTimers(aTimers)
  , mHost(std::move(aHost))
  , mHostility(aBehavior)
  , mRandom(aSeed)
{
  Connect();
}

HostileCaller::~HostileCaller()
{
  if (mConnection != nullptr) {
    bufferevent_free(mConnection);
  }
}

void HostileCaller::Connect()
{
  mSent = 0;
  mConnection = bufferevent_socket_new(mBase, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mConnection, &HostileCaller::Received, nullptr, &HostileCaller::Changed, this);
  bufferevent_enable(mConnection, EV_READ | EV_WRITE);
  const sockaddr_in address = SocketAddress(mHost);
  if (bufferevent_socket_connect(mConnection, reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    Close();
  }
}

void HostileCaller::Send()
{
  if (mHostility == Hostility::Garbage) {
    SendGarbage();
    return;
  }
  if (mHostility == Hostility::HalfClosed) {
    bufferevent_write(mConnection, kRequest.data(), kRequest.size());
    mTimer = mTimers.ScheduleAfter(kPause, [this] { HalfClose(); });
    return;
  }
  const char next = mSent + 1 < kRequest.size() ? kRequest[mSent] : ' ';
  bufferevent_write(mConnection, &next, mSent + 1 < kRequest.size() ? 1 : 0);
  ++mSent;
  mTimer = mTimers.ScheduleAfter(kPause, [this] { Send(); });
}

void HostileCaller::SendGarbage()
{
  std::string text;
  switch (mRandom.UniformBelow(3)) {
    case 0:
      while (text.size() < kGarbageBytes) {
        text += static_cast<char>(mRandom.UniformBelow(256));
      }
      break;
    case 1:
      text = "POST /v1/completions HTTP/9.9\r\nContent-Length: -5\r\nX-Workspace\r\n\r\n{{{";
      break;
    default:
      text = "GET / HTTP/1.1\r\n";
      for (std::size_t i = 0; i < kHeaderLines; ++i) {
        text += "X-Filler: aaaaaaaaaaaaaaaa\r\n";
      }
  }
  bufferevent_write(mConnection, text.data(), text.size());
  mTimer = mTimers.ScheduleAfter(kPause * 10, [this] { Close(); });
}

void HostileCaller::HalfClose()
{
  shutdown(bufferevent_getfd(mConnection), SHUT_WR);
  mTimer = mTimers.ScheduleAfter(kPause * 10, [this] { Close(); });
}

void HostileCaller::Close()
{
  if (mConnection != nullptr) {
    bufferevent_free(mConnection);
    mConnection = nullptr;
  }
  mTimer = mTimers.ScheduleAfter(kPause, [this] { Connect(); });
}

void HostileCaller::Changed(bufferevent* /*aConnection*/, short aEvents, void* aSelf)
{
  auto* self = static_cast<HostileCaller*>(aSelf);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    self->Send();
  } else {
    self->Close();
  }
}

void HostileCaller::Received(bufferevent* aConnection, void* /*aSelf*/)
{
  evbuffer* input = bufferevent_get_input(aConnection);
  evbuffer_drain(input, evbuffer_get_length(input));
}

} // namespace cuminfield::test_framework::caller
