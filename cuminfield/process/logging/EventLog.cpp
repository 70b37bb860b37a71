#include "cuminfield/process/logging/EventLog.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cuminfield::process::logging {

namespace {

settings::LogFormat sFormat = settings::LogFormat::KeyValue;
std::string sHost;

/// Capacity of the queue to the writing thread; when it is full, the oldest lines are dropped.
constexpr std::size_t kMaxQueuedLines = 8192;
constexpr std::chrono::seconds kFlushInterval{ 1 };

spdlog::level::level_enum ToSpdlogLevel(Level aLevel)
{
  switch (aLevel) {
    case Level::Debug:
      return spdlog::level::debug;
    case Level::Info:
      return spdlog::level::info;
    case Level::Warning:
      return spdlog::level::warn;
    case Level::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

} // namespace

void Initialize(const std::string& aLevel, settings::LogFormat aFormat, const core::HostId& aHost)
{
  sFormat = aFormat;
  sHost = aHost.Text();
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("cuminfield");
  logger->set_level(spdlog::level::from_str(aLevel));
  if (aFormat == settings::LogFormat::Json) {
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})",
                        spdlog::pattern_time_type::utc);
  } else {
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v", spdlog::pattern_time_type::utc);
  }
  logger->flush_on(spdlog::level::warn);
  spdlog::flush_every(kFlushInterval);
  spdlog::set_default_logger(logger);
}

std::uint64_t DroppedLineCount()
{
  const auto pool = spdlog::thread_pool();
  return pool ? pool->overrun_counter() : 0;
}

void ShutDown()
{
  spdlog::shutdown();
}

std::string FormatEvent(settings::LogFormat aFormat, std::string_view aEvent,
                        std::initializer_list<Field> aFields)
{
  const auto quoted = [](std::string_view aValue) {
    const nlohmann::json text = std::string(aValue);
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  };
  const bool json = aFormat == settings::LogFormat::Json;
  std::string line = json ? "\"event\":" + quoted(aEvent) : "event=" + std::string(aEvent);
  for (const Field& it : aFields) {
    if (json) {
      line += "," + quoted(it.name) + ":" + quoted(it.value);
      continue;
    }
    line += " " + std::string(it.name) + "=";
    line += NeedsQuotes(it.value) ? quoted(it.value) : it.value;
  }
  return line;
}

void Event(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields)
{
  const auto level = ToSpdlogLevel(aLevel);
  if (!spdlog::default_logger_raw()->should_log(level)) {
    return;
  }
  std::string line = FormatEvent(sFormat, aEvent, aFields);
  spdlog::default_logger_raw()->log(level, line);
}

} // namespace cuminfield::process::logging
