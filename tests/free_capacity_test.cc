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

TEST(FreeCapacity, BelowTheCapacityCallsAreServedInTheObjective) {
  const fleet_load load = OneRegion(0.8);
  const load_result before = PlayWithoutSpeed("0.8 of the capacity", load);
  const load_result after = PlayAndPrint("0.8 of the capacity", load);
  EXPECT_GE(after.Total().InObjective(), before.Total().InObjective());
}

TEST(FreeCapacity, AboveTheCapacityCallsAreRefusedWithoutAskingTargets) {
  const fleet_load load = OneRegion(1.1);
  const load_result before = PlayWithoutSpeed("1.1 of the capacity", load);
  const load_result after = PlayAndPrint("1.1 of the capacity", load);
  EXPECT_GE(after.Total().InObjective(), before.Total().InObjective());
}

TEST(FreeCapacity, SlowInstance) {
  fleet_load load = OneRegion(0.8);
  load.speed_percent[InstanceAddress(3)] = 400;
  PlayWithoutSpeed("slow instance", load);
  PlayAndPrint("slow instance", load);
}

TEST(FreeCapacity, InstanceWithoutReports) {
  fleet_load load = OneRegion(0.8);
  load.silent.insert(InstanceAddress(3));
  PlayWithoutSpeed("instance without reports", load);
  PlayAndPrint("instance without reports", load);
}

TEST(FreeCapacity, Burst) {
  fleet_load load{.zones = {{.name = "north-a", .senders = 10, .instances = 8},
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
  PlayWithoutSpeed("burst", load);
  PlayAndPrint("burst", load);
}

}  // namespace
}  // namespace parsleyyard::testing
