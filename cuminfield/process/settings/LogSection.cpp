#include "cuminfield/process/settings/LogSection.h"

namespace cuminfield::process::settings {

void ReadLogSection(IniReader& aReader, std::string& aLevel, LogFormat& aFormat)
{
  const IniSection* log = aReader.FindSection("log");
  if (!log) {
    return;
  }
  std::size_t level = 0;
  aReader.ReadChoice(*log, "level", level);
  if (const IniEntry* entry = log->Find("level")) {
    aLevel = entry->value;
  }
  aReader.ReadChoice(*log, "format", aFormat);
}

} // namespace cuminfield::process::settings
