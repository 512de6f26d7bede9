// Counts messages, bytes and reads of the control plane by fleet size, with the
// decision code alone: the real decide/ library on fakes of its interfaces.
// Prints docs/measurements/scale.md.

#include "tests/world.h"

#include <algorithm>
#include <iostream>

namespace parsleyyard::testing {
namespace {

constexpr unsigned kRegions = 3;
constexpr unsigned kDomainsPerRegion = 3;
constexpr duration kIdle = seconds(3);
constexpr duration kLongest = seconds(30);
constexpr int kChanges = 3;

struct result {
  std::size_t daemons = 0;
  duration start{};    // until all serve, the whole fleet starting at once
  duration slowest{};  // of the changes, until the last daemon has it
  double bytes_a_change = 0;  // per daemon, beyond the idle rate
  double most_a_change = 0;   // the busiest daemon, with its idle rate
  double link_a_change =
      0;  // over all links between regions, beyond the idle rate
  double idle_bytes = 0;          // sent per daemon and second
  double idle_link = 0;           // per second
  double source_calls = 0;        // per second, idle
  std::uint64_t start_calls = 0;  // source calls of the start
};

std::size_t CountAdmitting(world& run) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < run.size(); ++i) {
    count += run.node(i).MayAdmit(run.clock.now) == refusal_reason::kNone;
  }
  return count;
}

// Control bytes and link bytes since the last call.
struct meter {
  explicit meter(const world& run) : run(run) { Reset(); }
  void Reset() {
    bytes = run.control_bytes;
    link = run.cross_region_bytes;
    calls = run.source_calls;
    sent = run.sent_bytes;
    began = run.clock.now;
  }
  double Seconds() const {
    return std::chrono::duration<double>(run.clock.now - began).count();
  }

  const world& run;
  std::uint64_t bytes = 0;
  std::uint64_t link = 0;
  std::uint64_t calls = 0;
  std::vector<std::uint64_t> sent;
  instant began{};
};

void MeasureChange(world& run, meter& meter, result& found) {
  meter.Reset();
  const std::uint64_t version = run.Commit();
  const instant began = run.clock.now;
  while (run.CountAt(version) < run.size() &&
         run.clock.now - began < kLongest) {
    run.RunFor(milliseconds(10));
  }
  found.slowest = std::max(found.slowest, run.clock.now - began);
  const double idle_bytes = found.idle_bytes * meter.Seconds();
  const double n = static_cast<double>(run.size());
  found.bytes_a_change +=
      (static_cast<double>(run.control_bytes - meter.bytes) / n - idle_bytes) /
      kChanges;
  found.link_a_change +=
      (static_cast<double>(run.cross_region_bytes - meter.link) -
       found.idle_link * meter.Seconds()) /
      kChanges;
  for (std::size_t i = 0; i < run.size(); ++i) {
    found.most_a_change =
        std::max(found.most_a_change,
                 static_cast<double>(run.sent_bytes[i] - meter.sent[i]));
  }
}

result Measure(std::size_t daemons, const policy& rules) {
  const unsigned per_domain =
      std::max<unsigned>(1, daemons / kRegions / kDomainsPerRegion);
  world run({.seed = 1,
             .rules = rules,
             .regions = kRegions,
             .domains_per_region = kDomainsPerRegion,
             .hosts_per_domain = per_domain,
             .upstreams_and_calls = false});
  result found{.daemons = run.size()};
  const instant began = run.clock.now;
  while (CountAdmitting(run) < run.size() && run.clock.now - began < kLongest) {
    run.RunFor(milliseconds(50));
  }
  found.start = run.clock.now - began;
  found.start_calls = run.source_calls;
  run.RunFor(seconds(1));
  meter meter(run);
  run.RunFor(kIdle);
  const double n = static_cast<double>(run.size());
  found.idle_bytes = static_cast<double>(run.control_bytes - meter.bytes) / n /
                     meter.Seconds();
  found.idle_link = static_cast<double>(run.cross_region_bytes - meter.link) /
                    meter.Seconds();
  found.source_calls =
      static_cast<double>(run.source_calls - meter.calls) / meter.Seconds();
  for (int i = 0; i < kChanges; ++i) {
    MeasureChange(run, meter, found);
  }
  return found;
}

void Print(std::string_view name, const result& r) {
  const auto ms = [](duration value) {
    return std::to_string(value.count() / 1000);
  };
  const auto whole = [](double value) {
    return std::to_string(static_cast<std::int64_t>(value));
  };
  std::cout << "| " << name << " | " << r.daemons << " | " << ms(r.start)
            << " | " << r.start_calls << " | " << ms(r.slowest) << " | "
            << whole(r.bytes_a_change) << " | " << whole(r.most_a_change)
            << " | " << whole(r.link_a_change) << " | " << whole(r.idle_bytes)
            << " | " << whole(r.idle_link) << " | " << whole(r.source_calls)
            << " |\n"
            << std::flush;
}

}  // namespace

int Main(int argc, char** /*argv*/) {
  const bool small = argc > 1;  // any argument: leave out the largest
  std::cout << "# Measurement: scale\n\nCommand: `./run measure scale`\n\n"
               "The decision code of all daemons in one process on fakes of "
               "its interfaces: 3 regions, 9 failure domains,\n"
               "1 ms within and 12 ms between regions, seed 1, a small "
               "manifest of two parts. Times are of the injected\n"
               "clock; bytes are counted from the messages' contents. `star` "
               "is worked out: every daemon reads the platform.\n\n"
               "| way | daemons | start of all, ms | source calls of the start "
               "| change to the last daemon, ms | "
               "bytes/daemon/change | busiest daemon, bytes/change | bytes "
               "over region links/change | "
               "idle bytes/s/daemon | idle bytes/s over region links | source "
               "calls/s idle |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|\n";
  std::vector<std::size_t> sizes = {13, 200, 2000};
  for (const std::size_t size : sizes) {
    Print("digests alone", Measure(size, {.push = false}));
    Print("tree, whole parts", Measure(size, {.deltas = false}));
    Print("tree, deltas", Measure(size, {}));
  }
  if (!small) {
    Print("tree, deltas", Measure(35000, {}));
  }
  std::cout << "\nStar at 35,000 daemons: 35,000 waiting watches and 70,000 "
               "reads for each change; at 0.6 changes/s that is\n"
               "42,000 calls/s of the 2,000 that the platform bears, so it is "
               "ruled out by the budget alone.\n";
  return 0;
}

}  // namespace parsleyyard::testing

int main(int argc, char** argv) {
  return parsleyyard::testing::Main(argc, argv);
}
