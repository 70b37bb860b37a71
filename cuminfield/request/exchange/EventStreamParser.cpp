#include "cuminfield/request/exchange/EventStreamParser.h"

#include <algorithm>

namespace cuminfield::request::exchange {

namespace {
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kIdLine = "\nid:";
constexpr std::string_view kDoneEvent = "data: [DONE]";
} // namespace

std::string_view EventStreamParser::Consume(std::string_view aBytes)
{
  mPartialEvent.append(aBytes);
  std::size_t begin = 0;
  for (std::size_t end = mPartialEvent.find(kEventEnd); end != std::string::npos;
       end = mPartialEvent.find(kEventEnd, begin)) {
    ProcessEvent(std::string_view(mPartialEvent).substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  mCompleteEvents.assign(mPartialEvent, 0, begin);
  mPartialEvent.erase(0, begin);
  return mCompleteEvents;
}

void EventStreamParser::ProcessEvent(std::string_view aEvent)
{
  const std::size_t id = aEvent.starts_with(kIdField) ? 0 : aEvent.find(kIdLine);
  if (id != std::string_view::npos) {
    const std::size_t begin = aEvent.find_first_not_of(' ', aEvent.find(':', id) + 1);
    const std::size_t end = std::min(aEvent.find('\n', begin), aEvent.size());
    mLastEventId = begin < end ? std::string(aEvent.substr(begin, end - begin)) : std::string();
  }
  if (aEvent.find(kDoneEvent) != std::string_view::npos) {
    mDone = true;
    return;
  }
  if (aEvent.find(kDataField) != std::string_view::npos) {
    ++mEventCount;
  }
}

} // namespace cuminfield::request::exchange
