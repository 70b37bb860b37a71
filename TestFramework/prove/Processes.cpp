#include "TestFramework/prove/Processes.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cuminfield::test_framework::prove {

namespace {

constexpr int kExecFailedStatus = 127;

[[noreturn]] void ExecuteProgram(const std::vector<std::string>& aCommand, const std::string& aLog)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& it : aCommand) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(kExecFailedStatus);
}

} // namespace

Processes::~Processes()
{
  Reap();
  for (const auto& [name, pid] : mPids) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

void Processes::Start(const std::string& aName, const std::vector<std::string>& aCommand)
{
  const pid_t pid = fork();
  if (pid == 0) {
    ExecuteProgram(aCommand, mLogFolder + "/" + aName + ".log");
  }
  mPids[aName] = pid;
}

void Processes::SendSignal(const std::string& aName, int aSignal)
{
  Reap();
  const auto it = mPids.find(aName);
  if (it != mPids.end()) {
    kill(it->second, aSignal);
  }
}

void Processes::Kill(const std::string& aName)
{
  Reap();
  const auto it = mPids.find(aName);
  if (it == mPids.end()) {
    return;
  }
  kill(it->second, SIGKILL);
  waitpid(it->second, nullptr, 0);
  mPids.erase(it);
}

bool Processes::IsRunning(const std::string& aName)
{
  Reap();
  return mPids.contains(aName);
}

std::vector<std::string> Processes::CrashedProcesses()
{
  Reap();
  return mCrashed;
}

void Processes::Reap()
{
  std::erase_if(mPids, [this](const auto& aEntry) {
    int status = 0;
    if (waitpid(aEntry.second, &status, WNOHANG) != aEntry.second) {
      return false;
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
      mCrashed.push_back(aEntry.first);
    }
    return true;
  });
}

} // namespace cuminfield::test_framework::prove
