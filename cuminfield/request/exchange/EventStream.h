#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Follows a stream of server-sent events so that only whole events are passed on: a stream that
/// breaks off can then be resumed after the last whole one.
class EventStream
{
public:
  /// Takes bytes as they come; returns the whole events among them and what was kept before.
  /// The view is valid until the next call.
  std::string_view Take(std::string_view aBytes);

  /// Whole data events so far, the closing `[DONE]` not counted.
  std::uint64_t Events() const { return mEvents; }

  /// The `id:` of the last whole event; empty when none had one.
  const std::string& LastId() const { return mLastId; }

  /// True while a part of an event is kept.
  bool Partial() const { return !mKept.empty(); }

  /// Bytes of that part.
  std::size_t PartialBytes() const { return mKept.size(); }

  /// Drops the part of an event that is kept: the stream goes on elsewhere.
  void DropPartial() { mKept.clear(); }

  /// True once `data: [DONE]` came.
  bool Done() const { return mDone; }

private:
  void Count(std::string_view aEvent);

  std::string mKept;  ///< Bytes of an event not yet whole.
  std::string mWhole; ///< What the last Take() returned.
  std::string mLastId;
  std::uint64_t mEvents = 0;
  bool mDone = false;
};

} // namespace cuminfield::request::exchange
