#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cuminfield::process::log {

/// Records which hosts a member without a leader has asked for the group, and what it last received
/// from each host. For display only; bounded in size. Tells a member that reaches nobody from one
/// that reaches hosts which name no leader.
class LeaderSearch
{
public:
  /// What is known of one host.
  struct Host
  {
    core::HostId host;
    std::optional<core::Duration> sinceAsked; ///< Nothing when it was not asked.
    std::optional<core::Duration> sinceHeard; ///< Nothing when it never sent a message.
    bool belongs = false;                     ///< By its last message, it holds state of the group.

    bool IsAsked() const;

    /// It has been asked and has sent something in the last seconds.
    bool IsAnswering() const;
  };

  /// Numbers of hosts.
  struct Summary
  {
    std::size_t asked = 0;
    std::size_t answering = 0; ///< Of the asked.
    std::size_t belonging = 0; ///< Of the answering.
  };

  void RecordAsked(const std::set<core::HostId>& aHosts, core::Instant aNow);
  void RecordHeard(const core::HostId& aHost, bool aBelongs, core::Instant aNow);

  /// The hosts that were asked or heard of lately.
  std::vector<Host> Hosts(core::Instant aNow) const;

  static Summary Summarize(const std::vector<Host>& aHosts);

private:
  struct Record
  {
    std::optional<core::Instant> askedAt;
    std::optional<core::Instant> heardAt;
    bool belongs = false;
  };

  Record& FindOrAdd(const core::HostId& aHost);

  std::map<core::HostId, Record> mRecords;
};

} // namespace cuminfield::process::log
