#pragma once

namespace cuminfield::core {

/// Sends every write of a TCP socket at once. Otherwise the second small write waits for the
/// acknowledgement of the first, which the other side may delay (RFC 896, RFC 1122 4.2.3.2): a
/// token would wait behind its answer's head.
void SendAtOnce(int aSocket);

/// Acknowledges what was received at once, so that a sender that does not send every write at once
/// goes on. Holds for a while only: call it with each read (tcp(7), TCP_QUICKACK).
void AcknowledgeAtOnce(int aSocket);

} // namespace cuminfield::core
