#pragma once

#include "cuminfield/process/settings/HostSettings.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cuminfield::process::logging {

/// One field of a log line.
struct Field
{
  Field(std::string_view aName, std::string_view aValue)
    : name(aName)
    , value(aValue)
  {
  }
  template<std::integral Value>
  Field(std::string_view aName, Value aValue)
    : name(aName)
    , value(std::to_string(aValue))
  {
  }

  std::string_view name;
  std::string value;
};

enum class Level
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Sets the process's log up: standard output, one event a line, key=value or JSON. Lines are
/// written by a thread of their own, so that nothing waits for whoever reads them; when it falls
/// behind, the oldest lines are dropped and counted.
void SetUp(const std::string& aLevel, settings::LogFormat aFormat, const core::HostId& aHost);

/// Lines dropped so far.
std::uint64_t Dropped();

/// Writes what is left and ends the log's thread; before the process ends.
void TearDown();

/// Writes one event with its fields. Names of events and fields are stable: tools read them.
void Event(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields);

/// One line of the log as it is written, without its time and level.
std::string Format(settings::LogFormat aFormat, std::string_view aEvent,
                   std::initializer_list<Field> aFields);

} // namespace cuminfield::process::logging
