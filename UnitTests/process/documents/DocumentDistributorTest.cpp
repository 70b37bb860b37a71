#include "cuminfield/process/documents/DocumentDistributor.h"
#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::process;

namespace {

constexpr std::size_t kHostCount = 8;
constexpr std::size_t kTextBytes = 100'000;

core::HostId MakeHostId(std::size_t aNumber)
{
  return core::HostId("h" + std::to_string(aNumber));
}

/// Eight hosts in two data centres. Messages take 1 ms and are lost with the given probability.
class Network
{
public:
  explicit Network(double aLoss)
    : mLoss(aLoss)
  {
    for (std::size_t n = 0; n < kHostCount; ++n) {
      mHosts.push_back(std::make_unique<Host>(*this, n));
    }
  }

  documents::DocumentDistributor& DistributorAt(std::size_t aNumber)
  {
    return mHosts[aNumber]->distributor;
  }

  std::size_t CountHostsWith(std::uint64_t aRevision)
  {
    std::size_t count = 0;
    for (const auto& it : mHosts) {
      const auto* record = it->distributor.FindRecord(core::EnvironmentId("trial"));
      count += record && record->revision() == aRevision ? 1 : 0;
    }
    return count;
  }

  test_framework::time::ManualTimerService timers;
  std::size_t bytes = 0;

private:
  struct FakeLinks : peer::PeerLinks
  {
    FakeLinks(Network& aNetwork, std::size_t aIndex)
      : network(aNetwork)
      , self(aIndex)
    {
    }
    void Send(const core::HostId& aTo, peer::PeerMessage aMessage) override
    {
      network.Transmit(self, aTo, std::move(aMessage));
    }
    void Deliver(std::size_t aFrom, const peer::PeerMessage& aMessage)
    {
      mOnMessage.emit(MakeHostId(aFrom), aMessage);
    }

    Network& network;
    std::size_t self;
  };

  struct Host
  {
    Host(Network& aNetwork, std::size_t aNumber)
      : random(aNumber + 1)
      , links(aNetwork, aNumber)
      , distributor({ .dataCentre = DataCentreOf(aNumber),
                      .peers = PeersOf(aNumber),
                      .timers = aNetwork.timers,
                      .random = random,
                      .links = links })
    {
    }

    core::Random random;
    FakeLinks links;
    documents::DocumentDistributor distributor;
  };

  static core::DataCentreId DataCentreOf(std::size_t aNumber)
  {
    return core::DataCentreId(aNumber % 2 == 0 ? "a" : "b");
  }

  static std::vector<settings::PeerSettings> PeersOf(std::size_t aNumber)
  {
    std::vector<settings::PeerSettings> peers;
    for (std::size_t n = 0; n < kHostCount; ++n) {
      if (n != aNumber) {
        peers.push_back({ .id = MakeHostId(n), .endpoint = {}, .dataCentre = DataCentreOf(n) });
      }
    }
    return peers;
  }

  void Transmit(std::size_t aFrom, const core::HostId& aTo, peer::PeerMessage aMessage)
  {
    bytes += aMessage.payload.size();
    if (mRandom.Chance(mLoss)) {
      return;
    }
    const auto to = static_cast<std::size_t>(std::stoul(aTo.Text().substr(1)));
    mInFlight.push_back(timers.ScheduleAfter(std::chrono::milliseconds(1),
                                             [this, aFrom, to, message = std::move(aMessage)] {
                                               mHosts[to]->links.Deliver(aFrom, message);
                                             }));
  }

  double mLoss;
  core::Random mRandom{ 7 };
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<core::TimerHandle> mInFlight;
};

state::proto::EnvironmentRecord MakeRecord(std::uint64_t aRevision)
{
  state::proto::EnvironmentRecord record;
  record.set_environment("trial");
  record.set_revision(aRevision);
  record.set_text(std::string(kTextBytes, 'x'));
  return record;
}

} // namespace

TEST_GROUP(DocumentDistributor){};

TEST(DocumentDistributor, ReachesAllHostsWithinFiveSecondsUnderLoss)
{
  Network network(0.2);
  network.DistributorAt(0).StoreIfNewer(MakeRecord(1));
  network.timers.Advance(std::chrono::seconds(5));
  LONGS_EQUAL(kHostCount, network.CountHostsWith(1));
}

TEST(DocumentDistributor, SendsTextToEachHostLessThanTwiceOnAverage)
{
  Network network(0.0);
  network.DistributorAt(0).StoreIfNewer(MakeRecord(1));
  network.timers.Advance(std::chrono::seconds(5));
  LONGS_EQUAL(kHostCount, network.CountHostsWith(1));
  CHECK(network.bytes < 2 * (kHostCount - 1) * kTextBytes);
}

TEST(DocumentDistributor, OlderRecordNeverReplacesNewerOne)
{
  Network network(0.0);
  network.DistributorAt(0).StoreIfNewer(MakeRecord(2));
  network.timers.Advance(std::chrono::seconds(5));
  CHECK(!network.DistributorAt(3).StoreIfNewer(MakeRecord(1)));
  network.timers.Advance(std::chrono::seconds(5));
  LONGS_EQUAL(kHostCount, network.CountHostsWith(2));
}
