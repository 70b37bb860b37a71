#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace grpc {
class Server;
}

namespace cuminfield::process::peer {

/// Tunables of the links between hosts.
struct GrpcPeerLinksSettings
{
  /// Frames waiting for one peer above which new ones are dropped: messages are best effort.
  std::size_t maxQueuedFrames = 4096;
  /// Wait before a broken stream to a peer is opened again.
  core::Duration reconnect = std::chrono::milliseconds(200);
  /// Largest batch received, in bytes.
  int maxBatchBytes = 64 * 1024 * 1024;
  /// Hosts that are not in the settings may be sent to and heard: their id is their IP number, and
  /// they listen on the same port as this host. 0: only the peers of the settings.
  std::uint16_t openPort = 0;
  /// A peer that was heard before and is silent for this long gets a new stream: connections may go
  /// silent for good. Zero: never.
  core::Duration silence{ 0 };
  /// An open peer that was neither sent to nor heard for this long is forgotten.
  core::Duration forget = std::chrono::seconds(10);
};

/// Links to peers over gRPC: one stream for each direction between two hosts. gRPC's threads hand
/// completions to the loop and touch nothing else; all state here belongs to the loop.
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

  /// Binds the listening port. Io when it is taken.
  core::Result<void> Start();

  /// Closes every stream and the listening port; no message is emitted any more.
  void Stop();

  void Send(const core::HostId& aTo, PeerMessage aMessage) override;

  /// Bytes of payload sent and received so far, for the account of control traffic.
  core::Bytes BytesSent() const { return mBytesSent; }
  core::Bytes BytesReceived() const { return mBytesReceived; }

private:
  class OutStream;
  class InStream;
  class Service;

  struct Peer
  {
    settings::PeerSettings settings;
    std::vector<PeerMessage> queue;
    std::shared_ptr<OutStream> stream;
    core::TimerHandle reconnect;
    core::Instant heard{};  ///< When its last batch came.
    core::Instant sent{};   ///< When something was last queued for it.
    core::Instant opened{}; ///< When its stream was opened.
    bool temporary = false; ///< Not of the settings.
  };

  Peer* FindOrAdd(const core::HostId& aHost);
  void WatchSilence();
  void Open(Peer& aPeer);
  void Flush(Peer& aPeer);
  void OnWritten(const core::HostId& aPeer, const OutStream* aStream, bool aOk);
  void OnClosed(const core::HostId& aPeer, const OutStream* aStream);
  void OnBatch(const std::string& aBytes);

  Options mOptions;
  std::map<core::HostId, Peer> mPeers;
  std::unique_ptr<Service> mService;
  std::unique_ptr<grpc::Server> mServer;
  std::shared_ptr<bool> mAlive; ///< False once stopped: late completions do nothing.
  core::TimerHandle mWatch;
  core::Bytes mBytesSent;
  core::Bytes mBytesReceived;
};

} // namespace cuminfield::process::peer
