#include "cuminfield/process/settings/IniReader.h"

#include "cuminfield/process/settings/Values.h"

#include <algorithm>
#include <set>
#include <type_traits>

namespace cuminfield::process::settings {

namespace {

std::string FormatLocation(const IniSection& aSection, const std::string& aKey)
{
  const std::string section = "[" + aSection.name + "]";
  return aKey.empty() ? section : section + " " + aKey;
}

} // namespace

IniReader::IniReader(const std::string& aText, std::string aFile, std::span<const KeySpec> aKeys)
  : mFileName(std::move(aFile))
  , mKeySpecs(aKeys)
  , mIniFile(aText)
  , mErrors(mIniFile.Errors())
{
  for (const IniSection& section : mIniFile.Sections()) {
    CheckSection(section);
  }
  CheckMissingSections();
}

void IniReader::CheckSection(const IniSection& aSection)
{
  const auto spec = std::ranges::find(mKeySpecs, aSection.Kind(), &KeySpec::Kind);
  const std::string ownName = aSection.InstanceName();
  const bool known = spec != mKeySpecs.end() && (spec->HasNamedSection() || ownName.empty());
  if (!known) {
    AddError(aSection, "", "unknown section; use one of " + KnownSections());
    return;
  }
  if (spec->HasNamedSection() && !IsValidName(ownName)) {
    AddError(aSection, "",
             "needs a name of letters, digits, '.', '-' and '_'; write [" + aSection.Kind() +
               " NAME]");
  }
  CheckEntries(aSection);
  CheckRequired(aSection);
}

void IniReader::CheckEntries(const IniSection& aSection)
{
  std::set<std::string> seen;
  for (const IniEntry& entry : aSection.entries) {
    const std::string location = FormatLocation(aSection, entry.key);
    if (!FindSpec(aSection, entry.key)) {
      mErrors.push_back(
        { entry.line, location + ": unknown key; use one of " + KnownKeys(aSection.Kind()) });
    } else if (!seen.insert(entry.key).second) {
      mErrors.push_back({ entry.line, location + ": repeated key; keep one of them" });
    }
  }
}

void IniReader::CheckRequired(const IniSection& aSection)
{
  for (const KeySpec& spec : mKeySpecs) {
    if (spec.IsRequired() && spec.Kind() == aSection.Kind() && !aSection.Find(spec.key)) {
      AddError(aSection, spec.key,
               "missing; add `" + std::string(spec.key) + " = ` " + spec.DescribeValue());
    }
  }
}

void IniReader::CheckMissingSections()
{
  std::set<std::string> reported;
  for (const KeySpec& spec : mKeySpecs) {
    const bool needed = spec.IsRequired() && !spec.HasNamedSection() && !FindSection(spec.section);
    if (needed && reported.insert(spec.section).second) {
      AddError(std::string("section [") + spec.section + "] is missing; add it with " +
               KnownKeys(spec.section));
    }
  }
}

std::vector<const IniSection*> IniReader::SectionsOfKind(std::string_view aKind) const
{
  std::vector<const IniSection*> found;
  for (const IniSection& section : mIniFile.Sections()) {
    if (section.Kind() == aKind && IsValidName(section.InstanceName())) {
      found.push_back(&section);
    }
  }
  return found;
}

const IniSection* IniReader::FindSection(std::string_view aName) const
{
  const auto it = std::ranges::find(mIniFile.Sections(), aName, &IniSection::name);
  return it == mIniFile.Sections().end() ? nullptr : &*it;
}

const KeySpec* IniReader::FindSpec(const IniSection& aSection, const std::string& aKey) const
{
  const std::string kind = aSection.Kind();
  for (const KeySpec& spec : mKeySpecs) {
    if (spec.MatchesKey(aKey) && spec.Kind() == kind) {
      return &spec;
    }
  }
  return nullptr;
}

std::string IniReader::KnownSections() const
{
  std::string list;
  std::string last;
  for (const KeySpec& spec : mKeySpecs) {
    if (spec.section != last) {
      list += std::string(list.empty() ? "[" : ", [") + spec.section + "]";
    }
    last = spec.section;
  }
  return list;
}

std::string IniReader::KnownKeys(const std::string& aKind) const
{
  std::string list;
  for (const KeySpec& spec : mKeySpecs) {
    if (spec.Kind() == aKind) {
      list += (list.empty() ? "" : ", ") + std::string(spec.key);
    }
  }
  return list;
}

template<typename Parse>
auto IniReader::ReadNumber(const IniSection& aSection, const char* aKey, Parse aParse)
  -> decltype(aParse(std::string()))
{
  const IniEntry* entry = aSection.Find(aKey);
  const KeySpec* spec = FindSpec(aSection, aKey);
  if (!entry || !spec) {
    return std::nullopt;
  }
  const auto value = aParse(entry->value);
  using Value = std::remove_cvref_t<decltype(*value)>;
  if (!value || *value < static_cast<Value>(spec->min) || *value > static_cast<Value>(spec->max)) {
    AddValueError(aSection, *entry);
    return std::nullopt;
  }
  return value;
}

void IniReader::Read(const IniSection& aSection, const char* aKey, core::Duration& aTarget)
{
  const KeySpec* spec = FindSpec(aSection, aKey);
  const bool mayBeFraction = spec && spec->type == ValueType::FractionalDuration;
  const auto parse = [&](const std::string& aText) -> std::optional<std::int64_t> {
    const auto value = mayBeFraction ? ParseFractionalDuration(aText) : ParseDuration(aText);
    return value ? std::optional(value->count()) : std::nullopt;
  };
  if (const auto value = ReadNumber(aSection, aKey, parse)) {
    aTarget = core::Duration(*value);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, core::Bytes& aTarget)
{
  const auto parse = [](const std::string& aText) -> std::optional<std::int64_t> {
    const auto value = ParseSize(aText);
    return value ? std::optional(value->value) : std::nullopt;
  };
  if (const auto value = ReadNumber(aSection, aKey, parse)) {
    aTarget = core::Bytes{ *value };
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, std::uint64_t& aTarget)
{
  if (const auto value = ReadNumber(aSection, aKey, ParseCount)) {
    aTarget = static_cast<std::uint64_t>(*value);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, std::uint32_t& aTarget)
{
  if (const auto value = ReadNumber(aSection, aKey, ParseCount)) {
    aTarget = static_cast<std::uint32_t>(*value);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, double& aTarget)
{
  const KeySpec* spec = FindSpec(aSection, aKey);
  if (spec && spec->type == ValueType::Number) {
    aTarget = ReadNumber(aSection, aKey, ParseNumber).value_or(aTarget);
    return;
  }
  constexpr double kHundredths = 100.0;
  if (const auto value = ReadNumber(aSection, aKey, ParseHundredths)) {
    aTarget = static_cast<double>(*value) / kHundredths;
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, bool& aTarget)
{
  const IniEntry* entry = aSection.Find(aKey);
  if (!entry) {
    return;
  }
  if (const auto value = ParseYesNo(entry->value)) {
    aTarget = *value;
  } else {
    AddValueError(aSection, *entry);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, core::WallTime& aTarget)
{
  const IniEntry* entry = aSection.Find(aKey);
  if (!entry) {
    return;
  }
  if (const auto value = ParseTime(entry->value)) {
    aTarget = *value;
  } else {
    AddValueError(aSection, *entry);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, Endpoint& aTarget)
{
  const IniEntry* entry = aSection.Find(aKey);
  if (!entry) {
    return;
  }
  if (const auto value = ParseEndpoint(entry->value)) {
    aTarget = *value;
  } else {
    AddValueError(aSection, *entry);
  }
}

void IniReader::Read(const IniSection& aSection, const char* aKey, std::string& aTarget)
{
  const IniEntry* entry = aSection.Find(aKey);
  const KeySpec* spec = FindSpec(aSection, aKey);
  if (!entry || !spec) {
    return;
  }
  const bool valid =
    spec->type == ValueType::Text ? !entry->value.empty() : IsValidName(entry->value);
  if (valid) {
    aTarget = entry->value;
  } else {
    AddValueError(aSection, *entry);
  }
}

std::vector<std::string> IniReader::ReadNames(const IniSection& aSection, const char* aKey)
{
  const IniEntry* entry = aSection.Find(aKey);
  if (!entry) {
    return {};
  }
  std::vector<std::string> words = SplitWords(entry->value);
  const std::set<std::string> distinct(words.begin(), words.end());
  if (words.empty() || distinct.size() != words.size() ||
      !std::ranges::all_of(words, IsValidName)) {
    AddValueError(aSection, *entry);
    return {};
  }
  return words;
}

std::optional<std::size_t> IniReader::FindChoice(const IniSection& aSection, const char* aKey)
{
  const IniEntry* entry = aSection.Find(aKey);
  const KeySpec* spec = FindSpec(aSection, aKey);
  if (!entry || !spec) {
    return std::nullopt;
  }
  const std::vector<std::string> words = SplitWords(spec->choices);
  const auto it = std::ranges::find(words, entry->value);
  if (it == words.end()) {
    AddValueError(aSection, *entry);
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - words.begin());
}

void IniReader::AddValueError(const IniSection& aSection, const IniEntry& aEntry)
{
  const KeySpec* spec = FindSpec(aSection, aEntry.key);
  AddError(aSection, aEntry.key,
           "'" + aEntry.value +
             "' is not valid; write: " + (spec ? spec->DescribeValue() : "a known key"));
}

void IniReader::AddError(const IniSection& aSection, const std::string& aKey,
                         const std::string& aMessage)
{
  const IniEntry* entry = aSection.Find(aKey);
  const std::size_t line = entry ? entry->line : aSection.line;
  mErrors.push_back({ line, FormatLocation(aSection, aKey) + ": " + aMessage });
}

void IniReader::AddError(const std::string& aMessage)
{
  mErrors.push_back({ 1, aMessage });
}

core::Result<void> IniReader::ToResult() const
{
  if (mErrors.empty()) {
    return core::Success();
  }
  std::vector<IniError> errors = mErrors;
  std::ranges::stable_sort(errors, {}, &IniError::line);
  std::string message;
  for (const IniError& error : errors) {
    message += message.empty() ? "" : "\n";
    message += mFileName + ":" + std::to_string(error.line) + ": " + error.message;
  }
  return core::Fail(core::ErrorKind::InvalidSettings, message);
}

} // namespace cuminfield::process::settings
