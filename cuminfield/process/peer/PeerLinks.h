#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/metrics/GaugeText.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>

namespace cuminfield::process::peer {

/// Component that a peer message is for. The numbers are sent on the wire: never reuse one.
enum class Channel : std::uint32_t
{
  Log = 1,        ///< Messages of replicated logs between voters and learners.
  Group = 2,      ///< Commands and queries to a group, and their replies.
  Membership = 3, ///< Announcements, renewals and leaves of upstreams.
  Capacity = 4,   ///< Demand reports and grants.
  Moves = 5,      ///< Observations of versions, and verdicts.
  Documents = 6,  ///< Accepted documents and the steps of their version moves.
  Cluster = 7,    ///< Reports and feeds between hosts that discover each other through seeds.
};

/// True for messages that agreement and operators' requests depend on. They are sent and handled
/// before figures, whose volume grows with the number of hosts.
constexpr bool IsUrgent(Channel aChannel)
{
  return aChannel == Channel::Log || aChannel == Channel::Group;
}

/// One message between two hosts, delivered at best effort: it may be lost, duplicated, delayed or
/// reordered, so each component resends what matters and discards outdated messages.
struct PeerMessage
{
  Channel channel = Channel::Log;
  std::string payload;   ///< A serialised protobuf message; the channel determines its type.
  bool compress = false; ///< For large messages to other data centres, whose links cost money.
};

/// Sends and receives messages between hosts. Used only on the loop's thread.
class PeerLinks
{
public:
  virtual ~PeerLinks() = default;

  /// Sends to aTo. The message is dropped silently while there is no link.
  virtual void Send(const core::HostId& aTo, PeerMessage aMessage) = 0;

  /// Adds what is known of the links.
  virtual void AddMetrics(metrics::GaugeText& /*aGauges*/) const {}

  /// Emitted on the loop for each received message, with its sender.
  using MessageSignal = sigc::signal<void(const core::HostId&, const PeerMessage&)>;
  MessageSignal& OnMessage() { return mOnMessage; }

protected:
  MessageSignal mOnMessage;
};

} // namespace cuminfield::process::peer
