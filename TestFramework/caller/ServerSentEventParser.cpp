#include "TestFramework/caller/ServerSentEventParser.h"

#include <sstream>

namespace cuminfield::test_framework::caller {

namespace {

constexpr std::string_view kEventSeparator = "\n\n";

/// Sets aValue to the rest of aLine if the line starts with aField.
void ReadField(const std::string& aLine, const std::string& aField, std::string& aValue)
{
  if (aLine.starts_with(aField)) {
    aValue = aLine.substr(aField.size());
  }
}

ServerSentEvent ParseEvent(const std::string& aText)
{
  ServerSentEvent event;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    ReadField(line, "id: ", event.id);
    ReadField(line, "data: ", event.data);
  }
  return event;
}

} // namespace

std::vector<ServerSentEvent> ServerSentEventParser::Parse(const std::string& aBytes)
{
  mBuffer += aBytes;
  std::vector<ServerSentEvent> events;
  std::size_t begin = 0;
  for (auto end = mBuffer.find(kEventSeparator); end != std::string::npos;
       end = mBuffer.find(kEventSeparator, begin)) {
    events.push_back(ParseEvent(mBuffer.substr(begin, end - begin)));
    begin = end + kEventSeparator.size();
  }
  mBuffer.erase(0, begin);
  return events;
}

} // namespace cuminfield::test_framework::caller
