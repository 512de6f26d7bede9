// View keepers that miss updates: the daemons that were to pass them on are
// lost, and nobody notices. The invariants of the world say by when each daemon
// that reaches the store must have each change, whatever the size of the fleet.

#include "tests/view_keeper_fixtures.h"
#include "tests/view_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace parsleyyard::testing {
namespace {

constexpr int kDomainsOfWorld = 4;
constexpr duration kExpiry = std::chrono::milliseconds(4500);

std::vector<int> DaemonsOfDomain(int domain, int fleet) {
  std::vector<int> daemons;
  for (int i = domain; i < fleet; i += kDomainsOfWorld) {
    daemons.push_back(i);
  }
  return daemons;
}

std::vector<int> RandomDaemons(int percent, int fleet, unsigned seed) {
  std::mt19937 random(seed);
  std::vector<int> daemons;
  for (int i = 0; i < fleet; ++i) {
    if (static_cast<int>(random() % 100) < percent) {
      daemons.push_back(i);
    }
  }
  return daemons;
}

// A fleet that takes lost daemons for reachable again after two seconds: what
// is sent to them is lost.
class missed_updates : public ::testing::TestWithParam<int> {
 protected:
  missed_updates() : world_(GetParam()) {
    world_.SetUnreachablePeriod(seconds(2));
    world_.Run(seconds(5));
  }
  void Kill(const std::vector<int>& daemons) {
    for (const int daemon : daemons) {
      world_.Kill(daemon);
    }
  }
  void Storm(int versions) {
    for (int i = 0; i < versions; ++i) {
      world_.PublishConfiguration();
      world_.Run(milliseconds(200));
    }
  }
  void ExpectNoViolations() {
    EXPECT_TRUE(world_.Violations().empty())
        << world_.Violations().size()
        << ", first: " << world_.Violations().front();
  }
  // Loses the daemons, publishes `versions` from `storm_at` after it, lets the
  // registrations expire, and starts the daemons again.
  void LoseAndReturn(const std::vector<int>& daemons,
                     int versions,
                     duration storm_at) {
    Kill(daemons);
    const instant lost_at = world_.now();
    bool published = false;
    bool expired = false;
    while (world_.now() < lost_at + seconds(9)) {
      if (!published && world_.now() >= lost_at + storm_at) {
        published = true;
        Storm(versions);
      }
      if (!expired && world_.now() >= lost_at + kExpiry) {
        expired = true;
        for (const int daemon : daemons) {
          world_.RemoveInstance(daemon);
        }
      }
      world_.Run(milliseconds(20));
    }
    for (const int daemon : daemons) {
      world_.Start(daemon);
      world_.RegisterInstance(daemon, "ready");
    }
    world_.Run(milliseconds(300));
    Storm(1);
    world_.Run(seconds(4));
  }

  view_world world_;
};

// Guards against daemons that route by an older version for seconds after the
// loss of a zone (review/3).
TEST_P(missed_updates, StormAfterTheLossOfADomainArrivesInTime) {
  LoseAndReturn(DaemonsOfDomain(0, GetParam()), 5, milliseconds(1700));
  ExpectNoViolations();
}

// Later updates may not come that show what is missing.
TEST_P(missed_updates, SingleVersionArrivesInTime) {
  for (const duration at :
       {duration(milliseconds(0)), duration(milliseconds(2100)),
        duration(milliseconds(4600))}) {
    LoseAndReturn(DaemonsOfDomain(1, GetParam()), 1, at);
  }
  ExpectNoViolations();
}

TEST_P(missed_updates, AnyPartOfTheFleetMayBeLost) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    LoseAndReturn(RandomDaemons(40, GetParam(), seed), 3, milliseconds(700));
  }
  ExpectNoViolations();
}

TEST_P(missed_updates, LostReaderMayBeAmongThem) {
  std::vector<std::pair<std::uint64_t, int>> order;
  for (int i = 0; i < GetParam(); ++i) {
    const host_address& host =
        world_.View(0).instances.at(std::to_string(i)).registration.host;
    order.emplace_back(AddressOrder(host), i);
  }
  std::sort(order.begin(), order.end());
  std::vector<int> lost = RandomDaemons(25, GetParam(), 4);
  for (std::size_t rank = 0; rank < 3; ++rank) {
    lost.push_back(order[rank].second);
  }
  std::sort(lost.begin(), lost.end());
  lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
  LoseAndReturn(lost, 3, milliseconds(300));
  ExpectNoViolations();
}

// The news comes from peers: the reads of the store don't grow with the number
// of daemons that miss an update.
TEST_P(missed_updates, MissedUpdatesCostFewReads) {
  Kill(DaemonsOfDomain(0, GetParam()));
  world_.Run(milliseconds(500));
  const std::uint64_t before = world_.reads();
  const std::uint64_t full_before = world_.FullUpdates();
  Storm(5);
  world_.Run(seconds(2));
  // The reader alone makes about 4 a second.
  EXPECT_LE(world_.reads() - before, 30U);
  EXPECT_LE(world_.FullUpdates() - full_before, 4U);
  ExpectNoViolations();
}

// Streams to lost daemons may stay silent: each update to them is lost.
TEST_P(missed_updates, LossesThatNobodyNoticesDelayNoVersion) {
  world_.SetUnreachablePeriod(duration::zero());
  LoseAndReturn(RandomDaemons(30, GetParam(), 5), 3, milliseconds(700));
  ExpectNoViolations();
}

// A daemon beside the first of four instances, and an update for all of them.
struct relaying_keeper {
  relaying_keeper() {
    for (int i = 1; i <= 4; ++i) {
      store.Put("i/" + std::to_string(i),
                InstanceText("10.0.0." + std::to_string(i), "domain-0"),
                clock.now);
    }
    update.era = store.Position().era;
    update.from_revision = store.revision();
    update.to_revision = store.revision();
    keeper.Tick();
  }
  void ReadState() { keeper.OnStateRead(store.AllItems()); }

  manual_clock clock;
  text_decoder decoder;
  recording_environment environment;
  simulated_store store;
  view_update update{.root = "10.0.0.9",
                     .cover_from = 0,
                     .cover_to = std::numeric_limits<std::uint64_t>::max(),
                     .age_ms = 100};
  view_keeper keeper{{.address = "10.0.0.1"},
                     clock,
                     decoder,
                     environment,
                     environment,
                     environment};
};

// Guards against updates that are lost for all daemons behind one that can't be
// reached.
TEST(UndeliveredUpdates, GoToTheOthersThatTheReceiverWasToPassThemOnTo) {
  relaying_keeper relay;
  relay.ReadState();
  relay.keeper.OnUndelivered("10.0.0.2", relay.update);
  EXPECT_TRUE(relay.environment.receivers.empty());  // too long, for example
  relay.environment.unreachable = {"10.0.0.2"};
  relay.keeper.OnUndelivered("10.0.0.2", relay.update);
  EXPECT_EQ(relay.environment.receivers,
            (std::vector<host_address>{"10.0.0.3", "10.0.0.4"}));
  relay.update.cover_to = 0;  // an update for the receiver alone
  relay.update.cover_from = 1;
  relay.keeper.OnUndelivered("10.0.0.2", relay.update);
  EXPECT_EQ(relay.environment.receivers.size(), 2U);
}

// Guards against updates that are lost for all daemons behind one that has just
// started: it does not know its peers yet.
TEST(UpdatesAtTheStart, ArePassedOnOnceThePeersAreKnown) {
  relaying_keeper relay;
  relay.keeper.OnUpdate(relay.update);
  EXPECT_TRUE(relay.environment.receivers.empty());
  relay.clock.now += milliseconds(300);
  relay.ReadState();
  ASSERT_EQ(relay.environment.receivers,
            (std::vector<host_address>{"10.0.0.2", "10.0.0.3", "10.0.0.4"}));
  EXPECT_EQ(relay.environment.sent[0].age_ms, 400U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, missed_updates, ::testing::Values(40, 120));

}  // namespace
}  // namespace parsleyyard::testing
