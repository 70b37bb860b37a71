#pragma once

#include <string>
#include <vector>

namespace cuminfield::test_framework::caller {

struct ServerSentEvent
{
  std::string id;
  std::string data;
};

/// Incremental parser for a stream of server-sent events.
class ServerSentEventParser
{
public:
  /// Appends aBytes and returns the events that are now complete.
  std::vector<ServerSentEvent> Parse(const std::string& aBytes);

private:
  std::string mBuffer;
};

} // namespace cuminfield::test_framework::caller
