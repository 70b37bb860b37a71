#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Follows a stream of server-sent events so that only whole events are passed on: a stream that
/// breaks off can then be resumed after the last whole one.
class EventStreamParser
{
public:
  /// Takes bytes as they come; returns the whole events among them and what was kept before.
  /// The view is valid until the next call.
  std::string_view Consume(std::string_view aBytes);

  /// Whole data events so far, the closing `[DONE]` not counted.
  std::uint64_t EventCount() const { return mEventCount; }

  /// The `id:` of the last whole event; empty when none had one.
  const std::string& LastEventId() const { return mLastEventId; }

  /// True while a part of an event is kept.
  bool HasPartialEvent() const { return !mPartialEvent.empty(); }

  /// Bytes of that part.
  std::size_t PartialEventBytes() const { return mPartialEvent.size(); }

  /// Drops the part of an event that is kept: the stream goes on elsewhere.
  void DiscardPartialEvent() { mPartialEvent.clear(); }

  /// True once `data: [DONE]` came.
  bool IsDone() const { return mDone; }

private:
  void ProcessEvent(std::string_view aEvent);

  std::string mPartialEvent;   ///< Bytes of an event not yet whole.
  std::string mCompleteEvents; ///< What the last Take() returned.
  std::string mLastEventId;
  std::uint64_t mEventCount = 0;
  bool mDone = false;
};

} // namespace cuminfield::request::exchange
