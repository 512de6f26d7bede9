// Tests of the view keeper with a store that was restored from an older copy.

#include "tests/view_keeper_fixtures.h"

#include <gtest/gtest.h>

namespace parsleyyard::testing {
namespace {

// Publishes two versions after the copy, and restores the store from it.
struct restored_world {
  explicit restored_world(int daemons, duration rewrite_delay = seconds(1))
      : world(daemons) {
    world.Run(seconds(5));
    const simulated_store::copy copy = world.store().Copy();
    world.PublishConfiguration();
    world.Run(seconds(1));
    world.PublishConfiguration();
    world.Run(seconds(1));
    world.SetStoreDown(true);
    world.Run(seconds(2));
    world.RestoreStore(copy, rewrite_delay);
    world.SetStoreDown(false);
  }
  view_world world;
};

TEST(RestoredStore, ChangesAfterRestoreReachAllDaemons) {
  restored_world test(kDaemons);
  test.world.Run(seconds(3));
  test.world.PublishConfiguration();
  test.world.Run(seconds(1));
  EXPECT_TRUE(AllHaveVersion(test.world, 4));
  EXPECT_EQ(test.world.Violations(), std::vector<std::string>());
}

TEST(RestoredStore, RevisionThatIsGivenOutAgainConfirmsNoLostHistory) {
  restored_world test(kDaemons, seconds(60));
  test.world.PublishConfiguration();
  test.world.RemoveInstance(3);
  test.world.Run(milliseconds(3500));
  EXPECT_TRUE(AllHaveVersion(test.world, 4));
  for (int i = 0; i < kDaemons; ++i) {
    EXPECT_FALSE(test.world.View(i).instances.contains("3")) << i;
  }
}

TEST(RestoredStore, OlderConfigurationOfCopyIsNotTaken) {
  restored_world test(kDaemons, seconds(3));
  for (int step = 0; step < 50; ++step) {
    test.world.Run(milliseconds(100));
    ASSERT_TRUE(AllHaveVersion(test.world, 3)) << step;
  }
}

TEST(RestoredStore, RestartedDaemonGetsConfigurationThatCopyLacks) {
  keeper_with_instance old_daemon;
  simulated_store& store = old_daemon.store;
  store.Put("config", "3", old_daemon.clock.now);
  const simulated_store::copy copy = store.Copy();
  store.Put("config", "4", old_daemon.clock.now);
  old_daemon.keeper.OnWatchResult(store.AllItems());
  store.Restore(copy);
  old_daemon.keeper.Tick();
  old_daemon.keeper.OnFullRead(store.AllItems());
  ASSERT_EQ(old_daemon.keeper.Status().position, store.Position());
  old_daemon.environment.sent.clear();
  old_daemon.keeper.OnPeerStarted("10.0.0.5");
  ASSERT_EQ(old_daemon.environment.sent.size(), 1u);

  recording_environment environment;
  view_keeper started({.address = "10.0.0.5"}, old_daemon.clock,
                      old_daemon.decoder, environment, environment,
                      environment);
  started.Tick();
  started.OnStateRead(store.AllItems());
  started.Tick();
  started.OnFullRead(store.AllItems());
  EXPECT_EQ(started.Status().version, 3u);
  started.OnUpdate(old_daemon.environment.sent[0]);
  EXPECT_EQ(started.Status().version, 4u);
}

TEST(RestoredStore, InstanceThatCopyLacksIsKeptUntilItRegistersAgain) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.RemoveInstance(3);
  world.RemoveInstance(5);
  world.Run(seconds(1));
  const simulated_store::copy copy = world.store().Copy();
  world.RegisterInstance(3, "ready");
  world.RegisterInstance(5, "ready");
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(60));
  for (int step = 0; step < 18; ++step) {
    world.Run(milliseconds(100));
    ASSERT_TRUE(world.View(0).instances.contains("3")) << step;
  }
  world.RegisterInstance(3, "ready");
  world.Run(seconds(3));
  EXPECT_TRUE(world.View(0).instances.contains("3"));
  EXPECT_FALSE(world.View(0).instances.contains("5"))
      << "it did not register again";
}

TEST(RestoredStore, InstanceThatLeftIsNotUsedAgain) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy copy = world.store().Copy();
  world.RegisterInstance(3, "draining");
  world.Run(seconds(1));
  world.RemoveInstance(3);
  world.RemoveInstance(5);
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(60));
  for (int step = 0; step < 40; ++step) {
    world.Run(milliseconds(100));
    for (int i = 0; i < kDaemons; ++i) {
      ASSERT_FALSE(world.View(i).instances.contains("3")) << i;
      ASSERT_FALSE(world.View(i).instances.contains("5")) << i;
    }
  }
  world.RegisterInstance(3, "ready");
  world.Run(milliseconds(500));
  EXPECT_TRUE(world.View(0).instances.contains("3")) << "it registered again";
  world.Run(seconds(3));
  EXPECT_TRUE(world.View(0).instances.contains("5"))
      << "its registration did not expire";
}

TEST(RestoredStore, DrainingInstanceGetsNoCallsThoughCopyListsItAsReady) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy copy = world.store().Copy();
  world.RegisterInstance(3, "draining");
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(60));
  world.Run(seconds(3));
  for (int i = 0; i < kDaemons; ++i) {
    EXPECT_TRUE(world.View(i).instances.at("3").registration.draining) << i;
  }
}

TEST(RestoredStore, EvacuationThatCopyLacksHoldsUntilWrittenAgain) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy copy = world.store().Copy();
  world.Evacuate(1, true);
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(4));
  for (int step = 0; step < 120; ++step) {
    world.Run(milliseconds(100));
    ASSERT_TRUE(world.View(0).evacuated.contains("domain-1")) << step;
  }
  world.Evacuate(1, false);
  world.Run(seconds(1));
  EXPECT_FALSE(world.View(0).evacuated.contains("domain-1"));
}

TEST(RestoredStore, EvacuationThatIsNotWrittenAgainEnds) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy copy = world.store().Copy();
  world.Evacuate(1, true);
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(60));
  world.Run(seconds(12));
  EXPECT_TRUE(world.View(0).evacuated.empty());
}

// A daemon that knows an evacuation and a configuration that the restored store
// lacks.
struct keeper_after_restore : keeper_with_instance {
  keeper_after_restore() {
    store.Put("config", "3", clock.now);
    copy = store.Copy();
    store.Put("config", "4", clock.now);
    store.Put("out/domain-1", "", clock.now);
    keeper.OnWatchResult(store.AllItems());
    Restore();
  }
  void Restore() {
    store.Restore(copy);
    ReadAll();
  }
  void ReadAll() {
    keeper.Tick();
    keeper.OnFullRead(store.AllItems());
  }
  simulated_store::copy copy;
};

TEST(RestoredStore, SecondFullReadDropsNoHeldEvacuation) {
  keeper_after_restore test;
  test.store.Put("i/2", InstanceText("10.0.0.9", "domain-0"), test.clock.now);
  test.ReadAll();
  EXPECT_TRUE(test.keeper.Current()->evacuated.contains("domain-1"));
}

TEST(RestoredStore, HeldItemsOfAPeerAreHeldByItsReceiver) {
  keeper_after_restore sender;
  keeper_with_instance receiver;
  receiver.store.Put("out/domain-1", "", receiver.clock.now);
  receiver.keeper.OnWatchResult(receiver.store.AllItems());
  sender.environment.sent.clear();
  sender.keeper.OnPeerStarted("10.0.0.5");
  ASSERT_EQ(sender.environment.sent.size(), 1u);
  receiver.keeper.OnUpdate(sender.environment.sent[0]);
  EXPECT_EQ(receiver.keeper.Status().version, 4u);
  EXPECT_TRUE(receiver.keeper.Current()->evacuated.contains("domain-1"));
  for (int i = 0; i < 24; ++i) {
    receiver.clock.now += milliseconds(500);
    receiver.keeper.Tick();
  }
  EXPECT_FALSE(receiver.keeper.Current()->evacuated.contains("domain-1"))
      << "it was not written again";
}

TEST(RestoredStore, HeldItemsReachDaemonThatHasReadTheStoreSince) {
  keeper_after_restore sender;
  sender.environment.sent.clear();
  sender.keeper.OnPeerStarted("10.0.0.5");
  ASSERT_EQ(sender.environment.sent.size(), 1u);
  sender.store.Put("i/2", InstanceText("10.0.0.9", "domain-0"),
                   sender.clock.now);
  recording_environment environment;
  view_keeper started({.address = "10.0.0.5"}, sender.clock, sender.decoder,
                      environment, environment, environment);
  started.Tick();
  started.OnStateRead(sender.store.AllItems());
  started.Tick();
  started.OnFullRead(sender.store.AllItems());
  ASSERT_EQ(started.Status().version, 3u);
  started.OnUpdate(sender.environment.sent[0]);
  EXPECT_EQ(started.Status().version, 4u);
  EXPECT_TRUE(started.Current()->evacuated.contains("domain-1"));
}

TEST(RestoredStore, SecondRestoreShowsNoInstanceThatLeft) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy copy = world.store().Copy();
  world.RemoveInstance(5);
  world.Run(seconds(1));
  world.RestoreStore(copy, seconds(60));
  world.Run(seconds(4));
  world.RestoreStore(copy, seconds(60));
  world.Run(milliseconds(3500));
  for (int i = 0; i < kDaemons; ++i) {
    EXPECT_FALSE(world.View(i).instances.contains("5")) << i;
  }
}

TEST(RestoredStore, SeveralRestoresInARow) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  const simulated_store::copy first = world.store().Copy();
  world.PublishConfiguration();
  world.Run(milliseconds(500));
  const simulated_store::copy second = world.store().Copy();
  world.PublishConfiguration();
  world.Run(milliseconds(500));
  for (int restore = 0; restore < 4; ++restore) {
    world.RestoreStore(restore % 2 == 0 ? first : second, milliseconds(700));
    world.Run(milliseconds(400));
  }
  world.Run(seconds(1));
  world.PublishConfiguration();
  world.Run(seconds(2));
  EXPECT_TRUE(AllHaveVersion(world, 4));
  EXPECT_EQ(world.Violations(), std::vector<std::string>());
}

TEST(RestoredStore, DaemonWithoutStoreGetsNewEraFromPeers) {
  restored_world test(kDaemons, seconds(60));
  test.world.SetStorePartition(4, true);
  test.world.Run(seconds(3));
  test.world.PublishConfiguration();
  test.world.Run(seconds(2));
  EXPECT_EQ(test.world.Status(4).version, 4u);
  EXPECT_EQ(test.world.Status(4).position, test.world.Status(0).position);
}

TEST(RestoredStore, DaemonThatMissedUpdatesAndHasNoStoreGetsNewEraFromPeers) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  world.SetStorePartition(4, true);
  world.SetPeerPartition(4, true);
  const simulated_store::copy copy = world.store().Copy();
  world.PublishConfiguration();
  world.Run(seconds(2));
  world.RestoreStore(copy, seconds(60));
  world.Run(seconds(2));
  world.SetPeerPartition(4, false);
  world.Run(seconds(2));
  world.PublishConfiguration();
  world.Run(seconds(1));
  EXPECT_EQ(world.Status(4).version, 3u);
  EXPECT_EQ(world.Status(4).position, world.Status(0).position);
}

TEST(RestoredStore, FewDaemonsDoFullRead) {
  constexpr int kLargeFleet = 40;
  restored_world test(kLargeFleet, seconds(60));
  const std::uint64_t before = test.world.FullReads();
  test.world.Run(seconds(3));
  for (int i = 0; i < kLargeFleet; ++i) {
    EXPECT_EQ(test.world.Status(i).position.era, 2u) << i;
    EXPECT_EQ(test.world.Status(i).version, 3u) << i;
  }
  EXPECT_LE(test.world.FullReads() - before, 8u);
}

// Position of the next era after that of the store.
store_position NextEra(const simulated_store& store) {
  return {.era = store.Position().era + 1, .revision = store.revision()};
}

TEST(RestoredStore, AnswerOfEarlierEraThatArrivesLateIsIgnored) {
  keeper_with_instance test;
  source_update earlier = test.store.AllItems();
  source_update next = earlier;
  next.as_of = NextEra(test.store);
  test.clock.now += seconds(5);
  test.keeper.Tick();
  test.keeper.OnWatchResult({.as_of = next.as_of});
  test.keeper.Tick();
  test.keeper.OnFullRead(next);
  ASSERT_EQ(test.keeper.Status().position, next.as_of);
  const instant confirmed_at = test.keeper.Status().confirmed_at;
  for (const std::uint64_t era :
       {test.store.Position().era, std::uint64_t{0}}) {
    test.clock.now += seconds(1);
    test.keeper.Tick();
    test.keeper.OnWatchResult({.as_of = {.era = era, .revision = 99}});
    test.clock.now += seconds(1);
    test.keeper.Tick();
    test.keeper.OnFullRead({.as_of = {.era = era, .revision = 99}});
    EXPECT_EQ(test.keeper.Status().position, next.as_of) << era;
    EXPECT_EQ(test.keeper.Status().confirmed_at, confirmed_at) << era;
    EXPECT_EQ(test.keeper.Current()->instances.size(), 1u) << era;
  }
}

TEST(RestoredStore, UpdateOfEarlierEraConfirmsNothing) {
  keeper_with_instance test;
  const store_position known = test.store.Position();
  test.keeper.OnUpdate({.root = "10.0.0.2",
                        .era = known.era + 1,
                        .to_revision = known.revision});
  const store_position next = test.keeper.Status().position;
  test.clock.now += seconds(1);
  test.keeper.OnUpdate({.root = "10.0.0.3",
                        .era = known.era,
                        .from_revision = known.revision,
                        .to_revision = known.revision + 5});
  EXPECT_EQ(test.keeper.Status().position, next);
  EXPECT_GE(test.keeper.Status().age, duration(seconds(1)));
}

TEST(RestoredStore, WatchOfNextEraAppliesNoChangeOfAnotherHistory) {
  keeper_with_instance test;
  test.clock.now += seconds(5);
  test.keeper.Tick();
  const int before = test.environment.full_reads;
  test.keeper.OnWatchResult(
      {.items = {{.key = "i/1", .revision = 9, .removed = true}},
       .as_of = {.era = test.store.Position().era + 1, .revision = 9}});
  EXPECT_EQ(test.keeper.Current()->instances.size(), 1u);
  test.keeper.Tick();
  EXPECT_EQ(test.environment.full_reads, before + 1);
}

}  // namespace
}  // namespace parsleyyard::testing
