#include "cuminfield/core/Socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cuminfield::core {

void SendAtOnce(int aSocket)
{
  constexpr int kOn = 1;
  // A socket that is gone by now needs it no more.
  static_cast<void>(setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn));
}

void AcknowledgeAtOnce(int aSocket)
{
  constexpr int kOn = 1;
  static_cast<void>(setsockopt(aSocket, IPPROTO_TCP, TCP_QUICKACK, &kOn, sizeof kOn));
}

} // namespace cuminfield::core
