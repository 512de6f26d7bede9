// Tests of the relay plan and of packing.

#include "control/control.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

namespace parsleyyard::testing {
namespace {

TEST(RelayPlan, ReachesEachDaemonExactlyOnce) {
  std::vector<relay_peer> peers;
  for (int i = 0; i < 300; ++i) {
    peers.push_back({.address = "10.0." + std::to_string(i / 100) + "." +
                                std::to_string(i % 100),
                     .region = i % 3 == 0 ? "north" : "south"});
  }
  std::map<host_address, int> deliveries;
  std::vector<std::pair<relay_step, int>> pending;
  int max_depth = 0;
  for (relay_step& step : PlanFromOriginator("10.0.0.0", "north", peers, 8)) {
    pending.emplace_back(std::move(step), 1);
  }
  while (!pending.empty()) {
    const auto [step, depth] = pending.back();
    pending.pop_back();
    ++deliveries[step.receiver];
    max_depth = std::max(max_depth, depth);
    const auto receiver =
        std::find_if(peers.begin(), peers.end(),
                     [&, to = step.receiver](const relay_peer& p) {
                       return p.address == to;
                     });
    for (relay_step& next : PlanWithinRange(step.receiver, receiver->region,
                                            "10.0.0.0", step.range, peers, 8)) {
      pending.emplace_back(std::move(next), depth + 1);
    }
  }
  EXPECT_EQ(deliveries.size(), 299u);
  for (const auto& [address, times] : deliveries) {
    EXPECT_EQ(times, 1) << address;
  }
  EXPECT_LE(max_depth, 4);
}

TEST(Packing, SmallChangeYieldsSmallDelta) {
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
