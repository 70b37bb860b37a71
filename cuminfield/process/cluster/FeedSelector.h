#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/cluster.pb.h"

namespace cuminfield::process::cluster {

/// What a follower is sent in a round.
enum class FeedContent
{
  None,
  State, ///< The part that is the same for all followers.
  Full,  ///< With sums, registry and document.
};

/// Settings of FeedSelector.
struct FeedSelectorSettings
{
  /// Feeds of a state older than this are followed by no host that starts; see
  /// ClusterFollowerSettings::outdatedAge.
  core::Duration maxStateAge = std::chrono::milliseconds(1200);
  /// Time between two feeds to a host that cannot use them yet; they tell it that this control host
  /// runs, and which others do.
  core::Duration searchFeedInterval = std::chrono::milliseconds(500);
};

/// Decides what each follower of a control host is sent. Hosts that start can do nothing with a
/// state that is not current, and hundreds may wait for a leader at once: what they are sent until
/// then is taken from the time that the control hosts need to elect one. Performs no I/O.
class FeedSelector
{
public:
  explicit FeedSelector(const FeedSelectorSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// aFeed: the part that is the same for all followers.
  FeedContent Select(const FollowerTable::Follower& aFollower, const proto::Feed& aFeed,
                     core::Instant aNow) const;

  /// True if a host without state may follow the sender of this feed: it knows what is in force.
  static bool MayBeFollowedFirst(const proto::Feed& aFeed, core::Duration aMaxStateAge);

private:
  FeedSelectorSettings mSettings;
};

} // namespace cuminfield::process::cluster
