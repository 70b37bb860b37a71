#pragma once

#include "cuminfield/request/Upstream.h"
#include "cuminfield/request/placement/AnswerWindow.h"
#include "cuminfield/request/placement/RendezvousSet.h"

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::placement {

/// Settings of UpstreamPacer.
struct UpstreamPacerSettings
{
  /// Requests that all hosts together may send to a cold upstream in one second: the service's
  /// rate times coldOvershoot, plus coldSlack.
  double coldOvershoot = 1;
  double coldSlack = 0;
  /// Time between two requests of this host to one cold upstream: a second, and a margin for
  /// requests that take less time to arrive than the ones before.
  core::Duration coldSendInterval = std::chrono::milliseconds(1050);
  /// Nothing is sent to cold upstreams for this long after the first list of hosts. When all hosts
  /// start at once, the first lists are short, and in a short list most hosts are among the first.
  /// A host that restarts has forgotten what it sent in the second before.
  core::Duration membersSettleTime = std::chrono::milliseconds(1050);
  /// Heartbeats that become known this soon after a failure was noticed may have been sent before
  /// it: reports, exchanges and feeds take up to 250 ms.
  core::Duration noticeWindow = std::chrono::milliseconds(250);
  /// Longer cold times are unreadable.
  core::Duration maxColdTime = std::chrono::milliseconds(600'000);
  /// An upstream that is no longer listed is forgotten after this long.
  core::Duration retention = std::chrono::minutes(1);
  /// Slow start ends at a host if more other hosts than this multiple of the window use the
  /// upstream.
  double confirmingFactor = 2;
  AnswerWindowSettings window;
};

/// What a service allows its upstreams to be sent while they start.
struct PacedService
{
  double coldPerSecond = 0; ///< Requests that a cold upstream tolerates; 0: no limit.
  core::Duration coldStart = std::chrono::seconds(3);

  bool operator==(const PacedService&) const = default;
};

/// Why an upstream is paced.
enum class PaceReason
{
  Appeared, ///< New to this host, listed again, or restarted.
  Returned, ///< It was out of reach, silent, or suspected by other hosts.
  Released, ///< The evacuation of its data centre was revoked.
  Reported, ///< It says that it is cold.
};

const char* ToString(PaceReason aReason);

/// Decides whether this host may send a request to an upstream that is cold, or that has just
/// started or returned. All hosts together keep to the bound of a cold upstream without asking
/// anyone: the first hosts by a hash of host and upstream send one request per second each. In slow
/// start, the first hosts have one request in flight each, and their number grows with the
/// responses that arrive as predicted at any host.
///
/// An upstream that was out of reach may have restarted, and dozens of hosts find out that it
/// answers before its first heartbeat arrives. It counts as cold until a heartbeat sent later says
/// otherwise. Hosts know old sequence numbers only, as heartbeats are not passed on to them. The
/// latest one known to the control host just after the failure was noticed is therefore the mark,
/// and only a later one counts.
///
/// Knows all upstreams, but paces those of the services in SetServices() only. Does no I/O.
class UpstreamPacer
{
public:
  explicit UpstreamPacer(const UpstreamPacerSettings& aSettings);
  UpstreamPacer(const UpstreamPacer&) = delete;
  UpstreamPacer& operator=(const UpstreamPacer&) = delete;

  void SetServices(std::map<core::ServiceId, PacedService> aServices);
  bool IsPacedService(const core::ServiceId& aService) const { return FindRule(aService); }

  /// Sets the list of known hosts; aSelf is this host.
  void SetMembers(std::uint32_t aSelf, std::vector<std::uint32_t> aMembers, core::Instant aNow);
  std::size_t MemberCount() const { return mMembers.Size(); }

  /// An upstream is listed, for the first time, again, or with changed properties.
  void OnAppeared(const UpstreamAnnouncement& aUpstream, core::Instant aNow);

  /// The upstream was in use by other hosts before this one started, and its last heartbeat is
  /// recent. It is no longer paced, unless it was found out of reach.
  void OnFoundInUse(const core::UpstreamId& aUpstream);

  /// The upstream is no longer listed.
  void OnRemoved(const core::UpstreamId& aUpstream, core::Instant aNow);

  /// The upstream was found out of reach or unresponsive. Called when that is noticed and again
  /// while it lasts, since the first sign of its return is a response to a request.
  void OnReturned(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                  core::Instant aNow);

  /// The evacuation of its data centre was revoked.
  void OnReleased(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                  core::Instant aNow);

  /// Other hosts receive nothing from the upstream, or do again. It counts as cold meanwhile, and
  /// as returned when they do.
  void SetSuspected(const core::UpstreamId& aUpstream, bool aIsSuspected, core::Instant aNow);

  /// A heartbeat says that the upstream stays cold for aLeft. Returns true if it is newer than
  /// anything known, and later than the last failure.
  bool OnColdTime(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                  std::uint64_t aSequence, core::Duration aLeft, core::Instant aNow);

  /// A response to a request sent at aSentAt says the same.
  void OnColdTimeInResponse(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                            core::Duration aLeft, core::Instant aSentAt, core::Instant aNow);

  /// A response arrived at this host as predicted, or failed or took more than twice as long.
  void OnAnswer(const core::UpstreamId& aUpstream, bool aAsPredicted, core::Instant aNow);

  /// Sets the decayed sums of the other hosts' responses.
  void SetRemoteAnswers(const core::UpstreamId& aUpstream, double aGood, double aBad,
                        core::Instant aNow);

  /// Sets how many other hosts received data from the upstream just now. In slow start these are
  /// about as many as the window; if they are far more, they use it in full, and only this host had
  /// lost it.
  void SetConfirmingHosts(const core::UpstreamId& aUpstream, std::uint32_t aHosts);

  /// This host's decayed sums, for the other hosts; both 0 if the upstream is not in slow start.
  struct AnswerSums
  {
    double good = 0;
    double bad = 0;
  };
  AnswerSums LocalAnswers(const core::UpstreamId& aUpstream, core::Instant aNow) const;

  enum class Verdict
  {
    Unpaced, ///< It may be used like any other, until one of the calls above.
    Allowed,
    Denied,
  };
  Verdict Check(const core::UpstreamId& aUpstream, std::uint32_t aLocalInFlight,
                core::Instant aNow);

  bool MaySend(const core::UpstreamId& aUpstream, std::uint32_t aLocalInFlight, core::Instant aNow)
  {
    return Check(aUpstream, aLocalInFlight, aNow) != Verdict::Denied;
  }

  void RecordSend(const core::UpstreamId& aUpstream, core::Instant aNow);

  /// An upstream whose next heartbeat this host waits for.
  struct AwaitedHeartbeat
  {
    std::uint32_t upstream = 0;     ///< Hash of its id.
    std::uint64_t fromSequence = 0; ///< 0: the latest one, whatever its number.
  };
  /// Returns at most aMax, others with each call.
  std::vector<AwaitedHeartbeat> AwaitedHeartbeats(std::size_t aMax, core::Instant aNow);

  /// Id of a known upstream by its hash, or null.
  const core::UpstreamId* FindByHash(std::uint32_t aHash) const;

  struct Counts
  {
    std::size_t cold = 0;
    std::size_t inSlowStart = 0; ///< And not cold.
  };
  Counts Count(core::Instant aNow) const;

  /// Emitted when an upstream of a paced service becomes paced.
  sigc::signal<void(const core::UpstreamId&, PaceReason)>& OnPaced() { return mOnPaced; }

  /// Emitted when this host finds that it is no longer paced, with the time since it was cold or
  /// returned.
  sigc::signal<void(const core::UpstreamId&, core::Duration)>& OnUnpaced() { return mOnUnpaced; }

private:
  struct State
  {
    explicit State(const AnswerWindowSettings& aSettings)
      : window(aSettings)
    {
    }

    core::Incarnation incarnation;
    core::ServiceId service;
    const PacedService* rule = nullptr; ///< Null if its service is not paced.
    std::uint32_t hash = 0;
    std::uint32_t slots = 1;
    bool isListed = false;
    bool isFirstSight = true; ///< Nothing happened since it was listed for the first time.
    core::Instant removedAt{};

    bool isDoubted = false;       ///< Cold until a later heartbeat.
    bool isSuspected = false;     ///< By other hosts, now.
    core::Instant coldUntil{};    ///< As the upstream said.
    bool isUnreadable = false;    ///< The last cold time could not be read.
    bool needsMark = false;       ///< A heartbeat must be later than the mark to count.
    bool isMarkKnown = false;     ///< The control host has told its latest heartbeat.
    core::Instant noticedAt{};    ///< When the last failure was noticed.
    std::uint64_t countsFrom = 0; ///< Sequence of the first heartbeat that counts.

    AnswerWindow window;
    std::uint32_t confirmingHosts = 0;
    bool isPaced = false; ///< As last told by the signals.
    core::Instant pacedSince{};
    std::optional<core::Instant> lastSentAt;
    bool isGranted = false; ///< The last check allowed a request, which was not sent yet.
    std::size_t rank = 0;   ///< In the list of hosts of this generation.
    std::uint64_t rankGeneration = 0;
  };

  State* Find(const core::UpstreamId& aUpstream);
  const State* Find(const core::UpstreamId& aUpstream) const;
  const PacedService* FindRule(const core::ServiceId& aService) const;
  void Doubt(const core::UpstreamId& aUpstream, State& aState, PaceReason aReason,
             core::Instant aNow);
  void Restart(const core::UpstreamId& aUpstream, State& aState, core::Incarnation aIncarnation,
               core::Instant aNow);
  void StartPace(const core::UpstreamId& aUpstream, State& aState, PaceReason aReason,
                 core::Instant aNow);
  bool IsMarkOpen(const State& aState, core::Instant aNow) const;
  bool IsInUseByOthers(const State& aState, core::Instant aNow) const;
  void ApplyColdTime(const core::UpstreamId& aUpstream, State& aState, core::Duration aLeft,
                     core::Instant aNow);
  void ExtendColdTime(const core::UpstreamId& aUpstream, State& aState, core::Duration aLeft,
                      core::Instant aNow);
  static bool IsCold(const State& aState, core::Instant aNow);
  static bool IsColdLimited(const State& aState, core::Instant aNow);
  core::Duration SendInterval(const PacedService& aRule) const;
  std::size_t ColdSenderCount(const PacedService& aRule) const;
  std::size_t RankOf(State& aState) const;
  bool MaySendCold(State& aState, core::Instant aNow) const;
  bool MaySendInSlowStart(State& aState, std::uint32_t aLocalInFlight, core::Instant aNow) const;

  UpstreamPacerSettings mSettings;
  std::map<core::ServiceId, PacedService> mServices;
  RendezvousSet mMembers;
  core::Instant mMembersSettledAt{};
  std::unordered_map<core::UpstreamId, State> mUpstreams;
  std::unordered_map<std::uint32_t, core::UpstreamId> mIdsByHash;
  std::size_t mAwaitedOffset = 0;
  sigc::signal<void(const core::UpstreamId&, PaceReason)> mOnPaced;
  sigc::signal<void(const core::UpstreamId&, core::Duration)> mOnUnpaced;
};

} // namespace cuminfield::request::placement
