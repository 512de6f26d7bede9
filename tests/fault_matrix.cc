// The fault matrix: every fault at every step of a version, a call, a failure
// domain's way out and back, and a planned stop; then pairs of faults.
// Writes docs/FAULTS.md with --write. The closing line counts cells.

#include "tests/checks.h"

#include <cstring>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace parsleyyard::testing {

namespace {

constexpr duration kWarmUp = seconds(4);
constexpr duration kFaultLength = seconds(4);
constexpr duration kBetweenEnds =
    milliseconds(1500);  // between the ends of two faults
constexpr duration kInForceWithin = seconds(5);
constexpr duration kAfterFault = seconds(7);
constexpr duration kTrafficInterval = milliseconds(3);
constexpr std::size_t kActor = 0;  // the node that the faults hit

// A fault that begins and ends.
struct fault {
  std::string_view name;
  void (*begin)(world&);
  void (*end)(world&);
  bool hides_source =
      false;  // declarations can't be known everywhere meanwhile
};

// A way through the system with its steps, each named by a milestone.
struct scenario {
  std::string_view name;
  void (*start)(world&);
  std::vector<std::string_view> steps;
  bool declares_in_fault =
      false;  // the actor's domain is declared out meanwhile
};

void Nothing(world& /*run*/) {}

void KillActor(world& run) {
  run.Kill(kActor);
}
void StartActor(world& run) {
  run.Start(kActor);
}

const std::vector<fault>& Faults() {
  static const std::vector<fault> kFaults = {
      {"kill", KillActor, StartActor},
      {"freeze and wake", [](world& run) { run.Freeze(kActor); },
       [](world& run) { run.Wake(kActor); }},
      {"cut into", [](world& run) { run.CutDomain("d0", true, false); },
       [](world& run) { run.CutDomain("d0", false, false); }, true},
      {"cut out of", [](world& run) { run.CutDomain("d0", false, true); },
       [](world& run) { run.CutDomain("d0", false, false); }, true},
      {"cut both", [](world& run) { run.CutDomain("d0", true, true); },
       [](world& run) { run.CutDomain("d0", false, false); }, true},
      {"regions cut", [](world& run) { run.CutRegions(true); },
       [](world& run) { run.CutRegions(false); }},
      {"source down", [](world& run) { run.source_mode = "down"; },
       [](world& run) { run.source_mode = "up"; }, true},
      {"source stale", [](world& run) { run.source_mode = "stale"; },
       [](world& run) { run.source_mode = "up"; }, true},
      {"source slow", [](world& run) { run.source_mode = "slow"; },
       [](world& run) { run.source_mode = "up"; }, true},
      {"crossed updates", [](world& run) { run.reorder = true; },
       [](world& run) { run.reorder = false; }},
      {"herd restart",
       [](world& run) {
         for (std::size_t i = 0; i < run.size(); ++i) {
           run.Kill(i);
         }
       },
       [](world& run) {
         for (std::size_t i = 0; i < run.size(); ++i) {
           run.Start(i);
         }
       }},
      {"cold restart",
       [](world& run) {
         for (std::size_t i = 0; i < run.size(); i += 3) {
           run.RestartUpstream(i);
         }
       },
       Nothing},
      {"operator race",
       [](world& run) {
         run.Declare("d1", true);
         run.Commit();
         run.Declare("d1", false);
         run.CommitBad();
         run.Commit();
       },
       Nothing},
      {"lagging list", [](world& run) { run.ListLeaving(run.AddressOf(3)); },
       Nothing},
      {"lying load", [](world& run) { run.reported_load = 0; },
       [](world& run) { run.reported_load = -1; }},
  };
  return kFaults;
}

const std::vector<scenario>& Scenarios() {
  static const std::vector<scenario> kScenarios = {
      {"version",
       [](world& run) { run.Commit(); },
       {"start", "heads_read", "part_read", "adopted", "update_sent",
        "update_received"}},
      {"call",
       [](world& run) { run.Begin(kActor, true); },
       {"start", "call_begun", "link_opened", "call_sent", "call_received",
        "run_started", "run_ended", "answer_sent", "answer_received"},
       true},
      {"domain out and back",
       [](world& run) {
         run.Declare("d0", true);
         run.After(seconds(5), [&run] { run.Declare("d0", false); });
       },
       {"start", "heads_read", "part_read", "adopted", "update_sent",
        "update_received"}},
      {"planned stop",
       [](world& run) {
         run.Begin(kActor, true);
         run.Drain(kActor);
         run.After(seconds(1),
                   [&run] { run.node(kActor).closed_to_callers = true; });
         run.After(seconds(2), [&run] {
           if (run.node(kActor).draining) {
             run.Kill(kActor);
             run.Start(kActor);
           }
         });
       },
       {"start", "call_sent", "run_started", "run_ended", "answer_received"}},
  };
  return kScenarios;
}

struct cell {
  const scenario* way = nullptr;
  std::string_view step;
  std::vector<const fault*> faults;
  std::uint64_t seed = 1;
  policy rules;
};

// Runs one cell: traffic, the way, the faults at the step, their end, a last
// version, and the checks.
breaches RunCell(const cell& wanted) {
  world run({.seed = wanted.seed, .rules = wanted.rules});
  run.RunFor(kWarmUp);
  run.StartTraffic(kTrafficInterval);
  run.RunFor(seconds(1));
  const auto before = run.seen;
  wanted.way->start(run);
  const std::string step(wanted.step);
  run.RunUntil(
      [&] {
        return step == "start" ||
               run.seen[step] > (before.contains(step) ? before.at(step) : 0);
      },
      seconds(2));
  allowances allowed;
  for (const fault* each : wanted.faults) {
    each->begin(run);
    allowed.source_reachable = allowed.source_reachable && !each->hides_source;
  }
  run.RunFor(milliseconds(500));
  run.Commit();
  if (wanted.way->declares_in_fault) {
    run.Declare("d0", true);
  }
  run.RunFor(kFaultLength);
  for (const fault* each : wanted.faults) {
    each->end(run);
    run.RunFor(kBetweenEnds);
  }
  run.Commit();
  run.RunFor(kInForceWithin);
  const std::size_t late = run.CountLive() - run.CountAt(run.newest_good);
  if (wanted.way->declares_in_fault) {
    run.Declare("d0", false);
  }
  run.RunFor(kAfterFault);
  run.StopTraffic();
  run.RunFor(seconds(2));
  allowed.only_planned_stops = wanted.faults.empty();
  breaches found = CheckAll(run, allowed);
  if (late > 0) {
    found[static_cast<std::size_t>(promise::kInForce)].push_back(
        std::to_string(late) + " daemons late");
  }
  return found;
}

struct tally {
  std::mutex mutex;
  std::map<std::string, std::pair<int, int>> by_fault;  // passed, run
  std::map<std::pair<std::string, std::size_t>, std::pair<int, int>>
      by_promise;  // fault, promise: passed, run
  int passed = 0;
  int failed = 0;
};

std::string NameOf(const cell& each) {
  std::string name =
      std::string(each.way->name) + " / " + std::string(each.step);
  for (const fault* one : each.faults) {
    name += " / " + std::string(one->name);
  }
  return name + " / seed " + std::to_string(each.seed);
}

void RunAndCount(const cell& each, tally& sum, bool quiet) {
  const breaches found = RunCell(each);
  const bool good = CountBreaches(found) == 0;
  const std::lock_guard lock(sum.mutex);
  ++(good ? sum.passed : sum.failed);
  for (const fault* one : each.faults) {
    for (std::size_t p = 0; p < kPromises; ++p) {
      auto& [passed, ran] = sum.by_promise[{std::string(one->name), p}];
      ++ran;
      passed += found[p].empty() ? 1 : 0;
    }
  }
  for (std::size_t p = 0; p < kPromises && !quiet; ++p) {
    for (std::size_t i = 0; i < std::min<std::size_t>(found[p].size(), 2);
         ++i) {
      std::cout << "FAILED " << NameOf(each) << ": " << kPromiseNames[p] << ": "
                << found[p][i] << "\n";
    }
  }
}

void RunAll(const std::vector<cell>& cells, tally& sum, bool quiet) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  const unsigned count = std::max(1u, std::thread::hardware_concurrency());
  for (unsigned i = 0; i < count; ++i) {
    workers.emplace_back([&] {
      for (std::size_t at = next++; at < cells.size(); at = next++) {
        RunAndCount(cells[at], sum, quiet);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

std::vector<cell> SingleCells(std::uint64_t seed, const policy& rules) {
  std::vector<cell> cells;
  for (const scenario& way : Scenarios()) {
    for (const std::string_view step : way.steps) {
      for (const fault& each : Faults()) {
        cells.push_back({.way = &way,
                         .step = step,
                         .faults = {&each},
                         .seed = seed,
                         .rules = rules});
      }
    }
  }
  return cells;
}

// Every pair of faults, at the first step of each way.
std::vector<cell> PairCells(std::uint64_t seed) {
  std::vector<cell> cells;
  for (const scenario& way : Scenarios()) {
    for (std::size_t a = 0; a < Faults().size(); ++a) {
      for (std::size_t b = a + 1; b < Faults().size(); ++b) {
        cells.push_back({.way = &way,
                         .step = way.steps[0],
                         .faults = {&Faults()[a], &Faults()[b]},
                         .seed = seed});
      }
    }
  }
  return cells;
}

std::string Table(const tally& sum) {
  std::ostringstream text;
  text << "| fault |";
  for (const std::string_view name : kPromiseNames) {
    text << " " << name << " |";
  }
  text << "\n|---|";
  for (std::size_t p = 0; p < kPromises; ++p) {
    text << "---|";
  }
  text << "\n";
  for (const fault& each : Faults()) {
    text << "| " << each.name << " |";
    for (std::size_t p = 0; p < kPromises; ++p) {
      const auto found = sum.by_promise.find({std::string(each.name), p});
      text << " "
           << (found == sum.by_promise.end()
                   ? "-"
                   : std::to_string(found->second.first) + "/" +
                         std::to_string(found->second.second))
           << " |";
    }
    text << "\n";
  }
  return text.str();
}

std::string Summary(const tally& sum) {
  return std::to_string(sum.passed) + " passed, " + std::to_string(sum.failed) +
         " failed";
}

void WriteReport(const tally& single, const tally& pairs, const tally& naive) {
  std::ofstream page("docs/FAULTS.md");
  page << "# Fault matrix\n\nWritten by `./run matrix --write`; do not edit. "
          "Each cell runs the decision code of a fleet of 8\n"
          "daemons (2 regions, 4 failure domains) with traffic, injects the "
          "fault at one step, ends it after 4 s,\n"
          "commits a last version and checks the twelve promises from the "
          "execution logs. A cell passes if no\n"
          "promise is broken. The numbers are cells passed / run. "
          "`tests/fault_matrix.cc` holds the faults and steps.\n\n"
          "Two promises are narrowed where a cell hides the platform from a "
          "part of the fleet (cuts of a domain, source\n"
          "down, stale or slow): \"domain out\" and \"leaving\" are then not "
          "checked, since nobody can know a declaration\n"
          "that can't be read. \"Graceful stop\" is checked in cells without "
          "another fault.\n\n"
          "## One fault at every step: "
       << Summary(single) << "\n\n"
       << Table(single) << "\n## Every pair of faults: " << Summary(pairs)
       << "\n\n"
       << Table(pairs)
       << "\n## The same cells against the naive baseline: " << Summary(naive)
       << "\n\nThe baseline resends calls on lost links, admits all calls at "
          "once, serves on after pauses and when "
          "isolated,\nand after a restart serves what it hears first.\n\n"
       << Table(naive);
}

}  // namespace

int Main(int argc, char** argv) {
  bool write = false;
  std::uint64_t seeds = 1;
  std::string only;
  for (int i = 1; i < argc; ++i) {
    write = write || std::strcmp(argv[i], "--write") == 0;
    seeds = std::strcmp(argv[i], "--more") == 0 ? 10 : seeds;
    only = std::strcmp(argv[i], "--only") == 0 && i + 1 < argc ? argv[i + 1]
                                                               : only;
  }
  tally single;
  tally pairs;
  tally naive;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::vector<cell> cells = SingleCells(seed, {});
    std::vector<cell> both = PairCells(seed);
    std::erase_if(cells, [&](const cell& each) {
      return NameOf(each).find(only) == std::string::npos;
    });
    std::erase_if(both, [&](const cell& each) {
      return NameOf(each).find(only) == std::string::npos;
    });
    RunAll(cells, single, false);
    RunAll(both, pairs, false);
  }
  const scenario& stop = Scenarios().back();
  for (const std::string_view step : stop.steps) {
    RunAndCount({.way = &stop, .step = step, .faults = {}}, single, false);
  }
  if (only.empty()) {
    const policy baseline{.attach = false,
                          .limit = false,
                          .guard_pauses = false,
                          .guard_isolation = false,
                          .remember = false,
                          .push = true,
                          .deltas = true};
    std::vector<cell> cells = SingleCells(1, baseline);
    for (cell& each : PairCells(1)) {
      each.rules = baseline;
      cells.push_back(std::move(each));
    }
    RunAll(cells, naive, true);
    std::cout << "single faults: " << Summary(single)
              << "\npairs of faults: " << Summary(pairs)
              << "\nnaive baseline, single faults and pairs: " << Summary(naive)
              << "\n";
    if (naive.failed == 0) {
      std::cout << "the baseline fails nowhere: the checks see nothing\n";
      return 1;
    }
  }
  if (write) {
    WriteReport(single, pairs, naive);
  }
  std::cout << single.passed + pairs.passed << " passed, "
            << single.failed + pairs.failed << " failed\n";
  return single.failed + pairs.failed == 0 ? 0 : 1;
}

}  // namespace parsleyyard::testing

int main(int argc, char** argv) {
  return parsleyyard::testing::Main(argc, argv);
}
