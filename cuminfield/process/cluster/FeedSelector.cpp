#include "cuminfield/process/cluster/FeedSelector.h"

namespace cuminfield::process::cluster {

bool FeedSelector::MayBeFollowedFirst(const proto::Feed& aFeed, core::Duration aMaxStateAge)
{
  return aFeed.led() && std::chrono::milliseconds(aFeed.state_age_ms()) <= aMaxStateAge &&
         aFeed.document_number() > 0;
}

FeedContent FeedSelector::Select(const FollowerTable::Follower& aFollower, const proto::Feed& aFeed,
                                 core::Instant aNow) const
{
  if (aFollower.isTrial) {
    return FeedContent::State; // The rest is of use only to a host that follows.
  }
  if (!aFollower.report.searching() || MayBeFollowedFirst(aFeed, mSettings.maxStateAge)) {
    return FeedContent::Full;
  }
  const bool isDue = aNow - aFollower.feedSentAt >= mSettings.searchFeedInterval;
  return isDue ? FeedContent::State : FeedContent::None;
}

} // namespace cuminfield::process::cluster
