#include "cuminfield/process/settings/SettingsReference.h"

#include <array>

namespace cuminfield::process::settings {

namespace {

constexpr std::int64_t kMillisecond = 1'000;
constexpr std::int64_t kSecond = 1'000 * kMillisecond;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kKiB = 1'024;
constexpr std::int64_t kMiB = 1'024 * kKiB;

constexpr std::array kKeySpecs = {
  KeySpec{ .section = "host",
           .key = "id",
           .type = ValueType::Name,
           .defaultValue = "required",
           .description = "This host's name, unique over all hosts." },
  KeySpec{ .section = "host",
           .key = "data-centre",
           .type = ValueType::Name,
           .defaultValue = "required",
           .description = "Data centre that this host stands in." },
  KeySpec{ .section = "host",
           .key = "region",
           .type = ValueType::Name,
           .defaultValue = "required",
           .description = "Region of the data centre; traffic between regions is paid by volume." },
  KeySpec{ .section = "host",
           .key = "environment",
           .type = ValueType::Name,
           .defaultValue = "required",
           .description = "Environment whose document this host serves." },
  KeySpec{ .section = "host",
           .key = "data-folder",
           .type = ValueType::Text,
           .description = "Folder for the state of the groups that this host votes in." },
  KeySpec{ .section = "host",
           .key = "seed",
           .type = ValueType::Count,
           .defaultValue = "0",
           .description =
             "Seed of this host's randomness; 0 takes one from the operating system." },
  KeySpec{ .section = "listen",
           .key = "callers",
           .type = ValueType::Endpoint,
           .defaultValue = "required",
           .description = "Where callers send requests." },
  KeySpec{ .section = "listen",
           .key = "control",
           .type = ValueType::Endpoint,
           .defaultValue = "required",
           .description = "Where upstreams announce themselves and operators read and write." },
  KeySpec{ .section = "listen",
           .key = "peers",
           .type = ValueType::Endpoint,
           .defaultValue = "required",
           .description = "Where the other hosts connect." },
  KeySpec{ .section = "peers",
           .key = "NAME",
           .type = ValueType::Peer,
           .description = "Another host: where it listens for peers, and its data centre." },
  KeySpec{ .section = "groups",
           .key = "NAME",
           .type = ValueType::NameList,
           .description =
             "Voters of the group `documents` (required) or of a data centre's group." },
  KeySpec{ .section = "limits",
           .key = "body",
           .type = ValueType::Size,
           .defaultValue = "4MiB",
           .description = "Largest request body; a larger one is refused with 413.",
           .min = kKiB,
           .max = 256 * kMiB },
  KeySpec{ .section = "limits",
           .key = "caller-buffer",
           .type = ValueType::Size,
           .defaultValue = "256KiB",
           .description = "Unsent answer bytes of one caller above which its upstream waits.",
           .min = kKiB,
           .max = 64 * kMiB },
  KeySpec{ .section = "limits",
           .key = "callers",
           .type = ValueType::Count,
           .defaultValue = "4000",
           .description = "Open caller connections above which new ones are refused with 503.",
           .min = 1,
           .max = 100'000 },
  KeySpec{ .section = "limits",
           .key = "caller-idle",
           .type = ValueType::Duration,
           .defaultValue = "60s",
           .description = "A caller connection that sends nothing for this long is closed.",
           .min = kSecond,
           .max = kHour },
  KeySpec{ .section = "limits",
           .key = "upstream-connect",
           .type = ValueType::Duration,
           .defaultValue = "1s",
           .description = "A connection to an upstream that takes longer has failed.",
           .min = 10 * kMillisecond,
           .max = kMinute },
  KeySpec{ .section = "limits",
           .key = "upstream-stall",
           .type = ValueType::Duration,
           .defaultValue = "30s",
           .description = "An upstream silent for longer during an answer has failed.",
           .min = 100 * kMillisecond,
           .max = kHour },
  KeySpec{ .section = "limits",
           .key = "shutdown",
           .type = ValueType::Duration,
           .defaultValue = "2m",
           .description =
             "After SIGTERM, requests still in flight after this are cut and reported.",
           .min = 0,
           .max = 24 * kHour },
  KeySpec{ .section = "limits",
           .key = "upstream-lease",
           .type = ValueType::Duration,
           .defaultValue = "2s",
           .description = "An upstream not heard of for this long gets no new work.",
           .min = 100 * kMillisecond,
           .max = kMinute },
  KeySpec{ .section = "log",
           .key = "level",
           .type = ValueType::Choice,
           .defaultValue = "info",
           .description = "Least severity that is logged.",
           .choices = "trace debug info warn error" },
  KeySpec{ .section = "log",
           .key = "format",
           .type = ValueType::Choice,
           .defaultValue = "key-value",
           .description = "Form of a log line.",
           .choices = "key-value json" },
};

} // namespace

std::span<const KeySpec> SettingsReference()
{
  return kKeySpecs;
}

} // namespace cuminfield::process::settings
