// Loads that many senders place at many targets: what callers get where
// instances state their speed, and where they don't.

#include "tests/fleet_load.h"

#include <iostream>

namespace parsleyyard::testing {
namespace {

// 40 senders and 30 instances in two zones of one region, each with 4 slots:
// 1200 calls of 100 ms a second. Two classes, one of them less urgent.
fleet_load OneRegion(double share_of_capacity) {
  const double per_second = 1200 * share_of_capacity;
  return {.zones = {{.name = "north-a", .senders = 20, .instances = 15},
                    {.name = "north-b", .senders = 20, .instances = 15}},
          .classes = {{.name = "urgent", .per_second = per_second / 2},
                      {.name = "bulk",
                       .per_second = per_second / 2,
                       .objective = milliseconds(1500),
                       .deadline = milliseconds(6000),
                       .priority = 2}}};
}

load_result PlayAndPrint(const std::string& name, const fleet_load& load) {
  load_result result = Play(load);
  std::cout << name << (load.paced ? ", paced" : ", not paced") << "\n"
            << result.Describe();
  return result;
}

load_result PlayWithoutSpeed(const std::string& name, fleet_load load) {
  load.paced = false;
  return PlayAndPrint(name, load);
}

// Where instances state their speed, no call may be refused by a third target,
// end as unknown though it reached no instance, or keep its caller waiting for
// a refusal.
void ExpectEarlyAndRareRefusals(const load_result& result) {
  EXPECT_LE(result.RefusalsPerServed(), 0.05);
  EXPECT_LE(result.most_attempts, 3);
  EXPECT_LE(result.Total().RefusedLate(), 0.02);
  EXPECT_EQ(result.Total().unknown, 0);
}

TEST(FreeCapacity, BelowTheCapacityCallsAreServedInTheObjective) {
  const load_result after = PlayAndPrint("0.8 of the capacity", OneRegion(0.8));
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.Total().InObjective(), 0.999);
  EXPECT_LE(after.Total().AttemptsPerRequest(), 1.01);
}

// Guards against refusals by targets in place of answers: without stated
// speeds, each served call costs one refusal or more. Also guards against a
// less urgent class that is served before a more urgent one.
TEST(FreeCapacity, AboveTheCapacityCallsAreRefusedWithoutAskingTargets) {
  const fleet_load load = OneRegion(1.1);
  const load_result before = PlayWithoutSpeed("1.1 of the capacity", load);
  const load_result after = PlayAndPrint("1.1 of the capacity", load);
  EXPECT_GE(before.RefusalsPerServed(), 0.8);
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.classes.at("urgent").InObjective(), 0.995);
  // The capacity is 0.91 of the calls; the rest is refused.
  EXPECT_GE(after.Total().InObjective(), 0.89);
}

// Guards against calls that collect at an instance whose work takes four times
// as long as usual.
TEST(FreeCapacity, SlowInstanceGetsTheCallsThatItCanRun) {
  fleet_load load = OneRegion(0.8);
  const host_address slow = InstanceAddress(3);
  load.speed_percent[slow] = 400;
  const load_result after = PlayAndPrint("slow instance", load);
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.Total().InObjective(), 0.995);
  const int mean = after.Total().answered / 30;
  EXPECT_LE(after.answered_by.at(slow), mean / 2);
}

// It can run 10 calls a second, which are not lost when the others are full.
TEST(FreeCapacity, SlowInstanceIsUsedWhenOthersAreFull) {
  fleet_load load = OneRegion(1.1);
  const host_address slow = InstanceAddress(3);
  load.speed_percent[slow] = 400;
  const load_result after = PlayAndPrint("slow instance, all full", load);
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.answered_by.at(slow), 40);
}

// Guards against senders that all choose the instance of which they know
// nothing: it seems idle. Its target refused one call for three served ones.
TEST(FreeCapacity, InstanceWithoutReportsGetsNoMoreThanOthers) {
  fleet_load load = OneRegion(0.8);
  const host_address silent = InstanceAddress(3);
  load.silent.insert(silent);
  const load_result before = PlayWithoutSpeed("no reports of one", load);
  const load_result after = PlayAndPrint("no reports of one", load);
  EXPECT_GE(before.RefusalsPerServed(), 0.2);
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.Total().InObjective(), 0.995);
  const int mean = after.Total().answered / 30;
  EXPECT_GE(after.answered_by.at(silent), mean / 2);
  EXPECT_LE(after.answered_by.at(silent), mean * 3 / 2);
}

// 30 senders and 24 instances that can be used: 16 in the south and, while a
// zone of the north is out, 8 there. The class "bound" may only run in the
// north and sends 2.3 times its usual 100 calls a second; "free" sends 500.
fleet_load BoundBurst() {
  return {.zones = {{.name = "north-a", .senders = 10, .instances = 8},
                    {.name = "north-b",
                     .senders = 10,
                     .instances = 8,
                     .evacuated = true},
                    {.name = "south-a", .senders = 10, .instances = 8},
                    {.name = "south-b", .senders = 10, .instances = 8}},
          .classes = {{.name = "bound",
                       .per_second = 100,
                       .home_regions = {"north"},
                       .burst_factor = 2.3,
                       .burst_from = seconds(2),
                       .burst_to = seconds(7)},
                      {.name = "free", .per_second = 500}}};
}

// Guards against calls that take the last slots of a region from those that may
// not leave it: a tenth of these was refused, after four attempts each.
TEST(FreeCapacity, CallsThatMayLeaveARegionMakeRoomForThoseThatMayNot) {
  const fleet_load load = BoundBurst();
  const load_result before = PlayWithoutSpeed("burst with a zone out", load);
  const load_result after = PlayAndPrint("burst with a zone out", load);
  EXPECT_GE(before.RefusalsPerServed(), 0.8);
  EXPECT_LE(before.classes.at("bound").InObjective(), 0.95);
  ExpectEarlyAndRareRefusals(after);
  EXPECT_GE(after.classes.at("bound").InObjective(), 0.99);
  EXPECT_GE(after.classes.at("free").InObjective(), 0.99);
}

// Guards against traffic between regions that nobody needs.
TEST(FreeCapacity, WithIdleCapacityNoCallCrosses) {
  fleet_load load = BoundBurst();
  load.zones[1].evacuated = false;
  load.classes[0].burst_factor = 1;
  const load_result after = PlayAndPrint("idle capacity", load);
  EXPECT_EQ(after.classes.at("free").crossed, 0);
  EXPECT_GE(after.Total().InObjective(), 0.995);
}

// Guards against a class that crosses though none is bound to its region: it
// finds enough room after a short wait.
TEST(FreeCapacity, WithoutABoundClassCallsStayInTheRegion) {
  fleet_load load = BoundBurst();
  load.classes = {{.name = "free", .per_second = 380}};
  const load_result after = PlayAndPrint("no bound class", load);
  EXPECT_LE(after.classes.at("free").crossed, 40);
  EXPECT_GE(after.Total().InObjective(), 0.995);
}

}  // namespace
}  // namespace parsleyyard::testing
