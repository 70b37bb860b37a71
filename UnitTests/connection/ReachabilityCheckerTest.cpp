#include "cuminfield/connection/upstream/ReachabilityChecker.h"

#include <CppUTest/TestHarness.h>

#include <event2/listener.h>

#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

using namespace cuminfield;
using namespace cuminfield::connection;
using namespace std::chrono_literals;

TEST_GROUP(ReachabilityChecker)
{
  core::EventLoop loop;
  upstream::ReachabilityChecker checker{ { .settings = { .timeout = 50ms }, .loop = loop } };
  evconnlistener* listener = nullptr;
  std::uint16_t port = 0;

  void setup() override
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener = evconnlistener_new_bind(
      loop.EventBase(),
      [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void*) {
        evutil_closesocket(aSocket);
      },
      nullptr, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr*>(&address),
      sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
  }
  void teardown() override
  {
    StopListening();
  }

  void StopListening()
  {
    if (listener) {
      evconnlistener_free(listener);
      listener = nullptr;
    }
  }

  bool Check(const std::string& aAddress)
  {
    std::optional<bool> result;
    checker.Start(aAddress, port, [&](bool aIsReachable) {
      result = aIsReachable;
      loop.Stop();
    });
    CHECK_FALSE(result.has_value());
    const auto limit = loop.ScheduleAfter(3s, [&] { loop.Stop(); });
    loop.Run();
    CHECK(result.has_value());
    return result.value_or(false);
  }
};

TEST(ReachabilityChecker, ProcessThatListensIsReachable)
{
  CHECK(Check("127.0.0.1"));
}

TEST(ReachabilityChecker, ProcessThatHasEndedIsUnreachable)
{
  StopListening();
  CHECK_FALSE(Check("127.0.0.1"));
}

TEST(ReachabilityChecker, SilentAddressIsUnreachable)
{
  // A full queue of connections drops further ones, as a host without power does.
  evconnlistener_disable(listener);
  ::listen(evconnlistener_get_fd(listener), 0);
  CHECK(Check("127.0.0.1"));
  CHECK_FALSE(Check("127.0.0.1"));
}

TEST(ReachabilityChecker, AddressThatCannotBeCheckedShowsNoCrash)
{
  CHECK(Check("no address"));
}

TEST(ReachabilityChecker, CheckMayOutliveItsOwner)
{
  bool isCalled = false;
  {
    upstream::ReachabilityChecker other({ .settings = {}, .loop = loop });
    other.Start("127.0.0.1", port, [&](bool) { isCalled = true; });
  }
  const auto limit = loop.ScheduleAfter(20ms, [&] { loop.Stop(); });
  loop.Run();
  CHECK_FALSE(isCalled);
}
