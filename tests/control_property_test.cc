// Random histories of faults and changes; the promises are those of
// tests/view_world.h.

#include "tests/view_world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace parsleyyard::testing {
namespace {

constexpr int kFleet = 8;

// What happens next, and how long afterwards nothing else does.
struct step {
  int act;
  int daemon;
  int pause_ms;
};

void Perform(view_world& world, const step& next, std::vector<bool>& alive) {
  const int daemon = next.daemon;
  switch (next.act) {
    case 0:
      return world.Configure();
    case 1:
      return world.Evacuate(daemon, true);
    case 2:
      return world.Evacuate(daemon, false);
    case 3:
      return world.Announce(daemon, daemon % 2 == 0 ? "draining" : "ready");
    case 4:
      world.Kill(daemon);
      alive[daemon] = false;
      return;
    case 5:
      if (!alive[daemon]) {
        world.Start(daemon);
        alive[daemon] = true;
      }
      return;
    case 6:
      return world.SetCutFromStore(daemon, true);
    case 7:
      return world.SetCutFromStore(daemon, false);
    case 8:
      return world.SetCutFromPeers(daemon, true);
    case 9:
      return world.SetCutFromPeers(daemon, false);
    case 10:
      return world.SetStoreDown(true);
    case 11:
      return world.SetStoreDown(false);
    case 12:
      if (alive[daemon]) {
        world.SetFrozen(daemon, true);
      }
      return;
    case 13:
      if (alive[daemon]) {
        world.SetFrozen(daemon, false);
      }
      return;
    case 14:
      return world.store().Forget();
    default:
      return world.store().Put("config", "bad", world.now());
  }
}

TEST(ControlProperty, NoDaemonGoesBackAndChangesAreKnownInTime) {
  EXPECT_TRUE(rc::check("promises hold under random histories", [] {
    const auto steps = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 1 << 20)));
    view_world world(kFleet);
    world.Run(seconds(4));
    std::vector<bool> alive(kFleet, true);
    for (const std::vector<int>& drawn : steps) {
      const step next{.act = drawn[0] % 16,
                      .daemon = drawn[1] % kFleet,
                      .pause_ms = drawn[2] % 1500};
      Perform(world, next, alive);
      world.Run(milliseconds(next.pause_ms));
    }
    if (!world.broken().empty()) {
      RC_FAIL(world.broken().front());
    }
  }));
}

}  // namespace
}  // namespace parsleyyard::testing
