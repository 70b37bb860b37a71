#include "TestFramework/http/Server.h"

#include <event2/event.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

namespace cuminfield::test_framework::http {

namespace {

std::uint16_t BoundPort(evhttp_bound_socket* aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(aSocket), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace

Server::Server(event_base* aBase, const std::string& aAddress, std::uint16_t aPort,
               Handler aHandler)
  : mHttp(evhttp_new(aBase))
  , mHandler(std::move(aHandler))
{
  evhttp_set_allowed_methods(mHttp,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(mHttp, &Server::OnRequest, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(mHttp, aAddress.c_str(), aPort);
  if (socket == nullptr) {
    spdlog::error("cannot listen on {}:{}; choose a free port", aAddress, aPort);
    std::exit(1);
  }
  mPort = BoundPort(socket);
}

Server::~Server()
{
  evhttp_free(mHttp);
}

void Server::OnRequest(evhttp_request* aRequest, void* aSelf)
{
  static_cast<Server*>(aSelf)->mHandler(std::make_shared<Exchange>(aRequest));
}

} // namespace cuminfield::test_framework::http
