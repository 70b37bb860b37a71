#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/Group.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::process::moves {

/// Client of one register of a group, a small value that a leader stores for its successor. A write
/// names the version that was read, so of two hosts that both believe to lead only one succeeds.
class RegisterClient
{
public:
  struct Options
  {
    std::string name;
    log::Group& group;
    core::TimerService& timers;
    core::Duration timeout = std::chrono::seconds(3); ///< Timeout of one read or write.
  };

  /// Called with true when the operation succeeded.
  using Completion = std::function<void(bool)>;

  explicit RegisterClient(Options aOptions);
  ~RegisterClient();
  RegisterClient(const RegisterClient&) = delete;
  RegisterClient& operator=(const RegisterClient&) = delete;

  /// Reads the register. On success Value() returns its value.
  void Read(Completion aCompletion);

  /// Replaces the value that was read. False: another writer was first, or no reply came; read
  /// again before the next write.
  void Write(const std::string& aValue, core::FencingNumber aFencing, Completion aCompletion);

  /// True while an operation is in progress; no other one may be started.
  bool IsBusy() const { return mBusy; }

  /// True once read, until a write fails.
  bool IsCurrent() const { return mCurrent; }

  /// The value as last read or written; empty when there is none.
  const std::string& Value() const { return mValue; }

private:
  void OnRead(const core::Result<std::string>& aResult, const Completion& aCompletion);
  void OnWritten(const core::Result<std::string>& aResult, const std::string& aValue,
                 const Completion& aCompletion);

  Options mOptions;
  std::shared_ptr<bool> mAlive;
  bool mBusy = false;
  bool mCurrent = false;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

} // namespace cuminfield::process::moves
