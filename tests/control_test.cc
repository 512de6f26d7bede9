// What a daemon believes: reading, spreading, adopting, and what it must not
// forget. tests/control_property_test.cc draws faults at random.

#include "tests/view_world.h"

#include <gtest/gtest.h>

namespace parsleyyard::testing {
namespace {

constexpr int kFleet = 13;

bool AllKnow(const view_world& world, std::uint64_t version) {
  for (int i = 0; i < kFleet; ++i) {
    if (world.Status(i).version != version) {
      return false;
    }
  }
  return true;
}

TEST(Control, AFleetServesWithinASecondOfItsStart) {
  view_world world(kFleet);
  world.Run(seconds(1));
  EXPECT_TRUE(AllKnow(world, 1));
  EXPECT_EQ(world.View(0).instances.size(), static_cast<std::size_t>(kFleet));
}

TEST(Control, OneDaemonReadsForAllAndAChangeIsInForceWithinASecond) {
  view_world world(kFleet);
  world.Run(seconds(5));
  const std::uint64_t before = world.reads();
  world.Run(seconds(10));
  EXPECT_LE(world.reads() - before, 30u) << "3 calls a second when idle";
  world.Configure();
  world.Run(seconds(1));
  EXPECT_TRUE(AllKnow(world, 2));
  EXPECT_EQ(world.broken(), std::vector<std::string>());
}

TEST(Control, AnotherReadsWhenTheReaderIsKilledOrCutOff) {
  view_world world(kFleet);
  world.Run(seconds(5));
  for (int i = 0; i < kFleet; ++i) {
    if (world.Status(i).active_reader) {
      world.Kill(i);
    }
  }
  world.Configure();
  world.Run(seconds(2));
  int know = 0;
  for (int i = 0; i < kFleet; ++i) {
    know += world.Status(i).version == 2 ? 1 : 0;
  }
  EXPECT_GE(know, kFleet - 1);
  EXPECT_EQ(world.broken(), std::vector<std::string>());
}

TEST(Control, ADaemonThatReachesTheStoreButNoPeerKnowsChanges) {
  view_world world(kFleet);
  world.Run(seconds(5));
  for (int i = 0; i < kFleet; ++i) {
    world.SetCutFromPeers(i, true);
  }
  world.Configure();
  world.Run(seconds(2));
  EXPECT_TRUE(AllKnow(world, 2));
  EXPECT_EQ(world.broken(), std::vector<std::string>());
}

TEST(Control, ADaemonThatReachesPeersButNotTheStoreKnowsChanges) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetCutFromStore(4, true);
  world.Configure();
  world.Run(seconds(2));
  EXPECT_EQ(world.Status(4).version, 2u);
}

// Surroundings of one view keeper that keep what it sends.
struct scripted_parts : public config_source,
                        public view_transport,
                        public view_listener {
  void ReadAll() override {}
  void ReadInstances() override {}
  void Watch(std::uint64_t, duration) override {}
  void SendUpdate(const host_address&, const view_update& m) override {
    sent.push_back(m);
  }
  bool IsReachable(const host_address&) const override { return true; }
  void OnSnapshot(std::shared_ptr<const snapshot>) override {}
  void OnEvent(const view_event&) override {}
  std::vector<view_update> sent;
};

TEST(Control, ARestartedDaemonIsToldByPeersWhileTheStoreIsDown) {
  manual_clock clock;
  plain_decoder decoder;
  scripted_parts old_parts;
  scripted_parts new_parts;
  view_keeper old_one({.address = "10.0.0.1"}, clock, decoder, old_parts,
                      old_parts, old_parts);
  old_one.Tick();
  modelled_store store;
  store.Put("config", "7", clock.now);
  old_one.OnFullRead(store.All());
  old_one.OnPeerStarted("10.0.0.2");
  EXPECT_TRUE(old_parts.sent.empty()) << "it can read the store itself";
  clock.now += seconds(5);
  old_one.OnPeerStarted("10.0.0.2");
  ASSERT_EQ(old_parts.sent.size(), 1u);
  view_keeper new_one({.address = "10.0.0.2"}, clock, decoder, new_parts,
                      new_parts, new_parts);
  new_one.OnUpdate(old_parts.sent[0]);
  EXPECT_EQ(new_one.Status().version, 7u);
  EXPECT_GE(new_one.Status().age, duration(seconds(5)));
}

TEST(Control, ABadConfigurationLeavesTheLastGoodOneInForce) {
  view_world world(kFleet);
  world.Run(seconds(2));
  world.store().Put("config", "bad", world.now());
  world.Run(seconds(2));
  EXPECT_TRUE(AllKnow(world, 1));
}

TEST(Control, ABadRegistrationNamesNoInstance) {
  view_world world(kFleet);
  world.Run(seconds(2));
  world.store().Put("i/3", "what is this", world.now());
  world.store().Put("i/foreign", "nor this", world.now());
  world.Run(seconds(1));
  EXPECT_EQ(world.View(0).instances.size(),
            static_cast<std::size_t>(kFleet - 1));
}

// Seen in two recorded incidents: after all machines had lost power, calls were
// sent to instances that were gone and still registered.
TEST(Control, OfTwoInstancesAtAnAddressOnlyTheNewestIsUsed) {
  view_world world(kFleet);
  world.store().Put("i/former",
                    InstanceText("10.0.0.4", "domain-3", "ready", 1),
                    world.now());
  world.store().Put("i/latest",
                    InstanceText("10.0.0.4", "domain-3", "ready", 2),
                    world.now());
  world.store().Put("i/former",
                    InstanceText("10.0.0.4", "domain-3", "ready", 1, 2),
                    world.now());
  world.Run(seconds(1));
  EXPECT_TRUE(world.View(0).instances.contains("latest"));
  EXPECT_FALSE(world.View(0).instances.contains("former"));
  EXPECT_EQ(world.View(0).by_service.at("s").size(),
            static_cast<std::size_t>(kFleet));
}

TEST(Control, AnOlderRegistrationIsIgnored) {
  view_world world(kFleet);
  world.store().Put("i/3",
                    InstanceText("10.0.0.4", "domain-3", "draining", 5, 9),
                    world.now());
  world.Run(seconds(2));
  ASSERT_TRUE(world.View(0).instances.at("3").registration.draining);
  world.store().Put("i/3", InstanceText("10.0.0.4", "domain-3", "ready", 5, 8),
                    world.now());
  world.Run(seconds(1));
  EXPECT_TRUE(world.View(0).instances.at("3").registration.draining);
  world.store().Put("i/3", InstanceText("10.0.0.4", "domain-3", "ready", 6, 1),
                    world.now());
  world.Run(seconds(1));
  EXPECT_FALSE(world.View(0).instances.at("3").registration.draining)
      << "it started anew";
}

// Registrations lapse while the store is away and are back about two seconds
// after its return, if the instance lives.
TEST(Control, InstancesThatLapseWithTheStoreAreKeptUntilTheyHadTimeToReturn) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(4));
  world.Withdraw(3);
  world.Withdraw(5);
  world.Run(milliseconds(500));
  world.SetStoreDown(false);
  world.Run(seconds(1));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
  world.Announce(3, "ready");
  world.Run(seconds(3));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
  EXPECT_FALSE(world.View(0).instances.contains("5")) << "it did not return";
}

TEST(Control, AnInstanceThatLeavesOnACalmDayIsGoneAtOnce) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.Withdraw(3);
  world.Run(seconds(1));
  EXPECT_FALSE(world.View(7).instances.contains("3"));
}

// The store was there all the while; only this daemon's view was old.
TEST(Control, AfterAPauseRemovalsAreInForceAtOnce) {
  view_world world(kFleet);
  world.SetCutFromPeers(7, true);
  world.Run(seconds(5));
  world.SetFrozen(7, true);
  world.Run(seconds(3));
  world.Withdraw(3);
  world.SetFrozen(7, false);
  world.Run(milliseconds(500));
  EXPECT_FALSE(world.View(7).instances.contains("3"));
}

// The others do not know of a daemon whose instance is not registered. It asks
// them; to read every configuration itself would fill its link.
TEST(Control, ADaemonThatIsNotListedIsToldByThoseItAsks) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.Withdraw(4);
  world.Run(milliseconds(400));
  const std::uint64_t before = world.reads();
  for (std::uint64_t version = 2; version < 6; ++version) {
    world.Configure();
    world.Run(milliseconds(700));
    EXPECT_EQ(world.Status(4).version, version);
  }
  EXPECT_LE(world.reads() - before, 20u) << "one daemon reads for all";
}

// Load: configurations in quick succession, each of 100 KB or more. A watch
// would bring every version that was missed.
TEST(Control, WhoMissedManyConfigurationsReadsOnlyTheLast) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.Configure();
  world.Run(milliseconds(500));
  world.SetFrozen(7, true);
  for (int i = 0; i < 5; ++i) {
    world.Configure();
    world.Run(milliseconds(250));
  }
  const std::uint64_t before = world.WholeReads();
  world.SetFrozen(7, false);
  world.Run(milliseconds(500));
  EXPECT_EQ(world.WholeReads(), before + 1);
  EXPECT_TRUE(AllKnow(world, 7));
}

TEST(Control, AForgottenHistoryLeadsToAWholeRead) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(2));
  world.Configure();
  world.Withdraw(2);
  world.store().Forget();
  world.SetStoreDown(false);
  world.Run(seconds(4));
  EXPECT_TRUE(AllKnow(world, 2));
  EXPECT_FALSE(world.View(7).instances.contains("2"));
}

// Two daemons may have asked each other, as one leaves the list and one joins.
TEST(Control, NewsDoesNotGoRoundBetweenDaemonsThatAskedEachOther) {
  manual_clock clock;
  plain_decoder decoder;
  scripted_parts parts;
  view_keeper keeper({.address = "10.0.0.1"}, clock, decoder, parts, parts,
                     parts);
  keeper.OnUpdate({.root = "10.0.0.2", .to_revision = 0});
  const view_update news{.root = "10.0.0.3", .to_revision = 5, .age_ms = 10};
  keeper.OnUpdate(news);
  EXPECT_EQ(parts.sent.size(), 1u);
  clock.now += milliseconds(1);
  keeper.OnUpdate(news);
  EXPECT_EQ(parts.sent.size(), 1u) << "it came back";
  clock.now += milliseconds(500);
  keeper.OnUpdate(news);
  EXPECT_EQ(parts.sent.size(), 2u) << "the reader confirms it anew";
}

// Load: a configuration of 300 KB or more, and 60 Mbit/s between two regions.
// All watches are cut at once when the store drops its history.
TEST(Control, AFewReadEverythingForAllWhenTheHistoryIsGone) {
  constexpr int kMany = 40;
  view_world world(kMany);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(1));
  world.Configure();
  world.store().Forget();
  const std::uint64_t before = world.WholeReads();
  world.SetStoreDown(false);
  world.Run(seconds(3));
  EXPECT_TRUE(AllKnow(world, 2));
  EXPECT_LE(world.WholeReads() - before, 8u);
}

// Load: all daemons of a large fleet start at once after a loss of power.
TEST(Control, AfterALossOfPowerAFewReadTheConfigurationForAll) {
  constexpr int kMany = 40;
  view_world world(kMany);
  world.Run(seconds(5));
  for (int i = 0; i < kMany; ++i) {
    world.Kill(i);
  }
  world.Run(seconds(1));
  world.Withdraw(3);
  const std::uint64_t before = world.WholeReads();
  for (int i = 0; i < kMany; ++i) {
    world.Start(i);
  }
  world.Run(milliseconds(800));
  for (int i = 0; i < kMany; ++i) {
    EXPECT_EQ(world.Status(i).version, 1u) << i;
    EXPECT_FALSE(world.View(i).instances.contains("3")) << i;
  }
  EXPECT_LE(world.WholeReads() - before, 8u);
}

TEST(Control, ADaemonOfALargeFleetThatRestartsIsToldByItsPeers) {
  constexpr int kMany = 40;
  view_world world(kMany);
  world.Run(seconds(5));
  int last = 0;
  const auto order = [](int daemon) {
    return AddressOrder("10.0.0." + std::to_string(daemon + 1));
  };
  for (int i = 0; i < kMany; ++i) {
    last = order(i) > order(last) ? i : last;
  }
  world.Kill(last);
  world.Run(seconds(1));
  const std::uint64_t before = world.WholeReads();
  world.Start(last);
  world.Run(milliseconds(500));
  EXPECT_EQ(world.Status(last).version, 1u);
  EXPECT_EQ(world.WholeReads(), before);
}

// Found by tests/processes_test.py: news that had waited in the socket of a
// stopped process passed for fresh.
TEST(Control, NewsThatWaitedDuringAPauseConfirmsNothing) {
  view_world world(kFleet);
  world.Run(seconds(5));
  int plain = 0;
  while (world.Status(plain).active_reader) {
    ++plain;
  }
  world.SetFrozen(plain, true);
  world.Run(seconds(3));
  world.SetCutFromStore(plain, true);
  world.SetFrozen(plain, false);
  EXPECT_GT(world.Status(plain).age, duration(seconds(2)));
  world.SetCutFromStore(plain, false);
  world.Run(seconds(2));
  EXPECT_LT(world.Status(plain).age, duration(seconds(1)));
}

TEST(Control, AFrozenReaderCatchesUpAndGivesWayMeanwhile) {
  view_world world(kFleet);
  world.Run(seconds(5));
  int reader = 0;
  while (!world.Status(reader).active_reader) {
    ++reader;
  }
  world.SetFrozen(reader, true);
  world.Configure();
  world.Run(seconds(4));
  world.Configure();
  world.SetFrozen(reader, false);
  world.Run(seconds(2));
  EXPECT_TRUE(AllKnow(world, 3));
  EXPECT_EQ(world.broken(), std::vector<std::string>());
}

TEST(RelayPlan, EveryDaemonIsToldOnceWhateverTheFanOut) {
  std::vector<relay_peer> peers;
  for (int i = 0; i < 300; ++i) {
    peers.push_back({.address = "10.0." + std::to_string(i / 100) + "." +
                                std::to_string(i % 100),
                     .region = i % 3 == 0 ? "north" : "south"});
  }
  std::map<host_address, int> told;
  std::vector<std::pair<relay_step, int>> open;
  int deepest = 0;
  for (relay_step& step : PlanFromOriginator("10.0.0.0", "north", peers, 8)) {
    open.emplace_back(std::move(step), 1);
  }
  while (!open.empty()) {
    const auto [step, depth] = open.back();
    open.pop_back();
    ++told[step.receiver];
    deepest = std::max(deepest, depth);
    const auto at = std::find_if(peers.begin(), peers.end(),
                                 [&, to = step.receiver](const relay_peer& p) {
                                   return p.address == to;
                                 });
    for (relay_step& next : PlanWithinRange(step.receiver, at->region,
                                            "10.0.0.0", step.range, peers, 8)) {
      open.emplace_back(std::move(next), depth + 1);
    }
  }
  EXPECT_EQ(told.size(), 299u);
  for (const auto& [address, times] : told) {
    EXPECT_EQ(times, 1) << address;
  }
  EXPECT_LE(deepest, 4);
}

TEST(Packing, DeltaOfASmallChangeIsSmall) {
  std::string before;
  for (int i = 0; i < 600; ++i) {
    before += "route " + std::to_string(i * 7919 % 10007) + "; ";
  }
  std::string after = before;
  after.replace(300, 3, "new");
  const std::string packed = Pack(after, &before);
  EXPECT_LT(packed.size(), 100u);
  EXPECT_EQ(Unpack(packed, after.size(), &before), after);
  EXPECT_EQ(Unpack(packed, after.size() + 1, &before), std::nullopt);
  EXPECT_EQ(Unpack(packed, after.size(), nullptr), std::nullopt);
}

}  // namespace
}  // namespace parsleyyard::testing
