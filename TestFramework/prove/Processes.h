#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cuminfield::test_framework::prove {

/// Child processes of a test driver, by name. The destructor kills all of them, and the kernel
/// kills them if the driver is killed.
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

  /// Starts a program. Its output is appended to the file NAME.log.
  void Start(const std::string& aName, const std::vector<std::string>& aCommand);

  /// Sends a signal if the process is running.
  void SendSignal(const std::string& aName, int aSignal);

  /// Sends SIGKILL and waits until the process has ended.
  void Kill(const std::string& aName);

  bool IsRunning(const std::string& aName);

  /// Names of processes that exited with a status other than 0 or by a signal, except after Kill().
  std::vector<std::string> CrashedProcesses();

private:
  void Reap();

  std::string mLogFolder;
  std::map<std::string, pid_t> mPids;
  std::vector<std::string> mCrashed;
};

} // namespace cuminfield::test_framework::prove
