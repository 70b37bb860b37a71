#pragma once

#include "cuminfield/core/Ids.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>

namespace cuminfield::process::peer {

/// Which part of the host a peer message is for. Numbers are on the wire: never reuse one.
enum class Channel : std::uint32_t
{
  Log = 1,        ///< Messages of replicated logs between voters and learners.
  Group = 2,      ///< Commands and queries to a group, and their answers.
  Membership = 3, ///< Upstreams announced, renewed, leaving.
  Capacity = 4,   ///< Demand and grants.
  Moves = 5,      ///< Observations of versions and verdicts on them.
  Documents = 6,  ///< Accepted documents and the steps of their moves.
  Cluster = 7,    ///< Reports and feeds between hosts that find each other by seeds.
};

/// One message between two hosts: best effort. May be lost, repeated, delayed or overtaken, so
/// every user of it repeats what matters and drops what is old.
struct PeerMessage
{
  Channel channel = Channel::Log;
  std::string payload; ///< A serialised protobuf message of the channel's own kind.
};

/// Links to the other hosts of the settings. Owned by the loop's thread.
class PeerLinks
{
public:
  virtual ~PeerLinks() = default;

  /// Sends to aTo; dropped without notice while there is no link.
  virtual void Send(const core::HostId& aTo, PeerMessage aMessage) = 0;

  /// Emitted on the loop for each message that arrives: sender and message.
  using MessageSignal = sigc::signal<void(const core::HostId&, const PeerMessage&)>;
  MessageSignal& OnMessage() { return mOnMessage; }

protected:
  MessageSignal mOnMessage;
};

} // namespace cuminfield::process::peer
