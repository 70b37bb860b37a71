#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Splits a stream of server-sent events into complete events. Only complete events are passed on,
/// so an interrupted stream can be resumed after the last of them.
class EventStreamParser
{
public:
  /// Appends aBytes and returns all events that are now complete. The view is valid until the next
  /// call.
  std::string_view Consume(std::string_view aBytes);

  /// Complete data events so far, excluding the final `[DONE]`.
  std::uint64_t EventCount() const { return mEventCount; }

  /// The `id:` of the last complete event that had one; empty if none did.
  const std::string& LastEventId() const { return mLastEventId; }

  /// True while an incomplete event is buffered.
  bool HasPartialEvent() const { return !mPartialEvent.empty(); }

  /// Size of the buffered incomplete event.
  std::size_t PartialEventBytes() const { return mPartialEvent.size(); }

  /// Discards the buffered incomplete event, before the stream continues from another source.
  void DiscardPartialEvent() { mPartialEvent.clear(); }

  /// True once `data: [DONE]` has arrived.
  bool IsDone() const { return mDone; }

private:
  void ProcessEvent(std::string_view aEvent);

  std::string mPartialEvent;   ///< Bytes of the incomplete event.
  std::string mCompleteEvents; ///< Result of the last Consume().
  std::string mLastEventId;
  std::uint64_t mEventCount = 0;
  bool mDone = false;
};

} // namespace cuminfield::request::exchange
