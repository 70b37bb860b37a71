#include "cuminfield/core/Socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminfield::core {

void SetTcpNoDelay(int aSocket)
{
  constexpr int kEnabled = 1;
  // Errors are ignored: they only mean that the socket is already closed.
  static_cast<void>(setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &kEnabled, sizeof kEnabled));
}

void SetTcpQuickAck(int aSocket)
{
  constexpr int kEnabled = 1;
  static_cast<void>(setsockopt(aSocket, IPPROTO_TCP, TCP_QUICKACK, &kEnabled, sizeof kEnabled));
}

void ResetConnection(int aSocket)
{
  // SO_LINGER would not do: libevent shuts the socket down, which sends a FIN, before it closes it.
  sockaddr address{};
  address.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(aSocket, &address, sizeof address));
}

} // namespace cuminfield::core
