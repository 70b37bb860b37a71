#include "cuminfield/process/settings/IniFile.h"

// Processes bytes without conversion to wide characters. The parser is compiled in, as Debian's
// library package of it depends on ICU.
#define SI_IMPLEMENTATION
#define SI_NO_CONVERSION
#include <SimpleIni.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace cuminfield::process::settings {

namespace {

constexpr const char* kBlanks = " \t";
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";

std::string Trim(const std::string& aText)
{
  const std::size_t from = aText.find_first_not_of(kBlanks);
  if (from == std::string::npos) {
    return "";
  }
  return aText.substr(from, aText.find_last_not_of(kBlanks) - from + 1);
}

bool HasControlCharacter(const std::string& aLine)
{
  return std::ranges::any_of(aLine, [](char aChar) {
    const auto code = static_cast<unsigned char>(aChar);
    return (code < 0x20 && aChar != '\t') || code == 0x7F;
  });
}

/// Reads the entries of a section. SimpleIni returns the values key by key; those of one key are in
/// file order.
std::vector<IniEntry> ReadEntries(const CSimpleIniCaseA& aIni, const char* aSection)
{
  CSimpleIniCaseA::TNamesDepend keys;
  aIni.GetAllKeys(aSection, keys);
  std::vector<IniEntry> entries;
  for (const auto& key : keys) {
    CSimpleIniCaseA::TNamesDepend values;
    aIni.GetAllValues(aSection, key.pItem, values);
    values.sort(CSimpleIniCaseA::Entry::LoadOrder());
    for (const auto& value : values) {
      entries.push_back({ .key = key.pItem, .value = value.pItem, .line = 0 });
    }
  }
  return entries;
}

} // namespace

std::string IniSection::Kind() const
{
  return name.substr(0, name.find_first_of(kBlanks));
}

std::string IniSection::InstanceName() const
{
  const std::size_t blank = name.find_first_of(kBlanks);
  return blank == std::string::npos ? "" : Trim(name.substr(blank));
}

const IniEntry* IniSection::Find(const std::string& aKey) const
{
  const auto it = std::ranges::find(entries, aKey, &IniEntry::key);
  return it == entries.end() ? nullptr : &*it;
}

/// Line numbers of sections and keys, recorded by the scan.
struct IniFile::LineIndex
{
  /// Line numbers of a section and of the occurrences of each key, in file order.
  struct SectionLines
  {
    std::size_t line = 0;
    std::map<std::string, std::vector<std::size_t>> linesByKey;
  };

  std::unordered_map<std::string, SectionLines> sections;
  std::string currentSection; ///< Section at the current position of the scan.
};

IniFile::IniFile(const std::string& aText)
{
  LineIndex index;
  Scan(aText, index);
  // Text with control characters is reported but not parsed, as SimpleIni would misread it.
  const bool readable = std::ranges::none_of(
    mErrors, [](const IniError& aFault) { return aFault.message.starts_with("control"); });
  if (readable) {
    ParseSections(aText, index);
  }
}

void IniFile::Scan(const std::string& aText, LineIndex& aIndex)
{
  std::size_t from = aText.starts_with(kByteOrderMark) ? 3 : 0;
  std::size_t number = 0;
  while (from < aText.size()) {
    const std::size_t to = std::min(aText.find('\n', from), aText.size());
    ScanLine(aText.substr(from, to - from), ++number, aIndex);
    from = to + 1;
  }
}

void IniFile::ScanLine(std::string aLine, std::size_t aNumber, LineIndex& aIndex)
{
  if (aLine.ends_with('\r')) {
    aLine.pop_back();
  }
  if (HasControlCharacter(aLine)) {
    mErrors.push_back({ aNumber, "control character; remove it" });
    return;
  }
  const std::string line = Trim(aLine);
  if (line.empty() || line.front() == '#' || line.front() == ';') {
    return;
  }
  if (line.front() == '[') {
    ScanHeader(line, aNumber, aIndex);
    return;
  }
  const std::size_t equals = line.find('=');
  if (equals == std::string::npos || equals == 0) {
    mErrors.push_back({ aNumber, "not a section, an entry or a comment; write `key = value`" });
    return;
  }
  if (aIndex.currentSection.empty()) {
    mErrors.push_back({ aNumber, "entry before the first section; put it under a `[section]`" });
    return;
  }
  const std::string key = Trim(line.substr(0, equals));
  aIndex.sections[aIndex.currentSection].linesByKey[key].push_back(aNumber);
}

void IniFile::ScanHeader(const std::string& aLine, std::size_t aNumber, LineIndex& aIndex)
{
  const std::size_t close = aLine.find(']');
  const std::string name = close == std::string::npos ? "" : Trim(aLine.substr(1, close - 1));
  if (name.empty() || close + 1 != aLine.size()) {
    mErrors.push_back({ aNumber, "not a section header; write `[section]` and nothing after it" });
    return;
  }
  if (name.find("  ") != std::string::npos || name.find('\t') != std::string::npos) {
    mErrors.push_back({ aNumber, "[" + name + "]: write one blank between kind and name" });
    return;
  }
  const auto [it, isNew] = aIndex.sections.try_emplace(name);
  if (isNew) {
    it->second.line = aNumber;
  } else {
    mErrors.push_back({ aNumber, "section [" + name + "] is repeated (first in line " +
                                   std::to_string(it->second.line) + "); merge the two" });
  }
  aIndex.currentSection = name;
}

void IniFile::ParseSections(const std::string& aText, LineIndex& aIndex)
{
  CSimpleIniCaseA ini;
  ini.SetUnicode();
  ini.SetMultiKey();
  if (ini.LoadData(aText.data(), aText.size()) < 0) {
    mErrors.push_back({ 1, "not readable as INI; write `[section]` and `key = value` lines" });
    return;
  }
  CSimpleIniCaseA::TNamesDepend names;
  ini.GetAllSections(names);
  names.sort(CSimpleIniCaseA::Entry::LoadOrder());
  for (const auto& name : names) {
    const auto it = aIndex.sections.find(name.pItem);
    if (it == aIndex.sections.end()) {
      continue;
    }
    IniSection section{ .name = name.pItem, .line = it->second.line, .entries = {} };
    section.entries = ReadEntries(ini, name.pItem);
    std::map<std::string, std::size_t> occurrences;
    for (IniEntry& entry : section.entries) {
      const auto& lines = it->second.linesByKey[entry.key];
      const std::size_t occurrence = occurrences[entry.key]++;
      entry.line = occurrence < lines.size() ? lines[occurrence] : section.line;
    }
    std::ranges::stable_sort(section.entries, {}, &IniEntry::line);
    mSections.push_back(std::move(section));
  }
}

} // namespace cuminfield::process::settings
