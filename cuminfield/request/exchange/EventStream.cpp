#include "cuminfield/request/exchange/EventStream.h"

#include <algorithm>

namespace cuminfield::request::exchange {

namespace {
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kIdLine = "\nid:";
constexpr std::string_view kDoneEvent = "data: [DONE]";
} // namespace

std::string_view EventStream::Take(std::string_view aBytes)
{
  mKept.append(aBytes);
  std::size_t begin = 0;
  for (std::size_t end = mKept.find(kEventEnd); end != std::string::npos;
       end = mKept.find(kEventEnd, begin)) {
    Count(std::string_view(mKept).substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  mWhole.assign(mKept, 0, begin);
  mKept.erase(0, begin);
  return mWhole;
}

void EventStream::Count(std::string_view aEvent)
{
  const std::size_t id = aEvent.starts_with(kIdField) ? 0 : aEvent.find(kIdLine);
  if (id != std::string_view::npos) {
    const std::size_t begin = aEvent.find_first_not_of(' ', aEvent.find(':', id) + 1);
    const std::size_t end = std::min(aEvent.find('\n', begin), aEvent.size());
    mLastId = begin < end ? std::string(aEvent.substr(begin, end - begin)) : std::string();
  }
  if (aEvent.find(kDoneEvent) != std::string_view::npos) {
    mDone = true;
    return;
  }
  if (aEvent.find(kDataField) != std::string_view::npos) {
    ++mEvents;
  }
}

} // namespace cuminfield::request::exchange
