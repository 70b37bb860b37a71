#pragma once

#include "cuminfield/core/EventLoop.h"

#include <cstdint>
#include <string>

struct bufferevent;

namespace cuminfield::unit_tests::platform {

/// A caller that sends the bytes of one request to the loopback address and keeps all bytes of the
/// response. Stops the loop when the connection has ended, or the response with what is waited for.
class RawCaller
{
public:
  struct Options
  {
    core::EventLoop& loop;
    std::uint16_t port = 0;
    std::string request;
    std::string
      lastBytes{}; ///< End of the response that is waited for; empty: only of the connection.
  };

  explicit RawCaller(Options aOptions);
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  ~RawCaller();

  std::string received;
  bool closed = false; ///< The connection has ended.
  bool reset = false;  ///< It was reset.

private:
  static void OnRead(bufferevent* aChannel, void* aSelf);
  static void OnEvent(bufferevent* aChannel, short aWhat, void* aSelf);

  Options mOptions;
  bufferevent* mChannel = nullptr;
};

} // namespace cuminfield::unit_tests::platform
