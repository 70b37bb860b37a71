#include "UnitTests/request/placement/PacedHosts.h"

#include <algorithm>

namespace cuminfield::unit_tests {

using namespace request::placement;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kStep = 5ms;
constexpr core::Duration kReportInterval = 50ms;
constexpr core::Duration kHeartbeatInterval = 1200ms;
constexpr core::Duration kPredicted = 50ms;
constexpr core::Incarnation kIncarnation(1);

std::uint32_t MemberOf(std::size_t aHost)
{
  return RendezvousSet::HashOf("10.0.0." + std::to_string(aHost));
}

} // namespace

const core::UpstreamId PacedHosts::kUpstream("engine-1");

PacedHosts::PacedHosts(const Options& aOptions)
  : mOptions(aOptions)
  , mHeartbeatDue(mNow)
{
  request::UpstreamAnnouncement upstream;
  upstream.id = kUpstream;
  upstream.incarnation = kIncarnation;
  upstream.service = core::ServiceId("s");
  upstream.slots = aOptions.slots;
  for (std::size_t n = 0; n < aOptions.hosts; ++n) {
    mHosts.push_back(std::make_unique<Host>(
      UpstreamPacerSettings{ .coldOvershoot = 1.5, .coldSlack = 5, .window = {} }));
    mHosts.back()->pacer.SetServices({ { upstream.service, { mOptions.coldPerSecond } } });
    mHosts.back()->pacer.OnAppeared(upstream, mNow);
  }
}

void PacedHosts::SetMembersAt(std::size_t aHost, std::size_t aFirst, std::size_t aEnd)
{
  std::vector<std::uint32_t> members;
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    members.push_back(MemberOf(n));
  }
  mHosts[aHost]->pacer.SetMembers(MemberOf(aHost), members, mNow);
}

void PacedHosts::SetMembers(std::size_t aFirst, std::size_t aEnd)
{
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    SetMembersAt(n, aFirst, aEnd);
  }
}

void PacedHosts::RunFor(core::Duration aDuration)
{
  for (const core::Instant end = mNow + aDuration; mNow < end; mNow += kStep) {
    Step();
  }
}

void PacedHosts::Step()
{
  for (auto& host : mHosts) {
    Serve(*host);
  }
  if (mNow.time_since_epoch() % kReportInterval == core::Duration::zero()) {
    ExchangeReports();
    DeliverHeartbeats();
  }
  for (auto& host : mHosts) {
    // Without a pace, a host takes its part of the slots that were free when it heard of them.
    const std::size_t known = std::max(mKnownInFlight, host->requests.size());
    const double takenShare =
      known >= mOptions.slots
        ? 0
        : 0.1 * static_cast<double>(mOptions.slots - known) / static_cast<double>(mHosts.size());
    const auto inFlight = static_cast<std::uint32_t>(host->requests.size());
    const auto verdict = host->pacer.Check(kUpstream, inFlight, mNow);
    if (mNow >= host->ejectedUntil &&
        (verdict == UpstreamPacer::Verdict::Allowed ||
         (verdict == UpstreamPacer::Verdict::Unpaced && mRandom.Chance(takenShare)))) {
      Send(*host);
    }
  }
}

void PacedHosts::Serve(Host& aHost)
{
  for (Request& it : aHost.requests) {
    if (!isUp) {
      it.endsAt = mNow; // Broken off.
    } else if (!it.isAnswered && mNow >= it.firstEventAt) {
      it.isAnswered = true;
      aHost.suspects = false;
      aHost.pacer.OnAnswer(kUpstream, !it.isSlow, mNow);
    }
  }
  std::erase_if(aHost.requests, [&](const Request& aRequest) { return mNow >= aRequest.endsAt; });
}

void PacedHosts::Send(Host& aHost)
{
  aHost.pacer.RecordSend(kUpstream, mNow);
  if (!isUp) {
    aHost.suspects = true;
    aHost.ejectedUntil = mNow + 400ms;
    aHost.pacer.OnReturned(kUpstream, kIncarnation, mNow);
    return;
  }
  const double factor = slowness();
  const core::Duration transit = core::Scaled(20ms, mRandom.Uniform());
  mArrivals.push_back(mNow + transit);
  aHost.requests.push_back({ .firstEventAt = mNow + core::Scaled(kPredicted, factor) + transit,
                             .endsAt = mNow + mOptions.streamDuration + transit,
                             .isSlow = factor > 2 });
}

void PacedHosts::ExchangeReports()
{
  Report report{ .at = mNow, .sums = {}, .inFlight = InFlight() };
  std::size_t suspecting = 0;
  std::size_t confirming = 0;
  for (auto& host : mHosts) {
    report.sums.push_back(host->pacer.LocalAnswers(kUpstream, mNow));
    suspecting += host->suspects ? 1 : 0;
    confirming += !host->requests.empty() && host->requests.front().isAnswered ? 1 : 0;
  }
  report.isSuspected = suspecting > confirming;
  mReports.push_back(std::move(report));
  while (mReports.size() > 1 && mReports[1].at <= mNow - mOptions.reportDelay) {
    mReports.pop_front();
  }
  const Report& known = mReports.front();
  if (known.at > mNow - mOptions.reportDelay) {
    return;
  }
  UpstreamPacer::AnswerSums all;
  for (const auto& it : known.sums) {
    all.good += it.good;
    all.bad += it.bad;
  }
  mKnownInFlight = known.inFlight;
  for (std::size_t n = 0; n < std::min(mHosts.size(), firstDisconnected); ++n) {
    const auto& own = known.sums[n];
    Pacer(n).SetRemoteAnswers(kUpstream, all.good - own.good, all.bad - own.bad, mNow);
    Pacer(n).SetSuspected(kUpstream, known.isSuspected, mNow);
  }
}

void PacedHosts::DeliverHeartbeats()
{
  if (isUp && sendsHeartbeats && mNow >= mHeartbeatDue) {
    ++mSequence;
    mHeartbeatDue = mNow + kHeartbeatInterval;
  }
  if (mSequence == 0 || !isUp) {
    return;
  }
  const core::Duration left = std::max(coldUntil - mNow, core::Duration::zero());
  for (std::size_t n = 0; n < std::min(mHosts.size(), firstDisconnected); ++n) {
    const auto awaited = Pacer(n).AwaitedHeartbeats(1, mNow);
    const bool isAnswer = !awaited.empty() && mSequence >= awaited.front().fromSequence;
    // As of the heartbeat, so that nobody learns in between that it is cold again.
    if (isAnswer || (left > 0ms && mNow + kHeartbeatInterval == mHeartbeatDue)) {
      Pacer(n).OnColdTime(kUpstream, kIncarnation, mSequence, left, mNow);
      if (!mHosts[n]->pacer.AwaitedHeartbeats(1, mNow).empty()) {
        continue;
      }
      mHosts[n]->suspects = false;
    }
  }
}

std::size_t PacedHosts::MaxArrivalsPerSecond(core::Instant aSince) const
{
  std::vector<core::Instant> arrivals;
  std::copy_if(mArrivals.begin(), mArrivals.end(), std::back_inserter(arrivals),
               [&](core::Instant aAt) { return aAt >= aSince; });
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t most = 0;
  for (auto first = arrivals.begin(), it = first; it != arrivals.end(); ++it) {
    while (*it - *first >= 1s) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(it - first) + 1);
  }
  return most;
}

std::size_t PacedHosts::ArrivalsSince(core::Instant aSince) const
{
  return static_cast<std::size_t>(std::count_if(mArrivals.begin(), mArrivals.end(),
                                                [&](core::Instant aAt) { return aAt >= aSince; }));
}

std::size_t PacedHosts::InFlight() const
{
  std::size_t n = 0;
  for (const auto& host : mHosts) {
    n += host->requests.size();
  }
  return n;
}

std::size_t PacedHosts::CountUnpaced()
{
  return static_cast<std::size_t>(std::count_if(mHosts.begin(), mHosts.end(), [&](auto& aHost) {
    return aHost->pacer.Check(kUpstream, 0, mNow) == UpstreamPacer::Verdict::Unpaced;
  }));
}

} // namespace cuminfield::unit_tests
