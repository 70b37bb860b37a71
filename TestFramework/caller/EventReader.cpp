#include "TestFramework/caller/EventReader.h"

#include <sstream>

namespace cuminfield::test_framework::caller {

namespace {

constexpr std::string_view kEnd = "\n\n";

/// Sets aValue to the rest of aLine if the line starts with aField.
void TakeField(const std::string& aLine, const std::string& aField, std::string& aValue)
{
  if (aLine.starts_with(aField)) {
    aValue = aLine.substr(aField.size());
  }
}

StreamEvent Parse(const std::string& aText)
{
  StreamEvent event;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    TakeField(line, "id: ", event.id);
    TakeField(line, "data: ", event.data);
  }
  return event;
}

} // namespace

std::vector<StreamEvent> EventReader::Read(const std::string& aBytes)
{
  mBuffer += aBytes;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  for (auto end = mBuffer.find(kEnd); end != std::string::npos; end = mBuffer.find(kEnd, begin)) {
    events.push_back(Parse(mBuffer.substr(begin, end - begin)));
    begin = end + kEnd.size();
  }
  mBuffer.erase(0, begin);
  return events;
}

} // namespace cuminfield::test_framework::caller
