#include "cuminfield/process/command/ShowTable.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace cuminfield::process::command {

namespace {

using nlohmann::json;

std::string FormatCell(const json& aRow, const std::string& aColumn)
{
  const auto it = aRow.find(aColumn);
  if (it == aRow.end() || it->is_null()) {
    return "-";
  }
  if (it->is_string()) {
    return it->get<std::string>();
  }
  if (it->is_boolean()) {
    return it->get<bool>() ? "yes" : "no";
  }
  return it->dump();
}

void AppendTable(std::string& aText, const std::string& aTitle, const json& aRows,
                 const std::vector<std::string>& aColumns)
{
  fmt::format_to(std::back_inserter(aText), "\n{}\n", aTitle);
  if (!aRows.is_array() || aRows.empty()) {
    aText += "  none\n";
    return;
  }
  for (const json& row : aRows) {
    aText += " ";
    for (const std::string& column : aColumns) {
      fmt::format_to(std::back_inserter(aText), " {}={}", column, FormatCell(row, column));
    }
    aText += "\n";
  }
}

} // namespace

std::string FormatShowTables(const std::string& aJson)
{
  json body = json::parse(aJson, nullptr, false);
  if (!body.is_object()) {
    return {};
  }
  std::string text;
  fmt::format_to(std::back_inserter(text),
                 "host {} in {} serves {} at revision {}, {} requests in flight{}\n",
                 FormatCell(body, "host"), FormatCell(body, "data_centre"),
                 FormatCell(body, "environment"), FormatCell(body, "revision"),
                 FormatCell(body, "in_flight"), body.value("stopping", false) ? ", stopping" : "");
  json revisions = json::array();
  const json elsewhere = body.value("revisions_elsewhere", json::object());
  for (const auto& [host, revision] : elsewhere.items()) {
    revisions.push_back({ { "host", host }, { "revision", revision } });
  }
  AppendTable(text, "revisions elsewhere", revisions, { "host", "revision" });
  AppendTable(text, "moves", body["moves"], { "move", "state", "share", "reason" });
  AppendTable(text, "upstreams", body["upstreams"],
              { "id", "service", "version", "data_centre", "up", "running", "waiting" });
  AppendTable(text, "tiers", body["tiers"],
              { "tier", "ended", "in_time", "not_run", "unknown", "broken", "left" });
  AppendTable(text, "groups", body["groups"],
              { "group", "role", "leader", "term", "committed", "applied", "voters" });
  return text;
}

} // namespace cuminfield::process::command
