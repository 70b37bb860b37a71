#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/settings/IniFile.h"
#include "cuminfield/process/settings/KeySpec.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminfield::process::settings {

/// Reads typed values from INI text and validates it against a table of keys. Collects all errors
/// with file, line, section, key and remedy, so that one run reports everything that needs
/// correction. Read() leaves its target unchanged when the key is absent or its value invalid.
class IniReader
{
public:
  /// Parses aText and records unknown sections and keys, repeated keys and missing keys as errors.
  IniReader(const std::string& aText, std::string aFile, std::span<const KeySpec> aKeys);

  /// Validly named sections of this kind, in file order.
  std::vector<const IniSection*> SectionsOfKind(std::string_view aKind) const;

  /// Returns the section with exactly this name, or nullptr.
  const IniSection* FindSection(std::string_view aName) const;

  /// Reads Duration, FractionalDuration, Size, Count, Number, Percent, Ratio, YesNo, UtcTime,
  /// Endpoint, Name and Text values.
  void Read(const IniSection& aSection, const char* aKey, core::Duration& aTarget);
  void Read(const IniSection& aSection, const char* aKey, core::Bytes& aTarget);
  void Read(const IniSection& aSection, const char* aKey, std::uint64_t& aTarget);
  void Read(const IniSection& aSection, const char* aKey, std::uint32_t& aTarget);
  void Read(const IniSection& aSection, const char* aKey, double& aTarget);
  void Read(const IniSection& aSection, const char* aKey, bool& aTarget);
  void Read(const IniSection& aSection, const char* aKey, core::WallTime& aTarget);
  void Read(const IniSection& aSection, const char* aKey, Endpoint& aTarget);
  void Read(const IniSection& aSection, const char* aKey, std::string& aTarget);

  /// Reads a Name value.
  template<typename Tag>
  void Read(const IniSection& aSection, const char* aKey, core::Name<Tag>& aTarget)
  {
    std::string text;
    Read(aSection, aKey, text);
    if (!text.empty()) {
      aTarget = core::Name<Tag>(std::move(text));
    }
  }

  /// Reads an optional value; the absence of its key has a meaning of its own.
  template<typename T>
  void Read(const IniSection& aSection, const char* aKey, std::optional<T>& aTarget)
  {
    if (aSection.Find(aKey)) {
      T value{};
      Read(aSection, aKey, value);
      aTarget = std::move(value);
    }
  }

  /// Reads a NameList value.
  template<typename Tag>
  void Read(const IniSection& aSection, const char* aKey, std::vector<core::Name<Tag>>& aTarget)
  {
    for (std::string& word : ReadNames(aSection, aKey)) {
      aTarget.emplace_back(std::move(word));
    }
  }

  /// Reads a Choice value; the enum's values follow the order of KeySpec::choices.
  template<typename Enum>
  void ReadChoice(const IniSection& aSection, const char* aKey, Enum& aTarget)
  {
    if (const auto position = FindChoice(aSection, aKey)) {
      aTarget = static_cast<Enum>(*position);
    }
  }

  /// Records an error at the key's line, or at the section's line when the key is absent.
  void AddError(const IniSection& aSection, const std::string& aKey, const std::string& aMessage);

  /// Records an error of the file as a whole, at line 1.
  void AddError(const std::string& aMessage);

  /// Returns Done, or InvalidSettings with one line per error in file order.
  core::Result<void> ToResult() const;

private:
  void CheckSection(const IniSection& aSection);
  void CheckEntries(const IniSection& aSection);
  void CheckRequired(const IniSection& aSection);
  void CheckMissingSections();
  const KeySpec* FindSpec(const IniSection& aSection, const std::string& aKey) const;
  std::string KnownSections() const;
  std::string KnownKeys(const std::string& aKind) const;
  std::vector<std::string> ReadNames(const IniSection& aSection, const char* aKey);
  std::optional<std::size_t> FindChoice(const IniSection& aSection, const char* aKey);
  void AddValueError(const IniSection& aSection, const IniEntry& aEntry);

  /// Parses the value with aParse and checks it against the key's range. Records an error when it
  /// is invalid; returns nullopt then and when the key is absent.
  template<typename Parse>
  auto ReadNumber(const IniSection& aSection, const char* aKey, Parse aParse)
    -> decltype(aParse(std::string()));

  std::string mFileName;
  std::span<const KeySpec> mKeySpecs;
  IniFile mIniFile;
  std::vector<IniError> mErrors;
};

} // namespace cuminfield::process::settings
