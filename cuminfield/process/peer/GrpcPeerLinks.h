#pragma once

#include "cuminfield/core/Backoff.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/StallDetector.h"
#include "cuminfield/process/peer/DeliveryMonitor.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/peer/StreamStatistics.h"
#include "cuminfield/process/peer/UnfinishedStreams.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace grpc {
class Server;
}

namespace cuminfield::process::peer {

namespace proto {
class Batch;
}

/// Limits and timeouts of the links between hosts.
struct GrpcPeerLinksSettings
{
  /// Queued frames for one peer above which new ones are dropped; messages are best effort.
  std::size_t maxQueuedFrames = 4096;
  /// Time that an attempt to connect may take. An overloaded host needs long, and an attempt that
  /// is given up costs it as much as one that succeeds.
  core::Duration connectTimeout = std::chrono::seconds(3);
  /// A stream that does not open is replaced, if the peer is silent, after `silenceTimeout`; the
  /// next ones after up to this many times as long.
  double maxOpeningRatio = 2;
  /// Delay before a broken stream to a peer is reopened.
  core::Duration reconnectDelay = std::chrono::milliseconds(200);
  /// Largest batch that is accepted, in bytes.
  int maxBatchBytes = 64 * 1024 * 1024;
  /// Port of dynamic peers: hosts that the settings don't list, whose id is their IP address and
  /// which listen on the same port as this host. 0: only the configured peers are allowed.
  std::uint16_t dynamicPeerPort = 0;
  /// DeliveryMonitorSettings::timeout: the stream to a peer is replaced if for this long the peer
  /// sends nothing, or does not acknowledge what it was sent, because a connection may stop
  /// delivering without an error. Zero: never.
  core::Duration silenceTimeout{ 0 };
  /// A dynamic peer without traffic in either direction for this long is removed.
  core::Duration dynamicPeerIdleTimeout = std::chrono::seconds(10);
};

/// Links to peers over gRPC, with one stream for each direction between two hosts. gRPC's threads
/// only post to the loop; all state here is used on the loop's thread.
class GrpcPeerLinks : public PeerLinks
{
public:
  struct Options
  {
    GrpcPeerLinksSettings settings{};
    core::HostId self;
    settings::Endpoint listen;
    std::vector<settings::PeerSettings> peers;
    core::EventLoop& loop;
  };

  explicit GrpcPeerLinks(Options aOptions);
  ~GrpcPeerLinks() override;
  GrpcPeerLinks(const GrpcPeerLinks&) = delete;
  GrpcPeerLinks& operator=(const GrpcPeerLinks&) = delete;

  /// Binds the listening port and connects to the peers. Io when the port is in use.
  core::Result<void> Start();

  /// Closes every stream and the listening port; no message is emitted afterwards. Waits until no
  /// thread of gRPC uses the loop any more.
  void Stop();

  /// Number of outgoing streams that gRPC has not reported done; none after Stop().
  std::size_t UnfinishedStreamCount() const { return mUnfinishedStreams->Count(); }

  void Send(const core::HostId& aTo, PeerMessage aMessage) override;

  /// Bytes of all batches sent and received, to measure control traffic.
  core::Bytes BytesSent() const { return mBytesSent; }
  core::Bytes BytesReceived() const { return mBytesReceived; }

  /// Adds the numbers of streams to peers: open, opening, and given up before they were open.
  void AddMetrics(metrics::GaugeText& aGauges) const override;

private:
  class OutgoingStream;
  class IncomingStream;
  class Service;

  struct Peer
  {
    settings::PeerSettings settings;
    std::vector<PeerMessage> queue;
    std::shared_ptr<OutgoingStream> stream;
    core::TimerHandle reconnectTimer;
    DeliveryMonitor delivery;
    core::Backoff opening{ {} };              ///< Time for the next stream to open.
    std::optional<core::Instant> urgentSince; ///< Oldest queued urgent message.
    bool isDynamic = false;                   ///< Not listed in the settings.
  };

  /// Streams to peers by state.
  struct StreamCounts
  {
    std::size_t open = 0;
    std::size_t opening = 0;
    core::Duration longestOpening{ 0 }; ///< Of the opening ones, so far.
  };

  Peer& AddPeer(const settings::PeerSettings& aSettings);
  Peer* FindOrAddPeer(const core::HostId& aHost);
  void CheckPeers();
  StreamCounts CountStreams() const;
  void LogStreams();
  void OpenStream(Peer& aPeer);
  void ReplaceStream(Peer& aPeer, StreamFault aFault);
  void DropStream(Peer& aPeer);
  void FlushQueue(Peer& aPeer);
  void SendBatch(Peer& aPeer, proto::Batch aBatch, bool aCompress);
  void OnBatchWritten(const core::HostId& aPeer, const OutgoingStream* aStream, bool aOk);
  void OnStreamClosed(const core::HostId& aPeer, const OutgoingStream* aStream);
  void OnBatchArrived(const core::HostId& aFrom, const ReceivedBatch& aBatch);
  void OnBatch(const std::string& aBytes);

  Options mOptions;
  std::map<core::HostId, Peer> mPeers;
  core::StallDetector mStalls;
  StreamStatistics mStatistics;
  core::Random mRandom;
  std::unique_ptr<Service> mService;
  std::unique_ptr<grpc::Server> mServer;
  std::shared_ptr<UnfinishedStreams> mUnfinishedStreams;
  std::shared_ptr<bool> mAlive; ///< False once stopped, so that late completions are ignored.
  core::TimerHandle mCheckTimer;
  std::uint32_t mLastStream; ///< Number of the stream that was opened last.
  core::Bytes mBytesSent;
  core::Bytes mBytesReceived;
};

} // namespace cuminfield::process::peer
