#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Splits a stream of server-sent events into complete events. Only complete events are passed on,
/// so an interrupted stream can be resumed after the last of them.
class EventStreamParser
{
public:
  /// Appends aBytes and returns all events that are now complete, up to the first fault. The view
  /// is valid until the next call.
  std::string_view Consume(std::string_view aBytes);

  /// True if the bytes after the last returned event are no event, or do not continue the stream.
  bool HasFault() const { return mHasFault; }

  /// Complete data events so far, excluding the final `[DONE]`.
  std::uint64_t EventCount() const { return mEventCount; }

  /// The `id:` of the last complete event that had one; empty if none did.
  const std::string& LastEventId() const { return mLastEventId; }

  /// True if the last event had an id, so that another source can be asked to go on after it.
  bool CanBeContinued() const { return mLastEventHasId; }

  /// True while an incomplete event is buffered.
  bool HasPartialEvent() const { return !mPartialEvent.empty(); }

  /// Size of the buffered incomplete event.
  std::size_t PartialEventBytes() const { return mPartialEvent.size(); }

  /// Prepares for bytes from another source, whose events must follow the last one by their ids.
  /// Discards what is buffered.
  void BeginContinuation();

  /// True once `data: [DONE]` has arrived.
  bool IsDone() const { return mDone; }

private:
  /// The parts of an event that matter here.
  struct Event
  {
    bool isValid = false; ///< Consists of lines of the event stream format.
    bool hasData = false;
    bool isDone = false;
    std::optional<std::string_view> id;
  };

  static Event ParseEvent(std::string_view aText);
  bool ProcessEvent(std::string_view aText);
  /// True if an event may be the next one after those of earlier sources.
  bool IsNext(const Event& aEvent) const;

  std::string mPartialEvent;   ///< Bytes of the incomplete event.
  std::string mCompleteEvents; ///< Result of the last Consume().
  std::string mLastEventId;
  std::uint64_t mEventCount = 0;
  bool mDone = false;
  bool mHasFault = false;
  bool mLastEventHasId = false;
  bool mIsConsecutive = true;      ///< Each id was a number, larger by one than the one before.
  bool mIsContinuation = false;    ///< The current source is not the first one.
  bool mContinuationBegun = false; ///< It has sent an event with an id.
};

} // namespace cuminfield::request::exchange
