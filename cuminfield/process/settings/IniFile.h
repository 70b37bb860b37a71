#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cuminfield::process::settings {

/// A `key = value` line.
struct IniEntry
{
  std::string key;
  std::string value;
  std::size_t line = 0; ///< Starts at 1.
};

/// A `[section]` with its entries in file order; a repeated key has several entries.
struct IniSection
{
  std::string name;
  std::size_t line = 0;
  std::vector<IniEntry> entries;

  /// First word of the section name: `tier` for `[tier quick]`.
  std::string Kind() const;

  /// Rest of the section name: `quick` for `[tier quick]`, empty for `[host]`.
  std::string InstanceName() const;

  /// Returns the first entry with this key, or nullptr.
  const IniEntry* Find(const std::string& aKey) const;
};

/// An error in a settings file and its line.
struct IniError
{
  std::size_t line = 0;
  std::string message;
};

/// Parses INI text into sections and entries with line numbers. SimpleIni parses the text, but it
/// reports no line numbers and ignores lines that it cannot parse, so a separate scan records the
/// line numbers and reports those lines.
class IniFile
{
public:
  explicit IniFile(const std::string& aText);

  /// Sections in file order; each name occurs once.
  const std::vector<IniSection>& Sections() const { return mSections; }

  /// Malformed lines and repeated sections.
  const std::vector<IniError>& Errors() const { return mErrors; }

private:
  struct LineIndex;

  void Scan(const std::string& aText, LineIndex& aIndex);
  void ScanLine(std::string aLine, std::size_t aNumber, LineIndex& aIndex);
  void ScanHeader(const std::string& aLine, std::size_t aNumber, LineIndex& aIndex);
  void ParseSections(const std::string& aText, LineIndex& aIndex);

  std::vector<IniSection> mSections;
  std::vector<IniError> mErrors;
};

} // namespace cuminfield::process::settings
