#include "cuminfield/process/host/ShowReport.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cuminfield::process::host {

namespace {

using nlohmann::json;

json MovesToJson(const state::proto::EnvironmentRecord& aRecord)
{
  json moves = json::array();
  for (const auto& it : aRecord.moves()) {
    std::string state = state::proto::MoveState_Name(it.state());
    constexpr std::string_view kPrefix = "MOVE_STATE_";
    state = state.starts_with(kPrefix) ? state.substr(kPrefix.size()) : state;
    for (char& character : state) {
      character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    moves.push_back({ { "move", it.move() },
                      { "state", state },
                      { "share", it.share_per_mille() / 1000.0 },
                      { "reason", it.reason() } });
  }
  return moves;
}

json UpstreamsToJson(const membership::UpstreamDirectory& aDirectory)
{
  json upstreams = json::array();
  for (const auto& it : aDirectory.List()) {
    json line{ { "id", it.announcement.id.Text() },
               { "service", it.announcement.service.Text() },
               { "version", it.announcement.version.Text() },
               { "data_centre", it.announcement.dataCentre.Text() },
               { "up", it.available },
               { "direct", it.announcedLocally } };
    if (it.load) {
      line["running"] = it.load->running;
      line["waiting"] = it.load->waiting;
    }
    upstreams.push_back(std::move(line));
  }
  return upstreams;
}

json TiersToJson(const metrics::Metrics& aMetrics,
                 const version::document::DocumentIndex* aDocument)
{
  json tiers = json::array();
  for (const auto& [rank, counts] : aMetrics.CountsByTier()) {
    std::string name = std::to_string(rank);
    if (aDocument && rank < aDocument->Content().tiers.size()) {
      name = aDocument->Content().tiers[rank].id.Text();
    }
    tiers.push_back({ { "tier", name },
                      { "ended", counts.ended },
                      { "in_time", counts.withinTargets },
                      { "not_run", counts.notRun },
                      { "unknown", counts.unknown },
                      { "broken", counts.aborted },
                      { "left", counts.callerDisconnected } });
  }
  return tiers;
}

json GroupsToJson(const Groups& aGroups)
{
  json groups = json::array();
  for (const auto& [id, entry] : aGroups.AllGroups()) {
    json line{ { "group", id.Text() }, { "leader", entry.Group().Leader().Text() } };
    if (entry.voter) {
      line["role"] = log::ToString(entry.voter->CurrentRole());
      line["term"] = entry.voter->CurrentTerm().Value();
      line["committed"] = entry.voter->CommitIndex().Value();
      line["applied"] = entry.voter->AppliedIndex().Value();
      json voters = json::array();
      for (const auto& it : entry.voter->Voters().voters) {
        voters.push_back(it.host.Text());
      }
      line["voters"] = voters;
    } else {
      line["role"] = "outside";
    }
    groups.push_back(std::move(line));
  }
  return groups;
}

} // namespace

ShowReport::ShowReport(Sources aSources)
  : mSources(std::move(aSources))
{
}

std::string ShowReport::ToJson() const
{
  const settings::HostSettings& settings = mSources.settings;
  json body{ { "host", settings.id.Text() },
             { "data_centre", settings.dataCentre.Text() },
             { "environment", settings.environment.Text() },
             { "version", CUMINFIELD_VERSION },
             { "stopping", mSources.stopping },
             { "in_flight", mSources.inFlight },
             { "peer_bytes_sent", mSources.links.BytesSent().value },
             { "peer_bytes_received", mSources.links.BytesReceived().value } };
  body["revision"] = mSources.document ? mSources.document->Revision().Value() : 0;
  json revisionsElsewhere = json::object();
  for (const auto& [host, revision] : mSources.distributor.GetPeerRevisions(settings.environment)) {
    revisionsElsewhere[host.Text()] = revision;
  }
  body["revisions_elsewhere"] = revisionsElsewhere;
  const auto* record = mSources.distributor.FindRecord(settings.environment);
  body["moves"] = record ? MovesToJson(*record) : json::array();
  body["upstreams"] = UpstreamsToJson(mSources.directory);
  body["tiers"] = TiersToJson(mSources.metrics, mSources.document.get());
  body["groups"] = GroupsToJson(mSources.groups);
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace cuminfield::process::host
