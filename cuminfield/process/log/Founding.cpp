#include "cuminfield/process/log/Founding.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// Term of the entry that founds a group: the same on every founder, before any election.
constexpr std::uint64_t kFoundingTerm = 1;

/// Incarnation of the hosts that start for the first time. Others are times in microseconds,
/// shifted to the left.
constexpr core::Incarnation kFirstIncarnation(1);

} // namespace

Founding::Founding(Member aSelf, std::vector<core::HostId> aVoters)
  : mSelf(std::move(aSelf))
  , mVoters(std::move(aVoters))
{
}

proto::Entry Founding::MakeFirstEntry(const Configuration& aFounders)
{
  proto::Entry entry;
  entry.set_index(1);
  entry.set_term(kFoundingTerm);
  *entry.mutable_configuration() = ToProto(aFounders);
  return entry;
}

LogContents Founding::MakeFirstContents(const std::vector<core::HostId>& aHosts)
{
  Configuration founders;
  for (const core::HostId& it : aHosts) {
    if (!founders.FindVoter(it)) {
      founders = founders.WithVoter({ .host = it, .incarnation = kFirstIncarnation });
    }
  }
  LogContents contents{ .incarnation = kFirstIncarnation };
  contents.hardState.set_term(kFoundingTerm);
  contents.entries.push_back(MakeFirstEntry(founders));
  return contents;
}

void Founding::RecordAnnouncement(const Member& aMember, bool aHoldsState,
                                  const Configuration& aAgreedFounders)
{
  mAnnouncements[aMember.host] = { .member = aMember,
                                   .holdsState = aHoldsState,
                                   .agreedFounders = aAgreedFounders };
}

std::optional<Configuration> Founding::ProposeFounders() const
{
  if (!mAgreedFounders.voters.empty()) {
    return std::nullopt;
  }
  Configuration founders;
  for (const core::HostId& host : mVoters) {
    if (host == mSelf.host) {
      founders.voters.push_back(mSelf);
      continue;
    }
    const auto it = mAnnouncements.find(host);
    if (it == mAnnouncements.end() || it->second.holdsState) {
      return std::nullopt;
    }
    founders.voters.push_back(it->second.member);
  }
  std::sort(founders.voters.begin(), founders.voters.end());
  if (!founders.Contains(mSelf)) {
    return std::nullopt;
  }
  return founders;
}

bool Founding::IsUnanimous() const
{
  if (mAgreedFounders.voters.empty()) {
    return false;
  }
  return std::all_of(mAgreedFounders.voters.begin(), mAgreedFounders.voters.end(),
                     [&](const Member& aMember) {
                       if (aMember == mSelf) {
                         return true;
                       }
                       const auto it = mAnnouncements.find(aMember.host);
                       return it != mAnnouncements.end() && it->second.member == aMember &&
                              it->second.agreedFounders == mAgreedFounders;
                     });
}

} // namespace cuminfield::process::log
