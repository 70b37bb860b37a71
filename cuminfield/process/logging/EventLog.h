#pragma once

#include "cuminfield/process/settings/HostSettings.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cuminfield::process::logging {

/// A named value of a log event.
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

/// Initializes the process's log: one event per line on standard output, as key=value or JSON. A
/// separate thread writes the lines, so that a slow reader of the output blocks no caller; when its
/// queue is full, the oldest lines are dropped and counted.
void Initialize(const std::string& aLevel, settings::LogFormat aFormat, const core::HostId& aHost);

/// Lines dropped since Initialize.
std::uint64_t DroppedLineCount();

/// Writes the queued lines and stops the log's thread. Call before the process exits.
void ShutDown();

/// Logs an event with its fields. Event and field names are stable, as external tools parse them.
void Event(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields);

/// Formats an event as a log line without time and level.
std::string FormatEvent(settings::LogFormat aFormat, std::string_view aEvent,
                        std::initializer_list<Field> aFields);

} // namespace cuminfield::process::logging
