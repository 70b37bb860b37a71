#pragma once

#include "TestFramework/http/Exchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace cuminfield::test_framework::http {

/// HTTP server on an event loop. Passes each complete request to a handler.
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Starts to listen; port 0 selects a free port. Exits the program if the address is in use.
  Server(event_base* aBase, const std::string& aAddress, std::uint16_t aPort, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// The port that the server listens on.
  std::uint16_t Port() const { return mPort; }

private:
  static void OnRequest(evhttp_request* aRequest, void* aSelf);

  evhttp* mHttp;
  std::uint16_t mPort = 0;
  Handler mHandler;
};

} // namespace cuminfield::test_framework::http
