// Tests of the age of the view: what updates waited on their way, and pauses of
// the process.

#include "model/transit_clock.h"
#include "tests/view_keeper_fixtures.h"

#include <gtest/gtest.h>

#include <limits>

namespace parsleyyard::testing {
namespace {

// Receives an update that confirms the view of `test`, sent at `sent_at`.
void ReceiveConfirmation(keeper_with_instance& test, instant sent_at) {
  test.keeper.OnUpdate(
      {.root = "10.0.0.2",
       .cover_from = 0,
       .cover_to = std::numeric_limits<std::uint64_t>::max(),
       .era = test.store.Position().era,
       .from_revision = test.store.revision(),
       .to_revision = test.store.revision(),
       .age_ms = 10,
       .sender = 7,
       .sent_ms = static_cast<std::uint64_t>(sent_at.count() / 1000)});
}

// Guards against answers by an old view that is taken for a fresh one.
TEST(Control, UpdateIsOlderByTheTimeThatItWaitedOnItsWay) {
  keeper_with_instance test;
  ReceiveConfirmation(test, test.clock.now - milliseconds(12));
  const instant sent_at = test.clock.now;
  for (int i = 0; i < 6; ++i) {
    test.clock.now += milliseconds(502);
    test.keeper.Tick();
  }
  ReceiveConfirmation(test, sent_at);
  EXPECT_EQ(test.keeper.Status().age, duration(milliseconds(3010)));
}

TEST(Control, RelayedUpdateIsOlderByTheTimeThatItWaitedOnItsWay) {
  keeper_with_instance test;
  test.store.Put("i/2", InstanceText("10.0.0.7", "domain-0"), test.clock.now);
  test.keeper.OnWatchResult(test.store.AllItems());
  ReceiveConfirmation(test, test.clock.now);
  const instant sent_at = test.clock.now;
  test.clock.now += seconds(2);
  test.environment.sent.clear();
  ReceiveConfirmation(test, sent_at);
  ASSERT_FALSE(test.environment.sent.empty());
  EXPECT_EQ(test.environment.sent[0].age_ms, 2010u);
}

TEST(Control, FirstUpdateAfterPauseAtStartConfirmsNothing) {
  manual_clock clock;
  text_decoder decoder;
  recording_environment environment;
  view_keeper keeper({.address = "10.0.0.1"}, clock, decoder, environment,
                     environment, environment);
  keeper.Tick();
  clock.now += milliseconds(1200);
  keeper.OnUpdate({.root = "10.0.0.2", .to_revision = 5, .age_ms = 10});
  EXPECT_EQ(keeper.Status().position.revision, 5u);
  EXPECT_GT(keeper.Status().age, duration(seconds(60)));
}

TEST(Control, LateResponseToShortWatchConfirmsTheTimeOfItsRequest) {
  keeper_with_instance test;
  for (int i = 0; i < 10 && test.environment.watches == 0; ++i) {
    test.clock.now += milliseconds(300);
    test.keeper.Tick();
  }
  ASSERT_EQ(test.environment.watches, 1);
  const instant asked_at = test.clock.now;
  test.clock.now += milliseconds(600);
  test.keeper.OnWatchResult({.as_of = test.store.Position()});
  EXPECT_LE(test.keeper.Status().confirmed_at, asked_at + milliseconds(1));
}

// A daemon that hears of all changes late would hear no sooner from the store.
TEST(Control, UpdatesThatWaitedOnTheirWayCauseNoReadsOfTheStore) {
  keeper_with_instance test;
  test.store.Put("i/2", InstanceText("10.0.0.1", "domain-0"), test.clock.now);
  test.keeper.OnWatchResult(test.store.AllItems());
  ReceiveConfirmation(test, test.clock.now);
  const int before = test.environment.watches;
  for (int i = 0; i < 20; ++i) {
    const instant sent_at = test.clock.now - seconds(2);
    test.clock.now += milliseconds(200);
    ReceiveConfirmation(test, sent_at);
    test.keeper.Tick();
  }
  EXPECT_EQ(test.environment.watches, before);
}

TEST(TransitClock, CountsWhatAMessageTakesBeyondTheShortestTime) {
  transit_clock transit;
  EXPECT_EQ(transit.Observe(1, seconds(9), seconds(20)), duration::zero());
  EXPECT_EQ(transit.Observe(1, seconds(10), seconds(24)), duration(seconds(3)));
  EXPECT_EQ(transit.Observe(1, seconds(20), seconds(30)), duration::zero());
  EXPECT_EQ(transit.Observe(1, seconds(21), seconds(32)), duration(seconds(1)));
  EXPECT_EQ(transit.Observe(2, seconds(1), seconds(33)), duration::zero())
      << "another clock";
}

TEST(TransitClock, FollowsClocksThatDriftApart) {
  transit_clock transit;
  duration drift{};
  for (instant now = seconds(100); now < seconds(4000); now += seconds(1)) {
    drift += std::chrono::microseconds(50);
    EXPECT_LE(transit.Observe(1, now - drift, now), duration(milliseconds(6)));
  }
}

// An update that had waited in the socket of a suspended process was taken for
// a current one (found by tests/processes_test.py).
TEST(Control, UpdateThatWaitedDuringProcessPauseDoesNotConfirmView) {
  view_world world(kDaemons);
  world.Run(seconds(5));
  int follower = 0;
  while (world.Status(follower).active_reader) {
    ++follower;
  }
  world.SetSuspended(follower, true);
  world.Run(seconds(3));
  world.SetStorePartition(follower, true);
  world.SetSuspended(follower, false);
  EXPECT_GT(world.Status(follower).age, duration(seconds(2)));
  world.SetStorePartition(follower, false);
  world.Run(seconds(2));
  EXPECT_LT(world.Status(follower).age, duration(seconds(1)));
}

}  // namespace
}  // namespace parsleyyard::testing
