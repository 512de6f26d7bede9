// Compares designs for the quotas of workspaces under described loads and
// faults, and prints the table of docs/design/quotas.md. Not a test: the bounds
// that must hold are in quota_property_test.cc.

#include "tests/quota_world.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace parsleyyard::testing {
namespace {

constexpr int kHosts = 66;
constexpr quota kLimit{.rate = 332, .burst = 332};
const std::string kName = "w";
// Demand of the known deployments, of which their quotas are 1.6 times.
const double kUsual = kLimit.rate / 1.6;

enum class fault : std::uint8_t {
  kNone,
  kOwnerKilled,  // and removed from the store 2 s later
  kRegionsCut,
  kFleetRestart,
  kLowered,  // to a tenth
  kStoreLost,
};

struct scenario {
  const char* name;
  double demand = 0;  // requests a second, of all hosts
  bool skewed =
      false;  // two hosts of one region get 50 times the others' demand
  fault happens = fault::kNone;
  bool jumps = false;  // the demand is usual until the time of the fault
};

constexpr duration kBefore = seconds(15);
constexpr duration kAfter = seconds(15);
constexpr duration kUntilRemoved = seconds(2);

struct outcome {
  double sent = 0;         // within kAfter
  double ran = 0;          // within kAfter
  double window = 0;       // most that ran in 5 s
  double late_window = 0;  // most that ran in 5 s, 8 s after the fault or later
  double messages = 0;     // a second
};

double ShareOf(int host, bool skewed) {
  if (!skewed) {
    return 1.0 / kHosts;
  }
  constexpr double kBusy = 50;
  return (host == 0 || host == 2 ? kBusy : 1) / (2 * kBusy + kHosts - 2);
}

// All hosts with one owner, or those of one region with an owner of their own.
class world_run {
 public:
  world_run(const scenario& runs, int regions, int region)
      : runs_(runs),
        regions_(regions),
        region_(region),
        world_({.hosts = kHosts / regions,
                .seed = static_cast<std::uint64_t>(region + 1),
                .region_delay =
                    regions > 1 ? milliseconds(1) : milliseconds(12)}) {
    SetLimit(1);
    world_.Run(seconds(6));
    SetDemand(runs.jumps ? kUsual : runs.demand);
    world_.Run(kBefore);
  }

  outcome Run() {
    const instant from = world_.now();
    const quota_counts before = world_.CountsOf(kName);
    SetDemand(runs_.demand);
    Inject();
    world_.Run(kAfter);
    const quota_counts& counts = world_.CountsOf(kName);
    const double length = std::chrono::duration<double>(kAfter).count();
    return {
        .sent = static_cast<double>(counts.sent - before.sent),
        .ran =
            static_cast<double>(world_.RunBetween(kName, from, world_.now())),
        .window = static_cast<double>(world_.LargestWindow(kName)),
        .late_window =
            static_cast<double>(world_.LargestWindow(kName, from + seconds(8))),
        .messages =
            static_cast<double>(counts.messages - before.messages) / length};
  }

 private:
  void SetLimit(double factor) {
    world_.SetQuota(kName, {.rate = kLimit.rate * factor / regions_,
                            .burst = kLimit.burst * factor / regions_});
  }
  void SetDemand(double rate) {
    for (int i = 0; i < kHosts / regions_; ++i) {
      const int host = i * regions_ + region_;
      world_.SetDemand(kName, i, rate * ShareOf(host, runs_.skewed));
    }
  }
  void Inject() {
    switch (runs_.happens) {
      case fault::kNone:
        break;
      case fault::kOwnerKilled:
        if (region_ == 0) {
          const int owner = world_.OwnerOf(kName);
          world_.SetDemand(kName, owner, 0);
          world_.SetCut(
              [owner](int a, int b) { return a == owner || b == owner; });
          world_.SetCutFromStore(owner, true);
          world_.Run(kUntilRemoved);
          world_.SetListed(owner, false);
        }
        break;
      case fault::kRegionsCut:
        if (regions_ == 1) {
          world_.SetCut([](int a, int b) { return a % 2 != b % 2; });
        }
        break;
      case fault::kFleetRestart:
        for (int i = 0; i < kHosts / regions_; ++i) {
          world_.Restart(i);
        }
        break;
      case fault::kLowered:
        SetLimit(0.1);
        break;
      case fault::kStoreLost:
        for (int i = 0; i < kHosts / regions_; ++i) {
          world_.SetCutFromStore(i, true);
        }
        break;
    }
  }

  scenario runs_;
  int regions_;
  int region_;
  quota_world world_;
};

outcome RunOwners(const scenario& runs, int regions) {
  outcome sum;
  for (int region = 0; region < regions; ++region) {
    const outcome one = world_run(runs, regions, region).Run();
    sum.sent += one.sent;
    sum.ran += one.ran;
    // The largest windows of the regions need not be the same: an upper bound.
    sum.window += one.window;
    sum.late_window += one.late_window;
    sum.messages += one.messages;
  }
  return sum;
}

// Every daemon has a token bucket with a share of the quota. Once a second, it
// tells all others its demand of the last second; the shares follow the demands
// that it knows. The demand of a host that can't be heard counts for
// `keep` after it was heard last, then as none.
class shares_run {
 public:
  shares_run(const scenario& runs, duration keep)
      : runs_(runs), keep_(keep), random_(1), daemons_(kHosts) {
    for (daemon& each : daemons_) {
      each.known.resize(kHosts);
      each.phase = duration(random_.UniformBelow(duration(seconds(1)).count()));
    }
  }

  outcome Run() {
    const instant fault_at = kBefore + seconds(6);
    for (now_ = seconds(0); now_ < fault_at + kAfter; now_ += kStep) {
      const bool after = now_ >= fault_at;
      if (now_ == fault_at) {
        Inject();
      }
      for (int i = 0; i < kHosts; ++i) {
        StepDaemon(i, after, now_ - fault_at);
      }
    }
    std::size_t first = 0;
    const auto largest = [&](instant from) {
      std::size_t best = 0;
      first = 0;
      for (std::size_t last = 0; last < ran_.size(); ++last) {
        while (ran_[first] <= ran_[last] - seconds(5) || ran_[first] < from) {
          if (first == last) {
            break;
          }
          ++first;
        }
        best = std::max(best, last - first + 1);
      }
      return static_cast<double>(best);
    };
    result_.window = largest(seconds(0));
    result_.late_window = largest(fault_at + seconds(8));
    result_.messages = static_cast<double>(kHosts) * (kHosts - 1);
    return result_;
  }

 private:
  static constexpr duration kStep = milliseconds(10);
  struct known_demand {
    double demand = 0;
    instant heard_at = instant::min() / 2;
  };
  struct daemon {
    std::vector<known_demand> known;
    duration phase{};
    double arrived = 0;  // since the last report
    double tokens = 0;
    bool dead = false;
    double limit = 1;  // factor of the quota
  };

  void Inject() {
    for (int i = 0; i < kHosts; ++i) {
      daemon& each = daemons_[i];
      if (runs_.happens == fault::kFleetRestart) {
        each.known.assign(kHosts, {});
        each.tokens = 0;
      } else if (runs_.happens == fault::kOwnerKilled) {
        each.dead = i == 1;
      }
    }
  }

  bool IsCut(int a, int b, bool after) const {
    return after && runs_.happens == fault::kRegionsCut && a % 2 != b % 2;
  }

  double Share(int host) const {
    double sum = 0;
    double own = 0;
    // A host without demand keeps a little, for its next request.
    constexpr double kLeast = 0.05;
    for (int i = 0; i < kHosts; ++i) {
      const known_demand& of = daemons_[host].known[i];
      const bool heard = now_ - of.heard_at <= keep_;
      const double demand = (heard ? of.demand : 0) + kLeast;
      sum += demand;
      own = i == host ? demand : own;
    }
    return own / sum;
  }

  void StepDaemon(int host, bool after, duration since_fault) {
    daemon& self = daemons_[host];
    if (self.dead) {
      return;
    }
    const double step = std::chrono::duration<double>(kStep).count();
    if (after && runs_.happens == fault::kLowered &&
        since_fault >= milliseconds(900)) {
      self.limit = 0.1;
    }
    if ((now_ + self.phase) % seconds(1) < kStep) {
      for (int i = 0; i < kHosts; ++i) {
        if (!IsCut(host, i, after)) {
          daemons_[i].known[host] = {.demand = self.arrived, .heard_at = now_};
        }
      }
      self.arrived = 0;
    }
    const double share = Share(host) * self.limit;
    self.tokens = std::min(self.tokens + share * kLimit.rate * step,
                           std::max(1.0, share * kLimit.burst));
    const double rate = runs_.jumps && !after ? kUsual : runs_.demand;
    const int arrivals = Poisson(rate * ShareOf(host, runs_.skewed) * step);
    for (int k = 0; k < arrivals; ++k) {
      ++self.arrived;
      result_.sent += after ? 1 : 0;
      if (self.tokens >= 1) {
        --self.tokens;
        ran_.push_back(now_);
        result_.ran += after ? 1 : 0;
      }
    }
  }

  int Poisson(double mean) {
    constexpr double kRange = 1e9;
    const double limit = std::exp(-mean);
    double product = 1;
    int count = -1;
    do {
      product *= (static_cast<double>(random_.UniformBelow(
                      static_cast<std::uint64_t>(kRange))) +
                  1) /
                 kRange;
      ++count;
    } while (product > limit);
    return count;
  }

  scenario runs_;
  duration keep_;
  seeded_random random_;
  std::vector<daemon> daemons_;
  std::vector<instant> ran_;
  instant now_{};
  outcome result_;
};

void Print(const char* design, const scenario& runs, const outcome& result) {
  const double length = std::chrono::duration<double>(kAfter).count();
  const bool lowered = runs.happens == fault::kLowered;
  const double factor = lowered ? 0.1 : 1;
  const double possible = std::min(result.sent, kLimit.rate * length * factor);
  const double bound = quota_world::Bound(
      {.rate = kLimit.rate * factor, .burst = kLimit.burst * factor});
  std::printf("| %s | %s | %.0f %% | %.0f %% | %.0f |\n", runs.name, design,
              100 * std::min(1.0, result.ran / possible),
              100 * (lowered ? result.late_window : result.window) / bound,
              result.messages);
}

int Main() {
  const std::vector<scenario> scenarios = {
      {.name = "usual demand", .demand = kUsual},
      {.name = "skew 1:50, 1.2 x quota",
       .demand = 1.2 * kLimit.rate,
       .skewed = true},
      {.name = "hot, 20 x quota", .demand = 20 * kLimit.rate},
      {.name = "usual, jumps to 20 x",
       .demand = 20 * kLimit.rate,
       .jumps = true},
      {.name = "owner killed, usual demand",
       .demand = kUsual,
       .happens = fault::kOwnerKilled},
      {.name = "owner killed, 20 x",
       .demand = 20 * kLimit.rate,
       .happens = fault::kOwnerKilled},
      {.name = "regions cut, usual demand",
       .demand = kUsual,
       .happens = fault::kRegionsCut},
      {.name = "regions cut, 20 x",
       .demand = 20 * kLimit.rate,
       .happens = fault::kRegionsCut},
      {.name = "restart of the fleet, usual demand",
       .demand = kUsual,
       .happens = fault::kFleetRestart},
      {.name = "restart of the fleet, 20 x",
       .demand = 20 * kLimit.rate,
       .happens = fault::kFleetRestart},
      {.name = "limit lowered to a tenth, 20 x",
       .demand = 20 * kLimit.rate,
       .happens = fault::kLowered},
      {.name = "store lost, usual demand",
       .demand = kUsual,
       .happens = fault::kStoreLost}};
  std::printf(
      "| load and fault | design | served | largest window | messages/s |\n"
      "|---|---|---|---|---|\n");
  for (const scenario& runs : scenarios) {
    Print("one owner", runs, RunOwners(runs, 1));
    Print("owner in each region", runs, RunOwners(runs, 2));
    Print("shares, demand forgotten after 3 s", runs,
          shares_run(runs, seconds(3)).Run());
    Print("shares, demand kept", runs, shares_run(runs, seconds(3600)).Run());
  }
  return 0;
}

}  // namespace
}  // namespace parsleyyard::testing

int main() {
  return parsleyyard::testing::Main();
}
