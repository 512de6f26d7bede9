// Tests of the view keeper: how a daemon reads the store, relays updates and
// applies them, and which state it must keep. tests/view_age_test.cc has the
// age of the view, tests/relay_test.cc the relay plan and packing,
// tests/restored_store_test.cc has the restores of the store, and
// tests/control_property_test.cc random sequences of faults.

#include "tests/view_keeper_fixtures.h"

#include <gtest/gtest.h>

namespace parsleyyard::testing {
namespace {

TEST(Control, AllDaemonsHaveAViewWithinOneSecondOfFleetStart) {
  view_world world(kDaemons);
  world.Run(seconds(1));
  EXPECT_TRUE(AllHaveVersion(world, 1));
  EXPECT_EQ(world.View(0).instances.size(), static_cast<std::size_t>(kDaemons));
}

TEST(Control, SingleActiveReaderDeliversChangesWithinOneSecond) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const std::uint64_t before = world.reads();
  world.Run(seconds(10));
  EXPECT_LE(world.reads() - before, 30u) << "3 reads per second when idle";
  world.PublishConfiguration();
  world.Run(seconds(1));
  EXPECT_TRUE(AllHaveVersion(world, 2));
  EXPECT_EQ(world.Violations(), std::vector<std::string>());
}

TEST(Control, AnotherDaemonTakesOverWhenActiveReaderIsKilled) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  for (int i = 0; i < kDaemons; ++i) {
    if (world.Status(i).active_reader) {
      world.Kill(i);
    }
  }
  world.PublishConfiguration();
  world.Run(seconds(2));
  int up_to_date = 0;
  for (int i = 0; i < kDaemons; ++i) {
    up_to_date += world.Status(i).version == 2 ? 1 : 0;
  }
  EXPECT_GE(up_to_date, kDaemons - 1);
  EXPECT_EQ(world.Violations(), std::vector<std::string>());
}

TEST(Control, DaemonsWithoutPeersReceiveChangesFromStore) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  for (int i = 0; i < kDaemons; ++i) {
    world.SetPeerPartition(i, true);
  }
  world.PublishConfiguration();
  world.Run(seconds(2));
  EXPECT_TRUE(AllHaveVersion(world, 2));
  EXPECT_EQ(world.Violations(), std::vector<std::string>());
}

TEST(Control, DaemonWithoutStoreReceivesChangesFromPeers) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.SetStorePartition(4, true);
  world.PublishConfiguration();
  world.Run(seconds(2));
  EXPECT_EQ(world.Status(4).version, 2u);
}

// Guards against calls into an evacuated failure domain after the first read.
TEST(Control, FirstReadShowsEvacuations) {
  constexpr int kLargeFleet = 40;
  view_world world(kLargeFleet);
  world.Run(seconds(5));
  world.Evacuate(1, true);
  world.Run(seconds(1));
  for (int i = 0; i < kLargeFleet; ++i) {
    world.Kill(i);
    world.Start(i);
  }
  bool seen_without_configuration = false;
  for (int step = 0; step < 100; ++step) {
    world.Run(milliseconds(10));
    for (int i = 0; i < kLargeFleet; ++i) {
      const snapshot& view = world.View(i);
      seen_without_configuration |=
          view.config == nullptr && !view.instances.empty();
      EXPECT_TRUE(view.empty() || view.evacuated.contains("domain-1"));
    }
  }
  EXPECT_TRUE(seen_without_configuration);
}

TEST(Control, RestartedDaemonReceivesFullViewFromPeerDuringStoreOutage) {
  manual_clock clock;
  text_decoder decoder;
  recording_environment old_environment;
  recording_environment new_environment;
  view_keeper old_keeper({.address = "10.0.0.1"}, clock, decoder,
                         old_environment, old_environment, old_environment);
  old_keeper.Tick();
  simulated_store store;
  store.Put("config", "7", clock.now);
  old_keeper.OnFullRead(store.AllItems());
  old_keeper.OnPeerStarted("10.0.0.2");
  EXPECT_TRUE(old_environment.sent.empty()) << "it can read the store itself";
  clock.now += seconds(5);
  old_keeper.OnPeerStarted("10.0.0.2");
  ASSERT_EQ(old_environment.sent.size(), 1u);
  view_keeper new_keeper({.address = "10.0.0.2"}, clock, decoder,
                         new_environment, new_environment, new_environment);
  new_keeper.OnUpdate(old_environment.sent[0]);
  EXPECT_EQ(new_keeper.Status().version, 7u);
  EXPECT_GE(new_keeper.Status().age, duration(seconds(5)));
}

TEST(Control, KeepsLastValidConfigurationWhenNewOneIsInvalid) {
  view_world world(kDaemons);
  world.Run(seconds(2));
  world.store().Put("config", "bad", world.now());
  world.Run(seconds(2));
  EXPECT_TRUE(AllHaveVersion(world, 1));
}

TEST(Control, IgnoresInvalidRegistrations) {
  view_world world(kDaemons);
  world.Run(seconds(2));
  world.store().Put("i/3", "not a registration", world.now());
  world.store().Put("i/foreign", "invalid value", world.now());
  world.Run(seconds(1));
  EXPECT_EQ(world.View(0).instances.size(),
            static_cast<std::size_t>(kDaemons - 1));
}

TEST(Control, InstanceIsBackWithItsNextValidRegistration) {
  view_world world(kDaemons);
  world.Run(seconds(2));
  const std::string valid = InstanceText("10.0.0.4", "domain-3", "ready", 1);
  world.store().Put("i/3", valid, world.now());
  world.store().Put("i/3", "not a registration", world.now());
  world.Run(seconds(1));
  EXPECT_FALSE(world.View(0).instances.contains("3"));
  world.store().Put("i/3", valid, world.now());
  world.Run(seconds(1));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
}

// The configuration names service "s" only, and instance "foreign" is of
// another one.
class one_service_decoder : public text_decoder {
 public:
  leaf::result<decoded_item> Decode(const std::string& key,
                                    const std::string& value) const override {
    if (key == "config") {
      BOOST_LEAF_AUTO(config, configuration::Create(
                                  {.version = 1, .services = {{.name = "s"}}}));
      return decoded_item(std::move(config));
    }
    BOOST_LEAF_AUTO(item, text_decoder::Decode(key, value));
    if (key == "i/foreign") {
      std::get<instance>(item).service = "not configured";
    }
    return item;
  }
};

// Guards against an instance that leaves the view since another writer names
// its address.
TEST(Control, EntryOfUnknownServiceReplacesNoInstanceAtItsAddress) {
  manual_clock clock;
  one_service_decoder decoder;
  recording_environment environment;
  view_keeper keeper({.address = "10.0.0.1"}, clock, decoder, environment,
                     environment, environment);
  keeper.Tick();
  simulated_store store;
  store.Put("config", "1", clock.now);
  store.Put("i/own", InstanceText("10.0.0.4", "domain-3", "ready", 1),
            clock.now);
  store.Put("i/foreign", InstanceText("10.0.0.4", "domain-3", "ready", 2),
            clock.now);
  keeper.OnFullRead(store.AllItems());
  EXPECT_TRUE(keeper.Current()->instances.contains("own"));
  EXPECT_FALSE(keeper.Current()->instances.contains("foreign"));
}

// Guards against calls to instances that no longer exist but are still
// registered, as after a power loss of all hosts (two recorded incidents).
TEST(Control, UsesOnlyNewestInstanceAtAnAddress) {
  view_world world(kDaemons);
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
            static_cast<std::size_t>(kDaemons));
}

TEST(Control, IgnoresOlderRegistration) {
  view_world world(kDaemons);
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
      << "the instance restarted";
}

// Guards against a flood of a cold instance whose warm-up is taken for over.
TEST(Control, WarmUpDoesNotEndBeforeItsRegistrationSays) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  for (int sequence = 2; sequence < 10; ++sequence) {
    world.Run(milliseconds(130) * sequence);
    const instant registered_at = world.now();
    world.store().Put("i/3",
                      InstanceText("10.0.0.4", "domain-3", "ready", 1'000'000,
                                   sequence, 3000),
                      registered_at);
    world.Run(seconds(1));
    for (int i = 0; i < kDaemons; ++i) {
      EXPECT_GE(world.View(i).instances.at("3").cold_until,
                registered_at + seconds(3))
          << "daemon " << i << ", registration " << sequence;
    }
  }
}

// Registrations expire during a store outage. Live instances register again
// about two seconds after its end.
TEST(Control, KeepsExpiredInstancesUntilReregistrationTimeAfterOutage) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(4));
  world.RemoveInstance(3);
  world.RemoveInstance(5);
  world.Run(milliseconds(500));
  world.SetStoreDown(false);
  world.Run(seconds(1));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
  world.RegisterInstance(3, "ready");
  world.Run(seconds(3));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
  EXPECT_FALSE(world.View(0).instances.contains("5"))
      << "it did not register again";
}

// Guards against calls to an instance that has left after one daemon's outage.
TEST(Control, HoldsNoRemovalsForPeerIfStoreWasAvailable) {
  keeper_with_instance test;
  test.clock.now += milliseconds(700);
  test.ReceiveHeldRemoval();
  EXPECT_TRUE(test.keeper.Current()->instances.empty());
}

// Guards against a daemon that never catches up after it was cut off.
TEST(Control, ReadsAllAfterResponseThatIsTooLongForItsTimeout) {
  keeper_with_instance test;
  test.clock.now += seconds(5);
  test.keeper.Tick();
  ASSERT_EQ(test.environment.watches, 1);
  const int before = test.environment.full_reads;
  test.keeper.OnSourceFailure(source_failure::kIncomplete);
  test.clock.now += seconds(1);
  test.keeper.Tick();
  EXPECT_EQ(test.environment.full_reads, before + 1);
}

TEST(Control, HoldsRemovalsForPeerAfterOutage) {
  keeper_with_instance test;
  test.clock.now += seconds(5);
  test.ReceiveHeldRemoval();
  EXPECT_EQ(test.keeper.Current()->instances.size(), 1u);
}

TEST(Control, DropsRemovedInstanceAtOnceWithoutOutage) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.RemoveInstance(3);
  world.Run(seconds(1));
  EXPECT_FALSE(world.View(7).instances.contains("3"));
}

// Guards against requests to an instance that has left: the daemon beside it
// was told last.
TEST(Control, DaemonBesideARemovedInstanceIsToldWithTheOthers) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  for (int i = 0; i < kDaemons; ++i) {
    world.RemoveInstance(i);
    world.Run(milliseconds(600));
    for (int viewer = 0; viewer < kDaemons; ++viewer) {
      EXPECT_FALSE(world.View(viewer).instances.contains(std::to_string(i)))
          << "instance " << i << " in the view of " << viewer;
    }
    world.RegisterInstance(i, "ready");
    world.Run(seconds(2));
  }
}

// The view of the suspended daemon is old, but the store was available all the
// time, so removals must not be held.
TEST(Control, AppliesRemovalsAtOnceAfterProcessPause) {
  view_world world(kDaemons);
  world.SetPeerPartition(7, true);
  world.Run(seconds(5));
  world.SetSuspended(7, true);
  world.Run(seconds(3));
  world.RemoveInstance(3);
  world.SetSuspended(7, false);
  world.Run(milliseconds(500));
  EXPECT_FALSE(world.View(7).instances.contains("3"));
}

// Peers do not know of a daemon whose instance is not registered. It requests
// updates from them, since reading every configuration itself would fill its
// link.
TEST(Control, UnlistedDaemonReceivesRequestedUpdates) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.RemoveInstance(4);
  world.Run(milliseconds(400));
  const std::uint64_t before = world.reads();
  for (std::uint64_t version = 2; version < 6; ++version) {
    world.PublishConfiguration();
    world.Run(milliseconds(700));
    EXPECT_EQ(world.Status(4).version, version);
  }
  EXPECT_LE(world.reads() - before, 20u) << "a single daemon reads the store";
}

// Under load, configurations of 100 KB or more follow in quick succession. A
// watch would return every missed version.
TEST(Control, ReadsOnlyLatestOfManyMissedConfigurations) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.PublishConfiguration();
  world.Run(milliseconds(500));
  world.SetSuspended(7, true);
  for (int i = 0; i < 5; ++i) {
    world.PublishConfiguration();
    world.Run(milliseconds(250));
  }
  const std::uint64_t before = world.FullReads();
  world.SetSuspended(7, false);
  world.Run(milliseconds(500));
  EXPECT_EQ(world.FullReads(), before + 1);
  EXPECT_TRUE(AllHaveVersion(world, 7));
}

TEST(Control, DoesFullReadWhenStoreHistoryIsCompacted) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(2));
  world.PublishConfiguration();
  world.RemoveInstance(2);
  world.store().CompactHistory();
  world.SetStoreDown(false);
  world.Run(seconds(4));
  EXPECT_TRUE(AllHaveVersion(world, 2));
  EXPECT_FALSE(world.View(7).instances.contains("2"));
}

// Two daemons may have requested updates from each other, as when one registers
// and the other is removed. Forwarding duplicates would then never end.
TEST(Control, DoesNotForwardDuplicateUpdatesToSubscribers) {
  manual_clock clock;
  text_decoder decoder;
  recording_environment environment;
  view_keeper keeper({.address = "10.0.0.1"}, clock, decoder, environment,
                     environment, environment);
  keeper.OnUpdate({.root = "10.0.0.2", .to_revision = 0});
  view_update update{.root = "10.0.0.3", .to_revision = 5, .age_ms = 10};
  keeper.OnUpdate(update);
  EXPECT_EQ(environment.sent.size(), 1u);
  clock.now += milliseconds(1);
  keeper.OnUpdate(update);
  EXPECT_EQ(environment.sent.size(), 1u) << "the update is a duplicate";
  clock.now += milliseconds(500);
  update.sent_ms = 500;
  keeper.OnUpdate(update);
  EXPECT_EQ(environment.sent.size(), 2u)
      << "the update confirms the view at a later time";
}

// Under load, a configuration has 300 KB or more, and the link between two
// regions has 60 Mbit/s. All watches end at once when the store compacts its
// history.
TEST(Control, FewDaemonsDoFullReadWhenStoreHistoryIsCompacted) {
  constexpr int kLargeFleet = 40;
  view_world world(kLargeFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(1));
  world.PublishConfiguration();
  world.store().CompactHistory();
  const std::uint64_t before = world.FullReads();
  world.SetStoreDown(false);
  world.Run(seconds(3));
  EXPECT_TRUE(AllHaveVersion(world, 2));
  EXPECT_LE(world.FullReads() - before, 8u);
}

// All daemons of a large fleet start at once after a power loss.
TEST(Control, FewDaemonsDoFullReadWhenLargeFleetRestarts) {
  constexpr int kLargeFleet = 40;
  view_world world(kLargeFleet);
  world.Run(seconds(5));
  for (int i = 0; i < kLargeFleet; ++i) {
    world.Kill(i);
  }
  world.Run(seconds(1));
  world.RemoveInstance(3);
  const std::uint64_t before = world.FullReads();
  for (int i = 0; i < kLargeFleet; ++i) {
    world.Start(i);
  }
  world.Run(milliseconds(800));
  for (int i = 0; i < kLargeFleet; ++i) {
    EXPECT_EQ(world.Status(i).version, 1u) << i;
    EXPECT_FALSE(world.View(i).instances.contains("3")) << i;
  }
  EXPECT_LE(world.FullReads() - before, 8u);
}

TEST(Control, RestartedDaemonOfLargeFleetReceivesFullViewFromPeers) {
  constexpr int kLargeFleet = 40;
  view_world world(kLargeFleet);
  world.Run(seconds(5));
  int last_in_order = 0;
  const auto order = [](int daemon) {
    return AddressOrder("10.0.0." + std::to_string(daemon + 1));
  };
  for (int i = 0; i < kLargeFleet; ++i) {
    last_in_order = order(i) > order(last_in_order) ? i : last_in_order;
  }
  world.Kill(last_in_order);
  world.Run(seconds(1));
  const std::uint64_t before = world.FullReads();
  world.Start(last_in_order);
  world.Run(milliseconds(500));
  EXPECT_EQ(world.Status(last_in_order).version, 1u);
  EXPECT_EQ(world.FullReads(), before);
}

TEST(Control, SuspendedActiveReaderIsReplacedAndCatchesUp) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  int reader = 0;
  while (!world.Status(reader).active_reader) {
    ++reader;
  }
  world.SetSuspended(reader, true);
  world.PublishConfiguration();
  world.Run(seconds(4));
  world.PublishConfiguration();
  world.SetSuspended(reader, false);
  world.Run(seconds(2));
  EXPECT_TRUE(AllHaveVersion(world, 3));
  EXPECT_EQ(world.Violations(), std::vector<std::string>());
}

// Cuts the southern region from its peers for less time than a takeover takes,
// so that it misses updates.
void MissUpdatesInTheSouth(view_world& world, int daemons) {
  const auto cut = [&](bool partitioned) {
    for (int i = 0; i < daemons; ++i) {
      if (i % 4 >= 2) {
        world.SetPeerPartition(i, partitioned);
      }
    }
  };
  cut(true);
  world.PublishConfiguration();
  world.RemoveInstance(5);
  world.Run(milliseconds(500));
  cut(false);
  world.PublishConfiguration();
}

// Guards against a region whose daemons all read the store over a full link.
TEST(Control, FewDaemonsReadAfterRegionMissedAnUpdate) {
  constexpr int kLargeFleet = 80;
  view_world world(kLargeFleet);
  world.Run(seconds(5));
  const std::uint64_t before = world.reads();
  MissUpdatesInTheSouth(world, kLargeFleet);
  world.Run(milliseconds(1500));
  for (int i = 0; i < kLargeFleet; ++i) {
    EXPECT_EQ(world.Status(i).version, 3u) << i;
    EXPECT_FALSE(world.View(i).instances.contains("5")) << i;
  }
  EXPECT_LE(world.reads() - before, 16u);
}

}  // namespace
}  // namespace parsleyyard::testing
