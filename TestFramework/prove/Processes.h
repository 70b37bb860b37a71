#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::prove {

/// The processes that a driver started, by name. Ends all of them when it goes, and they end when
/// the driver is killed.
class Processes
{
public:
  explicit Processes(std::string aLogFolder)
    : mLogFolder(std::move(aLogFolder))
  {
  }
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a program; its output is appended to a log named after it.
  void Start(const std::string& aName, const std::vector<std::string>& aCommand);

  /// Sends a signal, if the process runs.
  void Signal(const std::string& aName, int aSignal);

  /// Kills it and waits for its end.
  void Kill(const std::string& aName);

  /// True while it runs.
  bool Running(const std::string& aName);

  /// Names of processes that ended by themselves, other than with status 0.
  std::vector<std::string> Crashed();

private:
  void Reap();

  std::string mLogFolder;
  std::map<std::string, pid_t> mPids;
  std::vector<std::string> mCrashed;
};

} // namespace cuminfield::test_framework::prove
