#pragma once

#include "cuminfield/core/EventLoop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct bufferevent;

namespace cuminfield::connection::upstream {

/// Settings of ReachabilityChecker.
struct ReachabilityCheckerSettings
{
  /// An address that hasn't responded after this long counts as unreachable: the host of a crashed
  /// process may be gone, too.
  core::Duration timeout = std::chrono::milliseconds(500);
};

/// Checks whether a process still accepts connections at an address; one that has crashed doesn't.
/// Each check opens one connection and closes it without sending anything.
class ReachabilityChecker
{
public:
  using Callback = std::function<void(bool aIsReachable)>;

  struct Options
  {
    ReachabilityCheckerSettings settings{};
    core::EventLoop& loop;
  };

  explicit ReachabilityChecker(const Options& aOptions);
  ~ReachabilityChecker();

  /// Starts a check. The callback runs on the loop, never inside Start() and not after the
  /// destructor. An address that can't be checked counts as reachable: nothing shows a crash.
  void Start(const std::string& aAddress, std::uint16_t aPort, Callback aDone);

private:
  void End(bufferevent* aConnection, bool aIsReachable);
  static void OnEvent(bufferevent* aConnection, short aWhat, void* aSelf);

  Options mOptions;
  std::map<bufferevent*, Callback> mChecks; ///< By connection, which each check owns.
};

} // namespace cuminfield::connection::upstream
