// View keepers of a fleet of hundreds of daemons: the start of the fleet, and
// daemons that restart while the store is unavailable. What all daemons send
// must grow with their number, not with its square.

#include "tests/view_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace parsleyyard::testing {
namespace {

constexpr int kFleet = 200;
// Items that a daemon may receive for each item of the store.
constexpr std::uint64_t kMaxCopies = 4;

bool AllHaveTheView(const view_world& world) {
  for (int i = 0; i < kFleet; ++i) {
    if (world.Status(i).version == 0 ||
        world.View(i).instances.size() < kFleet) {
      return false;
    }
  }
  return true;
}

// Runs the world until all daemons have the view. Returns the time it took.
duration RunUntilAllHaveTheView(view_world& world, duration limit) {
  const instant start = world.now();
  while (!AllHaveTheView(world) && world.now() - start < limit) {
    world.Run(milliseconds(20));
  }
  return world.now() - start;
}

// The instances of a new fleet register after the daemons have started.
TEST(LargeFleet, StartWithoutRegistrationsSendsEachItemAFewTimes) {
  view_world world(kFleet, view_world::start::kUnregistered);
  world.Run(milliseconds(400));
  for (int i = 0; i < kFleet; ++i) {
    world.RegisterInstance(i, "ready");
    world.Run(milliseconds(20));  // rounds up to a tick
  }
  EXPECT_LE(RunUntilAllHaveTheView(world, seconds(10)), seconds(2));
  world.Run(seconds(3));
  EXPECT_EQ(world.ActiveReaders(), 1);
  EXPECT_LE(world.ItemsSent(), kMaxCopies * kFleet * (kFleet + 1));
  EXPECT_TRUE(world.Violations().empty()) << world.Violations().front();
}

TEST(LargeFleet, RestartInAnOutageSendsFewFullViews) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(3));
  constexpr int kRestarted = 17;
  world.Kill(kRestarted);
  const std::uint64_t before = world.FullUpdates();
  world.Start(kRestarted);
  EXPECT_LE(RunUntilAllHaveTheView(world, seconds(5)), milliseconds(200));
  world.Run(seconds(2));
  EXPECT_LE(world.FullUpdates() - before, 8u);
}

// Guards against a store that is asked by all daemons all the time while it
// refuses them.
TEST(LargeFleet, OutageCausesFewReadsAndItsEndIsSeenSoon) {
  view_world world(kFleet);
  world.Run(seconds(3));
  const std::uint64_t before = world.reads();
  constexpr int kOutageSeconds = 5;
  world.SetStoreBusy(true);
  world.Run(seconds(kOutageSeconds));
  // Each daemon reads once, then the fleet 100 times a second and the few that
  // read for it.
  EXPECT_LE(world.reads() - before, kFleet + kOutageSeconds * 130U);
  world.PublishConfiguration();
  world.SetStoreBusy(false);
  world.Run(seconds(1));
  for (int i = 0; i < kFleet; ++i) {
    EXPECT_EQ(world.Status(i).version, 2U) << i;
  }
}

// The daemons that read for the fleet are cut off from the store for longer.
TEST(LargeFleet, EndOfAnOutageIsSeenWithoutThePreferredReaders) {
  view_world world(kFleet);
  world.Run(seconds(3));
  std::vector<std::pair<std::uint64_t, int>> order;
  for (int i = 0; i < kFleet; ++i) {
    const host_address& host =
        world.View(0).instances.at(std::to_string(i)).registration.host;
    order.emplace_back(AddressOrder(host), i);
  }
  std::sort(order.begin(), order.end());
  world.SetStoreBusy(true);
  world.Run(seconds(3));
  for (std::size_t rank = 0; rank < 10; ++rank) {
    world.SetStorePartition(order[rank].second, true);
  }
  world.PublishConfiguration();
  world.SetStoreBusy(false);
  world.Run(seconds(1));
  for (int i = 0; i < kFleet; ++i) {
    EXPECT_EQ(world.Status(i).version, 2U) << i;
  }
}

// No daemon of the region has a view that it could pass on.
TEST(LargeFleet, RegionThatRestartsInAnOutageIsHelpedByTheOther) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(3));
  const auto in_south = [](int daemon) { return daemon % 4 >= 2; };
  for (int i = 0; i < kFleet; ++i) {
    if (in_south(i)) {
      world.Kill(i);
    }
  }
  world.Run(seconds(1));
  const std::uint64_t before = world.FullUpdates();
  for (int i = 0; i < kFleet; ++i) {
    if (in_south(i)) {
      world.Start(i);
    }
  }
  EXPECT_LE(RunUntilAllHaveTheView(world, seconds(5)), seconds(1));
  world.Run(seconds(2));
  EXPECT_LE(world.FullUpdates() - before, 8u * kFleet);
}

TEST(LargeFleet, HerdThatRestartsInAnOutageGetsTheViewFromTheRest) {
  view_world world(kFleet);
  world.Run(seconds(5));
  world.SetStoreDown(true);
  world.Run(seconds(3));
  std::mt19937 random(1);
  std::vector<int> killed;
  for (int i = 0; i < kFleet; ++i) {
    if (random() % 100 < 60) {
      world.Kill(i);
      killed.push_back(i);
    }
  }
  world.Run(seconds(1));
  const std::uint64_t before = world.FullUpdates();
  for (const int daemon : killed) {
    world.Start(daemon);
  }
  EXPECT_LE(RunUntilAllHaveTheView(world, seconds(5)), seconds(2));
  EXPECT_LE(world.FullUpdates() - before, 8u * kFleet);
}

// The fleet comes back after a loss of power while the store serves it.
TEST(LargeFleet, FleetThatRestartsSendsEachItemAFewTimes) {
  view_world world(kFleet);
  world.Run(seconds(5));
  for (int i = 0; i < kFleet; ++i) {
    world.Kill(i);
  }
  world.Run(seconds(1));
  const std::uint64_t before = world.ItemsSent();
  for (int i = 0; i < kFleet; ++i) {
    world.Start(i);
  }
  EXPECT_LE(RunUntilAllHaveTheView(world, seconds(10)), seconds(1));
  world.Run(seconds(3));
  EXPECT_EQ(world.ActiveReaders(), 1);
  EXPECT_LE(world.ItemsSent() - before, kMaxCopies * kFleet * (kFleet + 1));
}

}  // namespace
}  // namespace parsleyyard::testing
