#pragma once

#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

/// One server-sent event.
struct StreamEvent
{
  std::string id;
  std::string data;
};

/// Takes the bytes of a stream of server-sent events as they come and gives whole events.
class EventReader
{
public:
  /// Adds aBytes; the events that they complete.
  std::vector<StreamEvent> Read(const std::string& aBytes);

private:
  std::string mBuffer;
};

} // namespace cuminfield::test_framework::caller
