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

constexpr core::Duration kActionInterval = std::chrono::milliseconds(100);
constexpr std::size_t kGarbageBytes = 4'096;
constexpr std::size_t kGarbageHeaderLines = 10'000;
const std::string kSampleRequest = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: w\r\n"
                                   "X-Tier: quick\r\nContent-Length: 30\r\n\r\n"
                                   R"({"prompt":"p","max_tokens":4 })";

sockaddr_in MakeSocketAddress(const process::settings::Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

} // namespace

HostileCaller::HostileCaller(event_base* aBase, core::TimerService& aTimers,
                             process::settings::Endpoint aHost, HostileBehavior aBehavior,
                             std::uint64_t aSeed)
  : mBase(aBase)
  , mTimers(aTimers)
  , mHost(std::move(aHost))
  , mBehavior(aBehavior)
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
  mSentBytes = 0;
  mConnection = bufferevent_socket_new(mBase, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mConnection, &HostileCaller::OnDataReceived, nullptr,
                    &HostileCaller::OnConnectionEvent, this);
  bufferevent_enable(mConnection, EV_READ | EV_WRITE);
  const sockaddr_in address = MakeSocketAddress(mHost);
  if (bufferevent_socket_connect(mConnection, reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    Close();
  }
}

void HostileCaller::SendNext()
{
  if (mBehavior == HostileBehavior::Garbage) {
    SendGarbage();
    return;
  }
  if (mBehavior == HostileBehavior::HalfClosed) {
    bufferevent_write(mConnection, kSampleRequest.data(), kSampleRequest.size());
    mTimer = mTimers.ScheduleAfter(kActionInterval, [this] { HalfClose(); });
    return;
  }
  const char next = mSentBytes + 1 < kSampleRequest.size() ? kSampleRequest[mSentBytes] : ' ';
  bufferevent_write(mConnection, &next, mSentBytes + 1 < kSampleRequest.size() ? 1 : 0);
  ++mSentBytes;
  mTimer = mTimers.ScheduleAfter(kActionInterval, [this] { SendNext(); });
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
      for (std::size_t i = 0; i < kGarbageHeaderLines; ++i) {
        text += "X-Filler: aaaaaaaaaaaaaaaa\r\n";
      }
  }
  bufferevent_write(mConnection, text.data(), text.size());
  mTimer = mTimers.ScheduleAfter(kActionInterval * 10, [this] { Close(); });
}

void HostileCaller::HalfClose()
{
  shutdown(bufferevent_getfd(mConnection), SHUT_WR);
  mTimer = mTimers.ScheduleAfter(kActionInterval * 10, [this] { Close(); });
}

void HostileCaller::Close()
{
  if (mConnection != nullptr) {
    bufferevent_free(mConnection);
    mConnection = nullptr;
  }
  mTimer = mTimers.ScheduleAfter(kActionInterval, [this] { Connect(); });
}

void HostileCaller::OnConnectionEvent(bufferevent* /*aConnection*/, short aEvents, void* aSelf)
{
  auto* self = static_cast<HostileCaller*>(aSelf);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    self->SendNext();
  } else {
    self->Close();
  }
}

void HostileCaller::OnDataReceived(bufferevent* aConnection, void* /*aSelf*/)
{
  evbuffer* input = bufferevent_get_input(aConnection);
  evbuffer_drain(input, evbuffer_get_length(input));
}

} // namespace cuminfield::test_framework::caller
