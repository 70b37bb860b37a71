#pragma once

namespace cuminfield::core {

/// Disables Nagle's algorithm (TCP_NODELAY). Otherwise a second small write waits for the
/// acknowledgement of the first, which the receiver may delay (RFC 896, RFC 1122 4.2.3.2), and the
/// first token would wait for the acknowledgement of the response headers.
void SetTcpNoDelay(int aSocket);

/// Disables delayed acknowledgements (TCP_QUICKACK), so that a sender that uses Nagle's algorithm
/// does not wait. The option is not permanent: call this with each read (tcp(7)).
void SetTcpQuickAck(int aSocket);

/// True if the peer of a TCP connection has acknowledged all bytes that were sent, and has not
/// reset the connection. A peer whose program has read all bytes has acknowledged them, at the
/// latest with what it sends afterwards. True if the network stack cannot tell.
bool HasPeerReceivedAll(int aSocket);

/// Resets a TCP connection, so that the peer does not take its end for the end of a message. Bytes
/// that the peer has not read may be lost. The socket remains to be closed.
void ResetConnection(int aSocket);

} // namespace cuminfield::core
