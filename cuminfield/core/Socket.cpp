#include "cuminfield/core/Socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace cuminfield::core {

namespace {

/// True if the network stack has no such query. It can then not tell, and a whole response must not
/// be dropped for that.
bool IsQueryUnsupported(int aError)
{
  return aError == ENOTTY || aError == EOPNOTSUPP || aError == ENOPROTOOPT || aError == ENOSYS ||
         aError == EINVAL;
}

} // namespace

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
  if (ioctl(aSocket, SIOCOUTQ, &unacknowledged) != 0) {
    return IsQueryUnsupported(errno);
  }
  if (unacknowledged > 0) {
    return false;
  }
  // A reset behind the end of the stream is not reported by reading: it returns the end.
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return IsQueryUnsupported(errno);
  }
  return info.tcpi_state != TCP_CLOSE;
}

void ResetConnection(int aSocket)
{
  // SO_LINGER would not do: libevent shuts the socket down, which sends a FIN, before it closes it.
  sockaddr address{};
  address.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(aSocket, &address, sizeof address));
}

} // namespace cuminfield::core
