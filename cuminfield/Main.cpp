#include "cuminfield/process/command/Commands.h"
#include "platform/Programs.h"

int main(int aCount, char** aArguments)
{
  using namespace cuminfield::process::command;
  return static_cast<int>(RunCommand({ aArguments + 1, aArguments + aCount }, platform::kCommands));
}
