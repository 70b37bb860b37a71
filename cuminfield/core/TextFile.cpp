#include "cuminfield/core/TextFile.h"

#include <fstream>
#include <sstream>

namespace cuminfield::core {

Result<std::string> ReadTextFile(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(ErrorKind::Io, aPath + ": cannot be opened; check that it exists and may be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) {
    return Fail(ErrorKind::Io, aPath + ": cannot be read; check that it is a file");
  }
  return text.str();
}

} // namespace cuminfield::core
