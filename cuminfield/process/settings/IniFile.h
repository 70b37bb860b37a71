#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cuminfield::process::settings {

/// One `key = value` line.
struct IniEntry
{
  std::string key;
  std::string value;
  std::size_t line = 0; ///< Counted from 1.
};

/// One `[section]` with its entries in file order; a repeated key has several.
struct IniSection
{
  std::string name;
  std::size_t line = 0;
  std::vector<IniEntry> entries;

  /// The section's kind: `tier` for `[tier quick]`.
  std::string Kind() const;

  /// The section's own name: `quick` for `[tier quick]`, empty for `[host]`.
  std::string OwnName() const;

  /// The first entry with this key, or nullptr.
  const IniEntry* Find(const std::string& aKey) const;
};

/// A fault of the text's structure.
struct IniFault
{
  std::size_t line = 0;
  std::string message;
};

/// An INI text split into sections and entries with their lines. SimpleIni does the splitting; it
/// gives no line numbers and passes over lines that it cannot read, so a scan of the text adds the
/// numbers and reports those lines.
class IniFile
{
public:
  explicit IniFile(const std::string& aText);

  /// Sections in file order, each name once.
  const std::vector<IniSection>& Sections() const { return mSections; }

  /// Lines that are no section, entry or comment, and repeated sections.
  const std::vector<IniFault>& Faults() const { return mFaults; }

private:
  struct LineIndex;

  void Scan(const std::string& aText, LineIndex& aIndex);
  void ScanLine(std::string aLine, std::size_t aNumber, LineIndex& aIndex);
  void ScanHeader(const std::string& aLine, std::size_t aNumber, LineIndex& aIndex);
  void Split(const std::string& aText, LineIndex& aIndex);

  std::vector<IniSection> mSections;
  std::vector<IniFault> mFaults;
};

} // namespace cuminfield::process::settings
