#include "cuminfield/process/peer/GrpcPeerLinks.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/peer/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <random>
#include <utility>

namespace cuminfield::process::peer {

namespace {
/// Interval at which streams are checked.
constexpr core::Duration kCheckPeriod = std::chrono::milliseconds(250);

/// An attempt to connect that began within this time before the peer was heard may succeed soon:
/// each end opens a connection, and the ends are not equally fast.
constexpr core::Duration kFreshAttemptDuration = std::chrono::milliseconds(500);

/// Time in which gRPC reports cancelled streams done; usually a few milliseconds.
constexpr core::Duration kStopLimit = std::chrono::milliseconds(500);

/// Numbers of streams are below this, so that each takes at most three bytes in a batch. They begin
/// at random, so that a restarted host does not take the acknowledgements of its former streams for
/// those of new ones.
constexpr std::uint32_t kStreamNumbers = 1U << 21U;

std::string_view ToText(StreamFault aFault)
{
  return aFault == StreamFault::Silent ? "silent" : "undelivered";
}
} // namespace

/// Sending end of a stream. Lives until gRPC reports it done. The loop and gRPC's threads share it;
/// the only methods that both call are gRPC's.
class GrpcPeerLinks::OutgoingStream
  : public grpc::ClientWriteReactor<proto::Batch>
  , public std::enable_shared_from_this<OutgoingStream>
{
public:
  OutgoingStream(GrpcPeerLinks& aLinks, core::HostId aPeer, const settings::Endpoint& aEndpoint,
                 std::uint32_t aNumber)
    : mLinks(aLinks)
    , mLoop(aLinks.mOptions.loop)
    , mAlive(aLinks.mAlive)
    , mUnfinished(aLinks.mUnfinishedStreams)
    , mPeer(std::move(aPeer))
    , mNumber(aNumber)
  {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    // The least backoff is also the time limit of an attempt.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                     static_cast<int>(core::Milliseconds(aLinks.mOptions.settings.connectTimeout)));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 5000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    mChannel = grpc::CreateCustomChannel(aEndpoint.ToString(), grpc::InsecureChannelCredentials(),
                                         arguments);
    mStub = proto::Peer::NewStub(mChannel);
  }

  /// Starts the stream, which owns itself until OnDone.
  void Start()
  {
    mSelf = shared_from_this();
    mUnfinished->Add();
    mContext.set_wait_for_ready(true);
    mContext.set_compression_algorithm(GRPC_COMPRESS_GZIP);
    mStub->async()->Deliver(&mContext, &mResponse, this);
    AddHold();
    StartCall();
  }

  /// Sends one batch. The next one may be sent only after OnBatchWritten.
  void Write(proto::Batch aBatch, bool aCompress)
  {
    mWriteInProgress = true;
    mBatch = std::move(aBatch);
    if (mNumber != 0) {
      mBatch.set_stream(std::exchange(mNumber, 0));
    }
    grpc::WriteOptions options;
    if (!aCompress) {
      options.set_no_compression();
    }
    StartWrite(&mBatch, options);
  }

  /// Cancels the stream.
  void Close()
  {
    if (std::exchange(mHoldsCall, false)) {
      mContext.TryCancel();
      RemoveHold();
    }
  }

  bool IsBusy() const { return mWriteInProgress; }
  void SetIdle() { mWriteInProgress = false; }

  void OnWriteDone(bool aOk) override
  {
    mLoop.Post([this, alive = mAlive, self = mSelf, aOk] {
      if (*alive) {
        mLinks.OnBatchWritten(mPeer, this, aOk);
      }
    });
  }

  void OnDone(const grpc::Status&) override
  {
    // The loop may destroy this stream as soon as it has the task.
    const std::shared_ptr<UnfinishedStreams> unfinished = mUnfinished;
    mLoop.Post([this, alive = mAlive, self = std::move(mSelf)] {
      if (*alive) {
        mLinks.OnStreamClosed(mPeer, this);
      }
    });
    unfinished->Remove();
  }

private:
  GrpcPeerLinks& mLinks;
  core::EventLoop& mLoop;
  std::shared_ptr<bool> mAlive;
  std::shared_ptr<UnfinishedStreams> mUnfinished;
  core::HostId mPeer;
  std::shared_ptr<grpc::Channel> mChannel;
  std::unique_ptr<proto::Peer::Stub> mStub;
  grpc::ClientContext mContext;
  proto::Bye mResponse;
  proto::Batch mBatch;
  std::shared_ptr<OutgoingStream> mSelf;
  std::uint32_t mNumber;         ///< 0 once it was sent.
  bool mWriteInProgress = false; ///< A write is in progress.
  bool mHoldsCall = true;        ///< A hold of gRPC keeps the call open between writes.
};

/// Receiving end of a stream; posts each batch to the loop.
class GrpcPeerLinks::IncomingStream : public grpc::ServerReadReactor<proto::Batch>
{
public:
  IncomingStream(GrpcPeerLinks& aLinks, core::EventLoop& aLoop, std::shared_ptr<bool> aAlive)
    : mLinks(aLinks)
    , mLoop(aLoop)
    , mAlive(std::move(aAlive))
  {
    StartRead(&mBatch);
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      Finish(grpc::Status::OK);
      return;
    }
    PostArrival();
    // A batch holds either urgent frames only or none, see FlushQueue.
    const bool isUrgent =
      mBatch.frames_size() > 0 && IsUrgent(static_cast<Channel>(mBatch.frames(0).channel()));
    // The batch is passed to the loop's thread as bytes, so no message object is shared by threads.
    mLoop.Post(
      [&links = mLinks, alive = mAlive, bytes = mBatch.SerializeAsString()] {
        if (*alive) {
          links.OnBatch(bytes);
        }
      },
      isUrgent ? core::TaskPriority::High : core::TaskPriority::Normal);
    StartRead(&mBatch);
  }

  void OnDone() override { delete this; }

private:
  /// Reports that a batch arrived, ahead of the batches that wait to be handled: those count as
  /// delivered, however long this host takes for them.
  void PostArrival()
  {
    if (mBatch.stream() != 0) {
      mPosition.stream = mBatch.stream();
    }
    ++mPosition.batches;
    ReceivedBatch batch{ .position = mPosition,
                         .hasFrames = mBatch.frames_size() > 0,
                         .acknowledged = {} };
    if (mBatch.has_received_stream()) {
      batch.acknowledged = { .stream = mBatch.received_stream(),
                             .batches = mBatch.received_batches() };
    }
    mLoop.Post(
      [&links = mLinks, alive = mAlive, from = core::HostId(mBatch.from()), batch] {
        if (*alive) {
          links.OnBatchArrived(from, batch);
        }
      },
      core::TaskPriority::High);
  }

  GrpcPeerLinks& mLinks;
  core::EventLoop& mLoop;
  std::shared_ptr<bool> mAlive;
  proto::Batch mBatch;
  StreamPosition mPosition;
};

class GrpcPeerLinks::Service : public proto::Peer::CallbackService
{
public:
  explicit Service(GrpcPeerLinks& aLinks)
    : mLinks(aLinks)
  {
  }

  grpc::ServerReadReactor<proto::Batch>* Deliver(grpc::CallbackServerContext*, proto::Bye*) override
  {
    return new IncomingStream(mLinks, mLinks.mOptions.loop, mLinks.mAlive);
  }

private:
  GrpcPeerLinks& mLinks;
};

GrpcPeerLinks::GrpcPeerLinks(Options aOptions)
  : mOptions(std::move(aOptions))
  , mStalls(kCheckPeriod * 2)
  , mRandom(std::random_device()())
  , mUnfinishedStreams(std::make_shared<UnfinishedStreams>())
  , mAlive(std::make_shared<bool>(true))
  , mLastStream(static_cast<std::uint32_t>(mRandom.UniformBelow(kStreamNumbers)))
{
  for (const settings::PeerSettings& it : mOptions.peers) {
    AddPeer(it);
  }
}

GrpcPeerLinks::~GrpcPeerLinks()
{
  Stop();
}

core::Result<void> GrpcPeerLinks::Start()
{
  mService = std::make_unique<Service>(*this);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(mOptions.listen.ToString(), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(mService.get());
  builder.SetMaxReceiveMessageSize(mOptions.settings.maxBatchBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  mServer = builder.BuildAndStart();
  if (!mServer || port == 0) {
    return core::Fail(core::ErrorKind::Io, "cannot listen for peers on " +
                                             mOptions.listen.ToString() +
                                             "; free the port or change [listen] peers");
  }
  for (auto& [id, peer] : mPeers) {
    OpenStream(peer);
  }
  if (mOptions.settings.silenceTimeout.count() > 0) {
    mCheckTimer = mOptions.loop.ScheduleEvery(kCheckPeriod, [this] { CheckPeers(); });
  }
  return core::Success();
}

void GrpcPeerLinks::Stop()
{
  if (!std::exchange(*mAlive, false)) {
    return;
  }
  for (auto& [id, peer] : mPeers) {
    if (peer.stream) {
      peer.stream->Close();
      peer.stream.reset();
    }
  }
  if (mServer) {
    mServer->Shutdown(std::chrono::system_clock::now());
    mServer.reset();
  }
  if (!mUnfinishedStreams->WaitUntilNone(kStopLimit)) {
    logging::Event(logging::Level::Warning, "peer-streams-unfinished",
                   { { "streams", mUnfinishedStreams->Count() } });
  }
}

void GrpcPeerLinks::Send(const core::HostId& aTo, PeerMessage aMessage)
{
  Peer* known = *mAlive ? FindOrAddPeer(aTo) : nullptr;
  if (!known) {
    return;
  }
  Peer& peer = *known;
  peer.delivery.OnQueued(mOptions.loop.Now());
  if (peer.queue.size() >= mOptions.settings.maxQueuedFrames) {
    return;
  }
  if (IsUrgent(aMessage.channel) && !peer.urgentSince) {
    peer.urgentSince = mOptions.loop.Now();
  }
  peer.queue.push_back(std::move(aMessage));
  FlushQueue(peer);
}

GrpcPeerLinks::Peer& GrpcPeerLinks::AddPeer(const settings::PeerSettings& aSettings)
{
  Peer& peer = mPeers[aSettings.id];
  peer.settings = aSettings;
  const GrpcPeerLinksSettings& settings = mOptions.settings;
  peer.delivery = DeliveryMonitor({ .timeout = settings.silenceTimeout });
  peer.opening =
    core::Backoff({ .initial = settings.silenceTimeout,
                    .maximum = core::Scaled(settings.silenceTimeout, settings.maxOpeningRatio) });
  return peer;
}

GrpcPeerLinks::Peer* GrpcPeerLinks::FindOrAddPeer(const core::HostId& aHost)
{
  const auto it = mPeers.find(aHost);
  if (it != mPeers.end()) {
    return &it->second;
  }
  if (mOptions.settings.dynamicPeerPort == 0 || aHost == mOptions.self || aHost.IsEmpty()) {
    return nullptr;
  }
  Peer& peer =
    AddPeer({ .id = aHost,
              .endpoint = { .address = aHost.Text(), .port = mOptions.settings.dynamicPeerPort },
              .dataCentre = {} });
  peer.isDynamic = true;
  peer.delivery.OnQueued(mOptions.loop.Now());
  OpenStream(peer);
  return &peer;
}

void GrpcPeerLinks::CheckPeers()
{
  const core::Instant now = mOptions.loop.Now();
  const core::Duration stall = mStalls.Update(now);
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    Peer& peer = it->second;
    peer.delivery.ExcuseStall(stall, now);
    const core::Duration idle = now - peer.delivery.LastUsedAt();
    if (peer.isDynamic && idle > mOptions.settings.dynamicPeerIdleTimeout) {
      if (peer.stream) {
        DropStream(peer);
      }
      it = mPeers.erase(it);
      continue;
    }
    ++it;
    if (!peer.stream) {
      continue;
    }
    if (const auto fault = peer.delivery.Judge(now)) {
      ReplaceStream(peer, *fault);
    } else if (!peer.stream->IsBusy() && peer.delivery.IsAcknowledgementDue(now)) {
      SendBatch(peer, {}, false);
    }
  }
  LogStreams();
}

GrpcPeerLinks::StreamCounts GrpcPeerLinks::CountStreams() const
{
  const core::Instant now = mOptions.loop.Now();
  StreamCounts counts;
  for (const auto& [id, peer] : mPeers) {
    if (!peer.stream) {
      continue;
    }
    if (peer.delivery.IsStreamOpen()) {
      ++counts.open;
    } else if (peer.stream->IsBusy()) {
      ++counts.opening;
      counts.longestOpening = std::max(counts.longestOpening, now - peer.delivery.StreamOpenedAt());
    }
  }
  return counts;
}

void GrpcPeerLinks::LogStreams()
{
  const auto report = mStatistics.TakeReport(mOptions.loop.Now());
  if (!report) {
    return;
  }
  const StreamCounts counts = CountStreams();
  logging::Event(
    logging::Level::Info, "peer-streams",
    { { "open", counts.open },
      { "opening", counts.opening },
      { "opening_ms", static_cast<std::int64_t>(core::Milliseconds(counts.longestOpening)) },
      { "opened", report->opened },
      { "opened_after_ms", static_cast<std::int64_t>(core::Milliseconds(report->longestOpening)) },
      { "given_up", report->givenUp },
      { "urgent_wait_ms",
        static_cast<std::int64_t>(core::Milliseconds(report->longestUrgentWait)) } });
}

void GrpcPeerLinks::AddMetrics(metrics::GaugeText& aGauges) const
{
  const StreamCounts counts = CountStreams();
  aGauges.Add("peer_streams_open", counts.open);
  aGauges.Add("peer_streams_opening", counts.opening);
  aGauges.Add("peer_streams_opened_total", mStatistics.OpenedCount());
  aGauges.Add("peer_streams_given_up_total", mStatistics.GivenUpCount());
}

void GrpcPeerLinks::OpenStream(Peer& aPeer)
{
  mLastStream = mLastStream % (kStreamNumbers - 1) + 1;
  aPeer.delivery.OnStreamOpened(mLastStream, aPeer.opening.Next(mRandom), mOptions.loop.Now());
  aPeer.stream = std::make_shared<OutgoingStream>(*this, aPeer.settings.id, aPeer.settings.endpoint,
                                                  mLastStream);
  aPeer.stream->Start();
  FlushQueue(aPeer);
}

void GrpcPeerLinks::ReplaceStream(Peer& aPeer, StreamFault aFault)
{
  // A peer that is gone is reported once, not with each try to reach it.
  if (aPeer.delivery.WasHeardOnStream()) {
    logging::Event(logging::Level::Info, "peer-stream-replaced",
                   { { "peer", aPeer.settings.id.Text() }, { "reason", ToText(aFault) } });
  }
  // Queued messages are outdated.
  DropStream(aPeer);
  OpenStream(aPeer);
}

void GrpcPeerLinks::DropStream(Peer& aPeer)
{
  if (!aPeer.delivery.IsStreamOpen() && aPeer.stream->IsBusy()) {
    mStatistics.OnGivenUp();
  }
  aPeer.stream->Close();
  aPeer.stream.reset();
  aPeer.queue.clear();
  aPeer.urgentSince.reset();
}

void GrpcPeerLinks::FlushQueue(Peer& aPeer)
{
  if (!aPeer.stream || aPeer.stream->IsBusy() || aPeer.queue.empty()) {
    return;
  }
  // Urgent frames go first, in a batch of their own.
  const auto rest =
    std::stable_partition(aPeer.queue.begin(), aPeer.queue.end(),
                          [](const PeerMessage& aMessage) { return IsUrgent(aMessage.channel); });
  const auto end = rest == aPeer.queue.begin() ? aPeer.queue.end() : rest;
  proto::Batch batch;
  bool compress = false;
  for (auto it = aPeer.queue.begin(); it != end; ++it) {
    proto::Frame* frame = batch.add_frames();
    frame->set_channel(static_cast<std::uint32_t>(it->channel));
    frame->set_payload(std::move(it->payload));
    compress = compress || it->compress;
  }
  aPeer.queue.erase(aPeer.queue.begin(), end);
  if (aPeer.urgentSince) {
    mStatistics.OnUrgentSent(mOptions.loop.Now() - *std::exchange(aPeer.urgentSince, {}));
  }
  SendBatch(aPeer, std::move(batch), compress);
}

void GrpcPeerLinks::SendBatch(Peer& aPeer, proto::Batch aBatch, bool aCompress)
{
  aBatch.set_from(mOptions.self.Text());
  if (mOptions.settings.silenceTimeout.count() > 0) {
    const StreamPosition received = aPeer.delivery.Received();
    aBatch.set_received_stream(received.stream);
    aBatch.set_received_batches(received.batches);
  }
  aPeer.delivery.OnSent(mOptions.loop.Now());
  mBytesSent.value += static_cast<std::int64_t>(aBatch.ByteSizeLong());
  aPeer.stream->Write(std::move(aBatch), aCompress);
}

void GrpcPeerLinks::OnBatchWritten(const core::HostId& aPeer, const OutgoingStream* aStream,
                                   bool aOk)
{
  const auto it = mPeers.find(aPeer);
  if (it == mPeers.end() || it->second.stream.get() != aStream) {
    return;
  }
  Peer& peer = it->second;
  if (!aOk) {
    peer.stream->Close();
    return;
  }
  if (!peer.delivery.IsStreamOpen()) {
    mStatistics.OnOpened(mOptions.loop.Now() - peer.delivery.StreamOpenedAt());
    peer.opening.Reset();
  }
  peer.delivery.OnWritten(mOptions.loop.Now());
  peer.stream->SetIdle();
  FlushQueue(peer);
}

void GrpcPeerLinks::OnStreamClosed(const core::HostId& aPeer, const OutgoingStream* aStream)
{
  const auto it = mPeers.find(aPeer);
  if (it == mPeers.end() || it->second.stream.get() != aStream) {
    return;
  }
  Peer& peer = it->second;
  // Queued messages would be outdated by the time the next stream is open.
  DropStream(peer);
  peer.reconnectTimer = mOptions.loop.ScheduleAfter(mOptions.settings.reconnectDelay,
                                                    [this, &peer] { OpenStream(peer); });
}

void GrpcPeerLinks::OnBatchArrived(const core::HostId& aFrom, const ReceivedBatch& aBatch)
{
  Peer* peer = FindOrAddPeer(aFrom);
  if (!peer) {
    return;
  }
  const core::Instant now = mOptions.loop.Now();
  const DeliveryMonitor& delivery = peer->delivery;
  // An attempt that began while the peer could not be reached may wait seconds for the repetition
  // of its lost packets. It is replaced once: while the peer is heard, it has the time that it
  // needs.
  if (peer->stream && !delivery.IsStreamOpen() && !delivery.WasHeardOnStream() &&
      now - delivery.StreamOpenedAt() > kFreshAttemptDuration) {
    DropStream(*peer);
    OpenStream(*peer);
  }
  peer->delivery.OnReceived(aBatch, now);
}

void GrpcPeerLinks::OnBatch(const std::string& aBytes)
{
  proto::Batch batch;
  if (!batch.ParseFromString(aBytes)) {
    return;
  }
  mBytesReceived.value += static_cast<std::int64_t>(aBytes.size());
  const core::HostId from(batch.from());
  if (!FindOrAddPeer(from)) {
    return;
  }
  for (proto::Frame& it : *batch.mutable_frames()) {
    mOnMessage.emit(from, PeerMessage{ .channel = static_cast<Channel>(it.channel()),
                                       .payload = std::move(*it.mutable_payload()) });
  }
}

} // namespace cuminfield::process::peer
