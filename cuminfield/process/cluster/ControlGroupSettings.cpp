#include "cuminfield/process/cluster/ControlGroupSettings.h"

namespace cuminfield::process::cluster {

namespace {

/// A host that starts cannot get the document in force while no leader is known, so a lost leader
/// must be replaced quickly. A round trip between regions takes 17 ms, a sync of a slow disk 30 ms.
constexpr core::Duration kElectionTimeoutMin = std::chrono::milliseconds(300);
constexpr core::Duration kElectionTimeoutMax = std::chrono::milliseconds(600);
constexpr core::Duration kHeartbeatInterval = std::chrono::milliseconds(75);
constexpr core::Duration kLeaseDuration = std::chrono::milliseconds(220);
constexpr core::Duration kAnnounceInterval = std::chrono::milliseconds(100);
constexpr core::Duration kResendInterval = std::chrono::milliseconds(250);

/// A host that is replaced no longer counts as lost 4 s after its successor's start, and it may
/// stop a second or more after that. Until then a leader must have been elected, if it led, and the
/// successor must vote in its place.
constexpr core::Duration kReplaceSilentAfter = std::chrono::milliseconds(1500);

} // namespace

log::LogGroupSettings MakeControlGroupSettings(std::uint32_t aVoterCount)
{
  log::LogGroupSettings settings;
  settings.log.openGroupVoters = aVoterCount;
  settings.log.electionTimeoutMin = kElectionTimeoutMin;
  settings.log.electionTimeoutMax = kElectionTimeoutMax;
  settings.log.heartbeatInterval = kHeartbeatInterval;
  settings.log.leaseDuration = kLeaseDuration;
  settings.log.announceInterval = kAnnounceInterval;
  settings.log.replaceSilentAfter = kReplaceSilentAfter;
  settings.client.resendTimeout = kResendInterval;
  return settings;
}

} // namespace cuminfield::process::cluster
