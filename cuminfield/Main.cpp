#include "cuminfield/process/command/Commands.h"

int main(int aCount, char** aArguments)
{
  using namespace cuminfield::process::command;
  return static_cast<int>(Run({ aArguments + 1, aArguments + aCount }));
}
