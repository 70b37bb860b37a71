#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <optional>

namespace cuminfield::process::peer {

/// Why a stream to a peer is taken for broken. The names are logged.
enum class StreamFault
{
  Silent,      ///< The peer sends nothing, so there is no evidence that anything reaches it.
  Undelivered, ///< The peer sends, but does not acknowledge what was written to it.
};

/// A number of batches of one stream.
struct StreamPosition
{
  std::uint32_t stream = 0; ///< The sender's number of the stream; 0 if there is none.
  std::uint64_t batches = 0;
};

/// What a batch from the peer says about both directions.
struct ReceivedBatch
{
  StreamPosition position; ///< The peer's stream that it came on, and its number there, from 1 on.
  bool hasFrames = false;  ///< False: it only acknowledges, and is not acknowledged itself.
  /// What the peer has received from this host. Nothing if its version does not acknowledge.
  std::optional<StreamPosition> acknowledged;
};

/// Limits of DeliveryMonitor.
struct DeliveryMonitorSettings
{
  /// A stream is broken when the peer is heard for this long without acknowledging a batch that was
  /// written before, or, while the stream is in use, is not heard for this long after it was sent
  /// something. Longer than a round trip. Zero: no stream is ever taken for broken, and nothing is
  /// acknowledged.
  core::Duration timeout{ 0 };
  /// Part of the timeout that the first batch of a stream has in addition, for the connection to be
  /// established.
  double openingRatio = 1;
  /// Part of the timeout that the time between two batches from the peer counts for at most. In a
  /// longer gap either host may have stood still: the peer may then send before it reads.
  double largestGapRatio = 0.5;
  /// Part of the timeout that lies between the last batch to the peer and one without frames that
  /// only acknowledges.
  double acknowledgementRatio = 0.5;
};

/// Judges whether what is sent to one peer arrives there, from the acknowledgements in the batches
/// that the peer sends on a connection of its own. A write that succeeds is no evidence: a
/// connection may go silent in one direction without an error. Does no I/O.
class DeliveryMonitor
{
public:
  explicit DeliveryMonitor(DeliveryMonitorSettings aSettings = {});

  /// A stream to the peer is being opened; it replaces the former one. No number is used twice in a
  /// row, also after a restart of this host. Until it has taken a batch, a silent peer has
  /// aOpeningTimeout instead of the timeout: an overloaded one takes long to accept a connection,
  /// and a new one would wait as long.
  void OnStreamOpened(std::uint32_t aStream, core::Duration aOpeningTimeout, core::Instant aNow);

  /// A message to the peer was queued or dropped.
  void OnQueued(core::Instant aNow);

  /// A batch with the acknowledgement Received() was passed to the stream.
  void OnSent(core::Instant aNow);

  /// The stream has taken the last batch completely. Only now does its time run, because a large
  /// batch may take long. Called for every batch, in order.
  void OnWritten(core::Instant aNow);

  /// A batch from the peer arrived.
  void OnReceived(const ReceivedBatch& aBatch, core::Instant aNow);

  /// This process did not run for aStall; that counts as nobody's silence.
  void ExcuseStall(core::Duration aStall, core::Instant aNow);

  /// Whether the current stream is broken.
  std::optional<StreamFault> Judge(core::Instant aNow) const;

  /// True if a batch without frames should be sent because the peer waits for an acknowledgement.
  bool IsAcknowledgementDue(core::Instant aNow) const;

  /// What every batch to the peer acknowledges.
  StreamPosition Received() const { return mReceived; }

  /// When a message was last queued for the peer or a batch received from it.
  core::Instant LastUsedAt() const;

  /// When the opening of the current stream began; time in which this process did not run is left
  /// out.
  core::Instant StreamOpenedAt() const { return mStreamOpenedAt; }

  /// True once the current stream has taken a batch: its connection is established.
  bool IsStreamOpen() const { return mWritten > 0; }

  /// True if the peer was heard since the opening of the current stream began.
  bool WasHeardOnStream() const { return mWasHeardOnStream; }

private:
  void OnAcknowledged(std::uint64_t aBatches);
  core::Duration UndeliveredTimeout() const;

  DeliveryMonitorSettings mSettings;

  // Sending.
  core::Instant mLastQueuedAt{};
  std::optional<core::Instant> mUnansweredSince; ///< First message since the peer was last heard.
  core::Instant mLastSentAt{};
  core::Instant mStreamOpenedAt{};
  core::Duration mOpeningTimeout{ 0 };
  core::Instant mEstablishedAt{}; ///< When the current stream took its first batch.
  bool mWasHeardOnStream = false;
  std::uint32_t mStream = 0;
  std::uint64_t mWritten = 0;            ///< Batches that the current stream has taken.
  std::uint64_t mAcknowledged = 0;       ///< Batches of the current stream that the peer received.
  std::optional<std::uint64_t> mWatched; ///< The batch whose acknowledgement is waited for.
  core::Instant mWatchedSince{};
  core::Duration mHeardSinceWatched{ 0 }; ///< How long the peer was heard without acknowledging it.

  // Receiving.
  core::Instant mLastReceivedAt{};
  StreamPosition mReceived;
  bool mPeerAcknowledges = false;    ///< The peer's version acknowledges.
  bool mOwesAcknowledgement = false; ///< Of a batch with frames.
};

} // namespace cuminfield::process::peer
