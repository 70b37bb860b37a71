#pragma once

#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

struct StreamEvent
{
  std::string id;
  std::string data;
};

/// Incremental parser for a stream of server-sent events.
class EventReader
{
public:
  /// Appends aBytes and returns the events that are now complete.
  std::vector<StreamEvent> Read(const std::string& aBytes);

private:
  std::string mBuffer;
};

} // namespace cuminfield::test_framework::caller
