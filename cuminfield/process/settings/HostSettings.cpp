#include "cuminfield/process/settings/HostSettings.h"

#include "cuminfield/core/TextFile.h"
#include "cuminfield/process/settings/IniReader.h"
#include "cuminfield/process/settings/LogSection.h"
#include "cuminfield/process/settings/SettingsReference.h"
#include "cuminfield/process/settings/Values.h"

#include <algorithm>
#include <set>

namespace cuminfield::process::settings {

namespace {

constexpr const char* kDocumentsGroup = "documents";

void ReadHostSection(IniReader& aReader, HostSettings& aSettings)
{
  const IniSection* host = aReader.FindSection("host");
  if (!host) {
    return;
  }
  aReader.Read(*host, "id", aSettings.id);
  aReader.Read(*host, "data-centre", aSettings.dataCentre);
  aReader.Read(*host, "region", aSettings.region);
  aReader.Read(*host, "environment", aSettings.environment);
  aReader.Read(*host, "data-folder", aSettings.dataFolder);
  aReader.Read(*host, "seed", aSettings.seed);
}

void ReadListenSection(IniReader& aReader, HostSettings& aSettings)
{
  const IniSection* listen = aReader.FindSection("listen");
  if (!listen) {
    return;
  }
  aReader.Read(*listen, "callers", aSettings.callerEndpoint);
  aReader.Read(*listen, "control", aSettings.controlEndpoint);
  aReader.Read(*listen, "peers", aSettings.peerEndpoint);
  if (aSettings.controlEndpoint.port != 0 &&
      aSettings.controlEndpoint == aSettings.callerEndpoint) {
    aReader.AddError(*listen, "control", "same address as callers; give it a port of its own");
  }
  const Endpoint& peers = aSettings.peerEndpoint;
  if (peers.port != 0 &&
      (peers == aSettings.callerEndpoint || peers == aSettings.controlEndpoint)) {
    aReader.AddError(*listen, "peers", "same address as another one; give it a port of its own");
  }
}

/// Parses a peer such as `127.0.0.1:7302@gent-a`; the id stays empty.
std::optional<PeerSettings> ParsePeer(const std::string& aText)
{
  const std::size_t separator = aText.find('@');
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  const auto endpoint = ParseEndpoint(aText.substr(0, separator));
  const std::string dataCentre = aText.substr(separator + 1);
  if (!endpoint || !IsValidName(dataCentre)) {
    return std::nullopt;
  }
  return PeerSettings{ .id = {},
                       .endpoint = *endpoint,
                       .dataCentre = core::DataCentreId(dataCentre) };
}

void ReadPeersSection(IniReader& aReader, HostSettings& aSettings)
{
  const IniSection* section = aReader.FindSection("peers");
  if (!section) {
    return;
  }
  std::set<Endpoint> usedEndpoints = { aSettings.peerEndpoint };
  for (const IniEntry& entry : section->entries) {
    std::optional<PeerSettings> peer = ParsePeer(entry.value);
    if (!peer) {
      aReader.AddError(*section, entry.key,
                       "'" + entry.value + "' is not a peer; write it as 127.0.0.1:7302@gent-a");
      continue;
    }
    peer->id = core::HostId(entry.key);
    if (peer->id == aSettings.id) {
      aReader.AddError(*section, entry.key, "is this host itself; remove it");
    }
    if (!usedEndpoints.insert(peer->endpoint).second) {
      aReader.AddError(*section, entry.key, "address of another host; give each host its own");
    }
    aSettings.peers.push_back(std::move(*peer));
  }
}

bool IsKnownHost(const HostSettings& aSettings, const core::HostId& aId)
{
  return aId == aSettings.id ||
         std::ranges::find(aSettings.peers, aId, &PeerSettings::id) != aSettings.peers.end();
}

bool IsKnownDataCentre(const HostSettings& aSettings, const std::string& aName)
{
  const core::DataCentreId id(aName);
  return id == aSettings.dataCentre ||
         std::ranges::find(aSettings.peers, id, &PeerSettings::dataCentre) != aSettings.peers.end();
}

void CheckVoters(IniReader& aReader, const IniSection& aSection, const HostSettings& aSettings,
                 const GroupSettings& aGroup)
{
  const std::string& name = aGroup.id.Text();
  for (const core::HostId& voter : aGroup.voters) {
    if (!IsKnownHost(aSettings, voter)) {
      aReader.AddError(aSection, name,
                       "voter '" + voter.Text() + "' is not a host; add it under [peers]");
    }
    if (voter == aSettings.id && !aSettings.dataFolder) {
      aReader.AddError(aSection, name,
                       "this host is a voter but has no data folder; set [host] data-folder");
    }
  }
}

void ReadGroupsSection(IniReader& aReader, HostSettings& aSettings)
{
  const IniSection* section = aReader.FindSection("groups");
  if (!section || !section->Find(kDocumentsGroup)) {
    aReader.AddError("[groups] documents: missing; add `documents = ` with its voters");
  }
  if (!section) {
    return;
  }
  for (const IniEntry& entry : section->entries) {
    GroupSettings group{ .id = core::GroupId(entry.key), .voters = {} };
    aReader.Read(*section, entry.key.c_str(), group.voters);
    if (entry.key != kDocumentsGroup && !IsKnownDataCentre(aSettings, entry.key)) {
      aReader.AddError(*section, entry.key,
                       "is no data centre of this host or a peer; name the group after one");
    }
    CheckVoters(aReader, *section, aSettings, group);
    aSettings.groups.push_back(std::move(group));
  }
}

void ReadLimitsSection(IniReader& aReader, HostSettings& aSettings)
{
  const IniSection* limits = aReader.FindSection("limits");
  if (!limits) {
    return;
  }
  aReader.Read(*limits, "body", aSettings.maxRequestBody);
  aReader.Read(*limits, "caller-buffer", aSettings.maxCallerBuffer);
  aReader.Read(*limits, "callers", aSettings.maxCallerConnections);
  aReader.Read(*limits, "caller-idle", aSettings.callerIdleTimeout);
  aReader.Read(*limits, "upstream-connect", aSettings.upstreamConnectTimeout);
  aReader.Read(*limits, "upstream-stall", aSettings.upstreamStallTimeout);
  aReader.Read(*limits, "shutdown", aSettings.shutdownTimeout);
  aReader.Read(*limits, "upstream-lease", aSettings.upstreamLeaseDuration);
}

} // namespace

core::Result<HostSettings> LoadHostSettings(const std::string& aPath)
{
  const auto text = core::ReadTextFile(aPath);
  if (!text) {
    return text.error();
  }
  return ParseHostSettings(text.value(), aPath);
}

core::Result<HostSettings> ParseHostSettings(const std::string& aText, const std::string& aName)
{
  IniReader reader(aText, aName, SettingsReference());
  HostSettings settings;
  ReadHostSection(reader, settings);
  ReadListenSection(reader, settings);
  ReadPeersSection(reader, settings);
  ReadGroupsSection(reader, settings);
  ReadLimitsSection(reader, settings);
  ReadLogSection(reader, settings.logLevel, settings.logFormat);
  const core::Result<void> result = reader.ToResult();
  if (!result) {
    return result.error();
  }
  return settings;
}

} // namespace cuminfield::process::settings
