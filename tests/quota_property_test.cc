// Quotas of a fleet under random load and faults: what callers get must stay
// within the rule in every window, and near the quota where demand allows it.

#include "tests/quota_world.h"

#include <gtest/gtest.h>

#include <array>

namespace parsleyyard::testing {
namespace {

constexpr int kHosts = 12;
const std::string kName = "w";

void ExpectWithinBound(const quota_world& world,
                       const quota& limit,
                       std::uint64_t seed) {
  EXPECT_LE(static_cast<double>(world.LargestWindow(kName)),
            quota_world::Bound(limit))
      << "rate " << limit.rate << ", burst " << limit.burst << ", seed "
      << seed;
  EXPECT_EQ(world.double_grants(), 0U) << "seed " << seed;
}

void SetEvenDemand(quota_world& world, int hosts, double rate) {
  for (int i = 0; i < hosts; ++i) {
    world.SetDemand(kName, i, rate / hosts);
  }
}

// Guards against tokens that expire unused or wait at the wrong daemon: quota
// that callers want and don't get.
TEST(QuotaFleet, SteadyDemandGetsNearlyTheWholeQuota) {
  for (const double rate : {4.0, 40.0, 332.0}) {
    for (const double demand : {0.9, 1.2, 3.0, 20.0}) {
      quota_world world({.hosts = kHosts});
      const quota limit{.rate = rate, .burst = rate};
      world.SetQuota(kName, limit);
      world.Run(seconds(6));
      SetEvenDemand(world, kHosts, rate * demand);
      world.Run(seconds(15));
      const instant from = world.now();
      const std::uint64_t sent_before = world.CountsOf(kName).sent;
      world.Run(seconds(20));
      const auto sent =
          static_cast<double>(world.CountsOf(kName).sent - sent_before);
      const auto ran =
          static_cast<double>(world.RunBetween(kName, from, world.now()));
      const double possible = std::min(rate * 20, sent);
      EXPECT_GE(ran, possible * 0.9) << "rate " << rate << " x " << demand;
      ExpectWithinBound(world, limit, 1);
    }
  }
}

TEST(QuotaFleet, SmallBurstOverManyDaemons) {
  for (const double demand : {0.9, 1.2, 3.0, 20.0}) {
    constexpr int kMany = 66;
    quota_world world({.hosts = kMany});
    const quota limit{.rate = 100, .burst = 1};
    world.SetQuota(kName, limit);
    world.Run(seconds(6));
    SetEvenDemand(world, kMany, limit.rate * demand);
    world.Run(seconds(10));
    const instant from = world.now();
    const std::uint64_t sent_before = world.CountsOf(kName).sent;
    world.Run(seconds(20));
    const auto sent =
        static_cast<double>(world.CountsOf(kName).sent - sent_before);
    const double ran =
        static_cast<double>(world.RunBetween(kName, from, world.now()));
    const double possible = std::min(limit.rate * 20, sent);
    EXPECT_GE(ran, possible * 0.9) << demand;
    ExpectWithinBound(world, limit, 1);
  }
}

// Skew of 1:50 between the daemons that callers use.
TEST(QuotaFleet, SkewedDemandGetsNearlyTheWholeQuota) {
  quota_world world({.hosts = kHosts});
  const quota limit{.rate = 100, .burst = 100};
  world.SetQuota(kName, limit);
  world.Run(seconds(6));
  constexpr double kShares = 2 * 50 + 10;
  for (int i = 0; i < kHosts; ++i) {
    const double share = i < 2 ? 50 : 1;
    world.SetDemand(kName, i, limit.rate * 1.2 * share / kShares);
  }
  world.Run(seconds(10));
  const instant from = world.now();
  world.Run(seconds(20));
  EXPECT_GE(world.RunBetween(kName, from, world.now()), 1800U);
  EXPECT_EQ(world.CountsOf(kName).unknown, 0U);
  ExpectWithinBound(world, limit, 1);
}

// Below the quota, no request is refused, whether it waits for its token or
// not. Guards against refusals while the owner is reachable.
TEST(QuotaFleet, NoRefusalBelowTheQuota) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    quota_world world({.hosts = kHosts, .seed = seed});
    world.SetQuota(kName, {.rate = 332, .burst = 332});
    world.Run(seconds(10));
    SetEvenDemand(world, kHosts, 332 / 1.6);
    world.Run(seconds(20));
    EXPECT_EQ(world.CountsOf(kName).over_quota, 0U) << seed;
    EXPECT_EQ(world.CountsOf(kName).unknown, 0U) << seed;
  }
}

// Random faults one after the other, each followed by the next within seconds.
class quota_history {
 public:
  explicit quota_history(std::uint64_t seed)
      : random_(seed),
        limit_{.rate = 1 + static_cast<double>(random_.UniformBelow(400)),
               .burst = static_cast<double>(random_.UniformBelow(400))},
        world_(
            {.hosts = kHosts,
             .seed = seed,
             .lost_percent = static_cast<unsigned>(random_.UniformBelow(4) * 5),
             .max_view_delay = milliseconds(
                 100 + static_cast<int>(random_.UniformBelow(2000)))}) {
    world_.SetQuota(kName, limit_);
    world_.SetReturned(static_cast<unsigned>(random_.UniformBelow(40)));
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      ChangeDemand();
      InjectFault();
      world_.Run(milliseconds(100 + random_.UniformBelow(4000)));
    }
  }
  const quota& limit() const { return limit_; }
  const quota_world& world() const { return world_; }

 private:
  int AnyHost() { return static_cast<int>(random_.UniformBelow(kHosts)); }
  bool Chance() { return random_.UniformBelow(2) == 0; }

  void ChangeDemand() {
    const double factor =
        std::array{0.5, 1.0, 3.0, 20.0}[random_.UniformBelow(4)];
    if (Chance()) {
      SetEvenDemand(world_, kHosts, limit_.rate * factor);
    } else {
      world_.SetDemand(kName, AnyHost(), limit_.rate * factor);
    }
  }

  void InjectFault() {
    const int host = Chance() ? world_.OwnerOf(kName) : AnyHost();
    switch (random_.UniformBelow(7)) {
      case 0:
        world_.SetCutFromStore(host, Chance());
        break;
      case 1:
        // Both ways, from all others.
        world_.SetCut(
            [host](int a, int b) { return (a == host) != (b == host); });
        break;
      case 2:
        // Between the regions.
        world_.SetCut([](int a, int b) { return a % 2 != b % 2; });
        break;
      case 3:
        world_.SetCut([](int, int) { return false; });
        break;
      case 4:
        unlisted_ = unlisted_ >= 0 ? unlisted_ : host;
        listed_ = !listed_;
        world_.SetListed(unlisted_, listed_);
        unlisted_ = listed_ ? -1 : unlisted_;
        break;
      case 5:
        world_.Restart(host);
        break;
      default:
        frozen_ = !frozen_;
        frozen_host_ = frozen_ ? host : frozen_host_;
        world_.SetFrozen(frozen_host_, frozen_);
        break;
    }
  }

  seeded_random random_;
  quota limit_;
  quota_world world_;
  bool listed_ = true;
  int unlisted_ = -1;
  bool frozen_ = false;
  int frozen_host_ = 0;
};

TEST(QuotaFleet, RandomFaultsKeepTheBound) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    quota_history history(seed);
    history.Run(25);
    ExpectWithinBound(history.world(), history.limit(), seed);
  }
}

// All daemons restart at once while callers send far more than the quota.
TEST(QuotaFleet, RestartOfTheFleetKeepsTheBound) {
  quota_world world({.hosts = kHosts});
  const quota limit{.rate = 332, .burst = 332};
  world.SetQuota(kName, limit);
  world.Run(seconds(10));
  SetEvenDemand(world, kHosts, limit.rate * 20);
  world.Run(seconds(8));
  for (int i = 0; i < kHosts; ++i) {
    world.Restart(i);
  }
  const instant restarted_at = world.now();
  world.Run(seconds(5));
  // The owner grants again 3.2 s after it has its view.
  EXPECT_GT(world.RunBetween(kName, restarted_at, world.now()), 0U);
  world.Run(seconds(10));
  ExpectWithinBound(world, limit, 1);
}

TEST(QuotaFleet, OwnerCutOffFromAllKeepsTheBoundAndTheFallback) {
  quota_world world({.hosts = kHosts});
  const quota limit{.rate = 100, .burst = 100};
  world.SetQuota(kName, limit);
  world.Run(seconds(10));
  SetEvenDemand(world, kHosts, limit.rate * 20);
  world.Run(seconds(10));
  const int owner = world.OwnerOf(kName);
  world.SetCut([owner](int a, int b) { return (a == owner) != (b == owner); });
  world.Run(seconds(5));
  world.SetDemand(kName, owner, 0);
  world.Run(seconds(6));
  const instant from = world.now();
  world.Run(seconds(20));
  const auto ran =
      static_cast<double>(world.RunBetween(kName, from, world.now()));
  const double fallback = FallbackTotal({}, limit) * 4;
  EXPECT_GE(ran, fallback * 0.7);
  EXPECT_LE(ran, fallback);
  ExpectWithinBound(world, limit, 1);
  EXPECT_EQ(world.waiting(), 0U);
}

// A lowered limit holds from one window after 3 s, for all hosts in touch.
TEST(QuotaFleet, LoweredLimitTakesEffect) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    quota_world world({.hosts = kHosts, .seed = seed});
    world.SetQuota(kName, {.rate = 332, .burst = 332});
    world.Run(seconds(10));
    SetEvenDemand(world, kHosts, 332 * 3);
    world.Run(seconds(10));
    const quota lowered{.rate = 10, .burst = 5};
    world.SetQuota(kName, lowered);
    const instant counts_from = world.now() + seconds(8);
    world.Run(seconds(30));
    EXPECT_LE(static_cast<double>(world.LargestWindow(kName, counts_from)),
              quota_world::Bound(lowered))
        << seed;
  }
}

// The hosts register one after the other while requests arrive.
TEST(QuotaFleet, HostsThatRegisterOneByOneKeepTheBound) {
  quota_world world({.hosts = kHosts});
  const quota limit{.rate = 20, .burst = 0};
  world.SetQuota(kName, limit);
  for (int i = 1; i < kHosts; ++i) {
    world.SetListed(i, false);
  }
  SetEvenDemand(world, kHosts, limit.rate * 20);
  for (int i = 1; i < kHosts; ++i) {
    world.Run(milliseconds(700));
    world.SetListed(i, true);
  }
  world.Run(seconds(20));
  ExpectWithinBound(world, limit, 1);
}

}  // namespace
}  // namespace parsleyyard::testing
