#include "cuminfield/request/exchange/EventStreamParser.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminfield::request::exchange {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data";
constexpr std::string_view kIdField = "id";
/// The fields of the format; a comment is a line without a field name.
constexpr std::array<std::string_view, 5> kFields{ kDataField, kIdField, "event", "retry", "" };
constexpr std::string_view kDoneText = "[DONE]";

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string_view EventStreamParser::Consume(std::string_view aBytes)
{
  if (mHasFault) {
    return {};
  }
  mPartialEvent.append(aBytes);
  std::size_t begin = 0;
  for (std::size_t end = mPartialEvent.find(kEventEnd); end != std::string::npos;
       end = mPartialEvent.find(kEventEnd, begin)) {
    if (!ProcessEvent(std::string_view(mPartialEvent).substr(begin, end - begin))) {
      mHasFault = true;
      break;
    }
    begin = end + kEventEnd.size();
  }
  mCompleteEvents.assign(mPartialEvent, 0, begin);
  mPartialEvent.erase(0, begin);
  return mCompleteEvents;
}

void EventStreamParser::BeginContinuation()
{
  mPartialEvent.clear();
  mDone = false;
  mHasFault = false;
  mIsContinuation = mLastEventHasId;
  mContinuationBegun = false;
}

EventStreamParser::Event EventStreamParser::ParseEvent(std::string_view aText)
{
  Event event;
  event.isValid = aText.find_first_not_of('\n') == std::string_view::npos;
  while (!aText.empty()) {
    const std::string_view line = aText.substr(0, aText.find('\n'));
    aText.remove_prefix(std::min(line.size() + 1, aText.size()));
    if (line == "\r") {
      // An empty line would have ended the event, so this is the end of a response's head.
      return {};
    }
    const std::string_view field = line.substr(0, line.find(':'));
    std::string_view value = line.substr(std::min(field.size() + 1, line.size()));
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    const bool isField = std::find(kFields.begin(), kFields.end(), field) != kFields.end();
    event.isValid = event.isValid || (isField && !line.empty());
    event.hasData = event.hasData || field == kDataField;
    event.isDone = event.isDone || (field == kDataField && value.starts_with(kDoneText));
    if (field == kIdField) {
      event.id = value;
    }
  }
  return event;
}

bool EventStreamParser::ProcessEvent(std::string_view aText)
{
  const Event event = ParseEvent(aText);
  if (!event.isValid || (mIsContinuation && !IsNext(event))) {
    return false;
  }
  if (event.id) {
    const auto last = ParseNumber(mLastEventId);
    mIsConsecutive =
      mIsConsecutive && (mLastEventId.empty() || (last && ParseNumber(*event.id) == *last + 1));
    mLastEventId = *event.id;
    mContinuationBegun = true;
  }
  if (event.id || event.hasData) {
    mLastEventHasId = event.id && !event.id->empty();
  }
  mDone = mDone || event.isDone;
  if (event.hasData && !event.isDone) {
    ++mEventCount;
  }
  return true;
}

bool EventStreamParser::IsNext(const Event& aEvent) const
{
  if (!aEvent.id) {
    return !aEvent.hasData || aEvent.isDone || mContinuationBegun;
  }
  const auto last = ParseNumber(mLastEventId);
  const auto next = ParseNumber(*aEvent.id);
  if (!last || !next) {
    return !last && !next && !aEvent.id->empty() && *aEvent.id != mLastEventId;
  }
  return mIsConsecutive ? *next == *last + 1 : *next > *last;
}

} // namespace cuminfield::request::exchange
