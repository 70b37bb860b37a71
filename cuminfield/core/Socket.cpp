#include "cuminfield/core/Socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

bool HasPeerReceivedAll(int aSocket)
{
  int unacknowledged = 0;
  if (ioctl(aSocket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged > 0) {
    return false;
  }
  // A reset behind the end of the stream is not reported by reading: it returns the end.
  tcp_info info{};
  socklen_t size = sizeof info;
  return getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state != TCP_CLOSE;
}

void ResetConnection(int aSocket)
{
  // SO_LINGER would not do: libevent shuts the socket down, which sends a FIN, before it closes it.
  sockaddr address{};
  address.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(aSocket, &address, sizeof address));
}

} // namespace cuminfield::core
