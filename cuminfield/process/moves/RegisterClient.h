#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/Group.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cuminfield::process::moves {

/// One register of a group: a small value that a leader keeps for its successor. Writes follow the
/// version that was read, so of two leaders that believe to lead only one gets through.
class RegisterClient
{
public:
  struct Options
  {
    std::string name;
    log::Group& group;
    core::TimerService& timers;
    core::Duration limit = std::chrono::seconds(3); ///< For one step.
  };

  /// Called with true when the step succeeded.
  using Done = std::function<void(bool)>;

  explicit RegisterClient(Options aOptions);
  ~RegisterClient();
  RegisterClient(const RegisterClient&) = delete;
  RegisterClient& operator=(const RegisterClient&) = delete;

  /// Reads the register; Value() holds it afterwards.
  void Read(Done aDone);

  /// Writes a value behind the one that was read. False: another one came first, or no answer
  /// came; read again before the next write.
  void Write(const std::string& aValue, core::FencingNumber aFencing, Done aDone);

  /// True between a step and its answer; no other step may be begun.
  bool Busy() const { return mBusy; }

  /// True once read, until a write failed.
  bool Known() const { return mKnown; }

  /// The value as last read or written; empty when there is none.
  const std::string& Value() const { return mValue; }

private:
  void OnRead(const core::Result<std::string>& aResult, const Done& aDone);
  void OnWritten(const core::Result<std::string>& aResult, const std::string& aValue,
                 const Done& aDone);

  Options mOptions;
  std::shared_ptr<bool> mAlive;
  bool mBusy = false;
  bool mKnown = false;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

} // namespace cuminfield::process::moves
