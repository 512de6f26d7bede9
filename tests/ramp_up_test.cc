// Ramp-up of an instance after a start: what callers get from a described
// instance under a described load, with the ramp-up and without. No network.

#include "calls/ramp_up.h"
#include "tests/call_fixtures.h"

#include <cmath>
#include <functional>
#include <random>

namespace parsleyyard::testing {
namespace {

constexpr std::uint32_t kSlots = 16;

// An instance with 16 slots. Calls take 100 ms on average, with a spread of
// 0.3 of the logarithm, on two routes of 60 and 140 ms.
struct described_instance {
  // Calls at once that it runs without getting slower, by the time since its
  // start. It runs more than that more slowly, and rejects those above twice as
  // many.
  std::function<double(duration)> tolerated = [](duration) { return 64.0; };
  // Time of a call above the tolerated number: (number / tolerated) to this
  // power. Above 1 the instance gets less done the more it runs.
  double contention = 1.5;
  // Time that work takes, relative to the usual.
  std::function<double(duration)> work_time = [](duration) { return 1.0; };
  // Fourth figure that it states, in percent; empty: none.
  std::function<std::optional<double>(duration)> stated = [](duration) {
    return std::optional(100.0);
  };
};

// What the callers of one run get.
struct run_result {
  int offered = 0;
  int in_time = 0;               // answered within the objective
  int late = 0;                  // answered after the objective
  int rejected = 0;              // by the instance
  int refused = 0;               // by the target daemon, without a run
  double idle_slot_seconds = 0;  // tolerated slots that are free while calls
                                 // wait or are refused
  std::optional<duration> slots_after;  // until the limit was that of the slots
};

// Adds up runs; the time until the slots is the longest.
run_result& operator+=(run_result& sum, const run_result& r) {
  sum.offered += r.offered;
  sum.in_time += r.in_time;
  sum.late += r.late;
  sum.rejected += r.rejected;
  sum.refused += r.refused;
  sum.idle_slot_seconds += r.idle_slot_seconds;
  sum.slots_after = std::max(sum.slots_after, r.slots_after);
  return sum;
}

std::ostream& operator<<(std::ostream& out, const run_result& r) {
  return out << r.offered << " offered, " << r.in_time << " in time, " << r.late
             << " late, " << r.rejected << " rejected by the instance, "
             << r.refused << " refused by the target, " << r.idle_slot_seconds
             << " slot seconds idle, slots after "
             << (r.slots_after ? r.slots_after->count() / 1000 : -1) << " ms";
}

class ramp_up_fixture : public target_fixture {
 protected:
  // Restarts the daemon beside the instance, which has run before: its service
  // times and that it states its speed are known if `known`.
  void Prepare(bool ramp_up, bool known) {
    view_ = MakeSnapshot({Instance("i", "10.0.0.1", "north-a", kSlots)});
    listener_.ramp_ups.clear();
    Restart({.ramp_up = ramp_up});
    target_->Tick();
    target_->OnUpstreamReport(
        {.reachable = true, .healthy = true, .cold_left = duration::zero()});
    if (known) {
      run_result ignored;
      Simulate({}, 40, seconds(15), ignored);
    }
  }

  // The instance refuses a connection, and is back.
  void RestartInstance() {
    Call(++last_offered_);
    const std::uint64_t refused = last_offered_;
    ends_.clear();
    running_.clear();
    target_->OnUpstreamDone({.origin = 9, .sequence = refused}, {});
    clock_.now += seconds(1);
    target_->Tick();
  }

  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration time_left) override {
    target_fixture::Run(id, message, time_left);
    const duration age = clock_.now - instance_began_;
    const double tolerated = instance_.tolerated(age);
    const double load = static_cast<double>(running_.size() + 1) / tolerated;
    const bool rejects = load > 2;
    const double usual_ms = message->route == "long" ? 140 : 60;
    const double work_ms = usual_ms * SpreadOf(id.sequence) *
                           std::pow(std::max(1.0, load), instance_.contention);
    const duration took = rejects ? milliseconds(2) : TimeOf(work_ms, age);
    ends_.emplace(clock_.now + took, end{.id = id, .rejected = rejects});
    if (!rejects) {
      running_.insert(id.sequence);
    }
  }

  // Poisson arrivals at `rate` a second, with an objective of 400 ms and a
  // deadline of 1,500 ms.
  run_result Offer(const described_instance& instance,
                   double rate,
                   duration time) {
    run_result result;
    Simulate(instance, rate, time, result);
    return result;
  }

  // Adds up ten runs with other arrivals and service times each, of an instance
  // that starts anew, or beside which the daemon starts anew.
  run_result OfferTenTimes(bool ramp_up,
                           bool instance_starts,
                           const described_instance& instance,
                           duration time) {
    run_result sum;
    for (seed_ = 1; seed_ <= 10; ++seed_) {
      Prepare(ramp_up, instance_starts);
      if (instance_starts) {
        RestartInstance();
      }
      sum += Offer(instance, 110, time);
      cuts_ += target_->Pace().cuts;
    }
    return sum;
  }

  unsigned seed_ = 1;       // of the arrivals and service times
  std::uint64_t cuts_ = 0;  // by the runs of OfferTenTimes()
  // Called at each step of a run.
  std::function<void(duration)> on_step_ = [](duration) {};

 private:
  struct end {
    call_id id;
    bool rejected = false;
  };

  void Simulate(const described_instance& instance,
                double rate,
                duration time,
                run_result& result) {
    instance_ = instance;
    instance_began_ = clock_.now;
    random_.seed(seed_);
    first_offered_ = last_offered_;
    last_refused_ = false;
    answers_.clear();
    arrived_.clear();
    std::exponential_distribution<double> gap(rate / 1'000'000);
    const instant stop = clock_.now + time;
    instant next_arrival = clock_.now;
    instant next_tick = clock_.now;
    while (clock_.now < stop || !ends_.empty()) {
      instant next = std::min(next_arrival, next_tick);
      if (!ends_.empty()) {
        next = std::min(next, ends_.begin()->first);
      }
      CountIdle(next - clock_.now, result);
      clock_.now = next;
      if (!ends_.empty() && ends_.begin()->first <= next) {
        EndCall(result);
      } else if (next_tick <= next) {
        next_tick += milliseconds(10);
        on_step_(clock_.now - instance_began_);
        target_->Tick();
      } else if (clock_.now >= stop) {
        next_arrival = instant::max();
      } else {
        next_arrival += duration(static_cast<duration::rep>(gap(random_)) + 1);
        OfferCall(result);
      }
      if (!result.slots_after && target_->Pace().limit == kSlots) {
        result.slots_after = clock_.now - instance_began_;
      }
    }
    for (const auto& [sequence, answer] : answers_) {
      result.refused +=
          answer.outcome == call_outcome::kNotRun && !answer.reached_instance
              ? 1
              : 0;
    }
  }

  void OfferCall(run_result& result) {
    call_request message = Message(++last_offered_);
    message.route = random_() % 2 == 0 ? "long" : "short";
    message.deadline_ms = 1500;
    message.objective_ms = 400;
    arrived_[last_offered_] = clock_.now;
    ++result.offered;
    Send(message);
    last_refused_ = answers_.contains(last_offered_);
  }

  void EndCall(run_result& result) {
    const end ended = ends_.begin()->second;
    ends_.erase(ends_.begin());
    running_.erase(ended.id.sequence);
    const duration age = clock_.now - instance_began_;
    const instance_load load{.slots = kSlots,
                             .work_time_percent = instance_.stated(age)};
    const auto arrived = arrived_.find(ended.id.sequence);
    const bool counts = arrived != arrived_.end();
    if (ended.rejected) {
      result.rejected += counts ? 1 : 0;
    } else if (counts) {
      (clock_.now - arrived->second <= milliseconds(400) ? result.in_time
                                                         : result.late) += 1;
    }
    const auto status = static_cast<std::uint16_t>(ended.rejected ? 503 : 200);
    target_->OnUpstreamDone(ended.id, {.sent = true,
                                       .complete = true,
                                       .not_run = ended.rejected,
                                       .status = status,
                                       .load = load});
  }

  void CountIdle(duration time, run_result& result) {
    const load_report load = target_->Load();
    const double usable = std::min<double>(
        kSlots, instance_.tolerated(clock_.now - instance_began_));
    const double free = usable - static_cast<double>(running_.size());
    if ((load.waiting > 0 || last_refused_) && free > 0) {
      result.idle_slot_seconds +=
          free * std::chrono::duration<double>(time).count();
    }
  }

  // Time of work that begins at `age`; its speed follows that of the host.
  duration TimeOf(double work_ms, duration age) const {
    duration took{};
    for (; work_ms > 0; took += milliseconds(1)) {
      work_ms -= 1 / instance_.work_time(age + took);
    }
    return took;
  }

  // The same call takes the same time in each run, whatever ran before it.
  double SpreadOf(std::uint64_t sequence) {
    std::mt19937_64 random(std::uint64_t{1'000'000} * seed_ + sequence -
                           first_offered_);
    return std::lognormal_distribution<double>(0, 0.3)(random);
  }

  described_instance instance_;
  instant instance_began_{};
  std::mt19937_64 random_;
  std::uint64_t first_offered_ = 0;
  std::multimap<instant, end> ends_;
  std::set<std::uint64_t> running_;  // at the instance
  std::map<std::uint64_t, instant> arrived_;
  bool last_refused_ = false;
};

// Slow after its start: tolerates 3 calls at once, and all slots after 3 s.
// Work takes twice as long at first.
described_instance SlowAfterStart() {
  return {.tolerated =
              [](duration age) {
                const double seconds =
                    std::chrono::duration<double>(age).count();
                return seconds >= 3 ? 64.0 : 3 + 13 * seconds / 3;
              },
          .work_time =
              [](duration age) {
                return age >= seconds(3)
                           ? 1.0
                           : 2 - std::chrono::duration<double>(age).count() / 3;
              }};
}

// ---------------------------------------------------------------------------
// Load: 110 calls a second for 5 s, 0.7 of the capacity of a warm instance
// ---------------------------------------------------------------------------

TEST_F(ramp_up_fixture, SlowInstanceIsNotFlooded) {
  const run_result before =
      OfferTenTimes(false, true, SlowAfterStart(), seconds(5));
  const run_result after =
      OfferTenTimes(true, true, SlowAfterStart(), seconds(5));
  std::cout << "before: " << before << "\nafter: " << after << "\n";
  EXPECT_GT(after.in_time, before.in_time);
  EXPECT_LT(after.rejected * 10, before.rejected);
  EXPECT_LT(after.late, before.late);
  ASSERT_GE(listener_.ramp_ups.size(), 4u);
  EXPECT_EQ(listener_.ramp_ups[0].cause, "start of the daemon");
  EXPECT_EQ(listener_.ramp_ups[2].cause, "refused connection");
  EXPECT_FALSE(listener_.ramp_ups.back().begins);
}

TEST_F(ramp_up_fixture, HealthyInstanceReachesItsSlotsWithinASecond) {
  const run_result before = OfferTenTimes(false, true, {}, seconds(5));
  const run_result after = OfferTenTimes(true, true, {}, seconds(5));
  std::cout << "before: " << before << "\nafter: " << after << "\n";
  ASSERT_TRUE(after.slots_after);
  EXPECT_LE(*after.slots_after, milliseconds(1000));
  EXPECT_GE(after.in_time * 100, before.in_time * 97);
  EXPECT_EQ(after.rejected, 0);
}

// Guards against a restart of the daemons of a fleet that takes away capacity.
TEST_F(ramp_up_fixture, DaemonRestartHardlyHoldsBackAWarmInstance) {
  const run_result before = OfferTenTimes(false, false, {}, seconds(5));
  const run_result after = OfferTenTimes(true, false, {}, seconds(5));
  std::cout << "before: " << before << "\nafter: " << after << "\n";
  EXPECT_GE(after.in_time * 100, before.in_time * 98);
  EXPECT_EQ(listener_.ramp_ups.size(), 2u);
}

// Work takes 2.5 times as long for 600 ms in every 4 s, and the instance states
// it. The first slow phase begins at `first`.
described_instance SlowInPhases(duration first) {
  const auto phase = [first](duration age) {
    const bool slow = (age + milliseconds(4000) - first) % milliseconds(4000) <
                      milliseconds(600);
    return slow ? 2.5 : 1.0;
  };
  return {.work_time = phase, .stated = [phase](duration age) {
            return std::optional(phase(age) * 100);
          }};
}

// Load: 110 calls a second for 12 s. Guards against cuts of the limit for slow
// phases that the instance states.
TEST_F(ramp_up_fixture, SlowPhasesThatAreStatedDoNotCutTheLimit) {
  for (const int first_ms : {0, 100, 300, 2000}) {
    const described_instance stating = SlowInPhases(milliseconds(first_ms));
    described_instance silent = stating;
    silent.stated = [](duration) { return std::nullopt; };
    const run_result untold = OfferTenTimes(false, true, silent, seconds(12));
    const run_result told = OfferTenTimes(false, true, stating, seconds(12));
    cuts_ = 0;
    const run_result ramped = OfferTenTimes(true, true, stating, seconds(12));
    std::cout << "first slow phase at " << first_ms
              << " ms\n  not stated: " << untold << "\n  stated: " << told
              << "\n  stated, ramp-up: " << ramped << "\n";
    EXPECT_EQ(cuts_, 0u);
    EXPECT_LE(told.late, untold.late);
    EXPECT_GE(told.in_time, untold.in_time);
    EXPECT_LE(ramped.slots_after, milliseconds(1000));
    EXPECT_GE(ramped.in_time * 100, told.in_time * 95);
  }
}

// What a ramp-up does with calls that keep the limit busy, for at most
// `rounds` service times. `time_ms`: time of a call by the calls at once.
struct busy_run {
  int rounds = 0;  // until the ramp-up ended
  std::uint32_t highest = 0;
  std::uint64_t cuts = 0;
};
busy_run KeepBusy(std::uint32_t slots,
                  int rounds,
                  const std::function<double(std::uint32_t)>& time_ms) {
  ramp_up ramp;
  instant now = seconds(100);
  ramp.Begin(ramp_up_cause::kInstanceStart, slots, now);
  busy_run result;
  while (ramp.IsActive() && result.rounds < rounds) {
    const instant started_at = now + duration(1);
    const std::uint32_t running = ramp.Limit();
    now += milliseconds(100);
    for (std::uint32_t i = 0; i < running && ramp.IsActive(); ++i) {
      ramp.OnStarted(running);
      ramp.OnAnswered({.route = "r",
                       .started_at = started_at,
                       .usual_time = duration(
                           static_cast<duration::rep>(time_ms(running) * 1000)),
                       .expected = milliseconds(100)},
                      now);
    }
    ++result.rounds;
    result.highest = std::max(result.highest, running);
  }
  result.cuts = ramp.Cuts();
  return result;
}

// Load: calls of 100 ms with the spread of the known deployments (0.45 of the
// logarithm), on 300 healthy instances of 16 and of 64 slots.
TEST(RampUp, SpreadOfServiceTimesRarelyCutsTheLimit) {
  for (const std::uint32_t slots : {16U, 64U}) {
    int cut = 0;
    int rounds = 0;
    for (unsigned seed = 1; seed <= 300; ++seed) {
      std::mt19937_64 random(seed);
      std::lognormal_distribution<double> spread(0, 0.45);
      const busy_run run = KeepBusy(
          slots, 1000, [&](std::uint32_t) { return 100 * spread(random); });
      cut += run.cuts > 0 ? 1 : 0;
      rounds += run.rounds;
    }
    std::cout << slots << " slots: " << cut << " of 300 cut, " << rounds / 300.0
              << " service times until the end\n";
    EXPECT_LE(cut, 15);
    EXPECT_LE(rounds, 300 * 6);
  }
}

// Load: an instance of 32 slots that never rejects and gets slower from 6 calls
// at once. Guards against a limit that only rejections cut.
TEST(RampUp, RisingLatencyCutsTheLimit) {
  const busy_run run = KeepBusy(32, 60, [](std::uint32_t running) {
    return 100 * std::max(1.0, running / 6.0);
  });
  EXPECT_GE(run.cuts, 1u);
  EXPECT_LE(run.highest, 16u);
  EXPECT_EQ(run.rounds, 60) << "it has not proved itself";
}

// Load: an instance that is three times as slow as before, whatever its load,
// such as one of a new version.
TEST(RampUp, SlownessThatDoesNotDependOnLoadDoesNotHoldBack) {
  const busy_run run = KeepBusy(16, 60, [](std::uint32_t) { return 300.0; });
  EXPECT_EQ(run.cuts, 0u);
  EXPECT_LE(run.rounds, 15);
}

// Load: every 20th call takes 20 times as long by itself.
TEST(RampUp, CallsThatAreSlowByThemselvesDoNotCutTheLimit) {
  ramp_up ramp;
  instant now = seconds(100);
  ramp.Begin(ramp_up_cause::kInstanceStart, 64, now);
  for (int i = 1; i <= 400 && ramp.IsActive(); ++i) {
    now += milliseconds(10);
    ramp.OnStarted(ramp.Limit());
    ramp.OnAnswered({.route = "r",
                     .started_at = now - milliseconds(1),
                     .usual_time = milliseconds(i % 20 == 0 ? 2000 : 100),
                     .expected = milliseconds(100)},
                    now);
  }
  EXPECT_EQ(ramp.Cuts(), 0u);
  EXPECT_FALSE(ramp.IsActive());
}

// ---------------------------------------------------------------------------
// Where it takes effect
// ---------------------------------------------------------------------------

// Guards deployments whose instances do not state their speed.
TEST_F(ramp_up_fixture, NoRampUpWithoutAValidFigure) {
  described_instance instance = SlowAfterStart();
  instance.stated = [](duration) { return std::nullopt; };
  Prepare(false, false);
  RestartInstance();
  const run_result before = Offer(instance, 110, seconds(5));
  Prepare(true, false);
  RestartInstance();
  const run_result after = Offer(instance, 110, seconds(5));
  EXPECT_EQ(target_->Pace().ramp_ups, 0u);
  EXPECT_GT(before.rejected, 0);
  EXPECT_EQ(after.in_time, before.in_time);
  EXPECT_EQ(after.rejected, before.rejected);
  EXPECT_TRUE(listener_.ramp_ups.empty());
}

// A figure that changes at random and has nothing to do with the speed.
TEST_F(ramp_up_fixture, WrongFigureCostsCallersLittle) {
  Prepare(true, true);
  const run_result right = Offer({}, 110, seconds(10));
  described_instance wrong{.stated = [](duration age) {
    return std::optional(age.count() / 100'000 % 7 == 0 ? 900.0 : 100.0);
  }};
  Prepare(true, true);
  const run_result after = Offer(wrong, 110, seconds(10));
  std::cout << "right: " << right << "\nwrong: " << after << "\n";
  EXPECT_FALSE(target_->Pace().speed_trusted);
  EXPECT_GE(after.in_time * 100, right.in_time * 95);
}

TEST_F(ramp_up_fixture, BeginsAfterEvacuationAndWithANewInstance) {
  Prepare(true, true);
  listener_.ramp_ups.clear();
  auto out = std::make_shared<snapshot>(*view_);
  out->evacuated.insert("north-a");
  const auto in = view_;
  view_ = out;
  target_->Tick();
  view_ = in;
  target_->Tick();
  ASSERT_EQ(listener_.ramp_ups.size(), 1u);
  EXPECT_EQ(listener_.ramp_ups[0].cause, "end of an evacuation");
  EXPECT_EQ(target_->Load().limit, kSlots / 4);
  clock_.now += seconds(11);
  target_->Tick();
  EXPECT_EQ(target_->Load().limit, kSlots) << "low demand does not keep it";
  view_ = MakeSnapshot({Instance("next", "10.0.0.1", "north-a", kSlots)});
  target_->Tick();
  ASSERT_EQ(listener_.ramp_ups.size(), 3u);
  EXPECT_EQ(listener_.ramp_ups[2].cause, "start of the instance");
}

TEST(RampUp, RunOfRejectionsBeginsBelowTheCallsThatRan) {
  ramp_up ramp;
  const instant now = seconds(100);
  ramp.Update(kSlots, now);
  for (int i = 0; i < 4; ++i) {
    ramp.OnRejected(now, 10, now);
  }
  EXPECT_FALSE(ramp.IsActive());
  ramp.OnAnswered({.route = "r", .started_at = now}, now);
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(ramp.IsActive());
    ramp.OnRejected(now, 10, now);
  }
  EXPECT_TRUE(ramp.IsActive());
  EXPECT_EQ(ramp.Limit(), 7u);
  ramp.OnRejected(now - milliseconds(1), 9, now);
  EXPECT_EQ(ramp.Limit(), 7u) << "started before the cut";
}

TEST(RampUp, LimitStaysWithinTheSlots) {
  ramp_up ramp;
  ramp.Begin(ramp_up_cause::kInstanceStart, 2, seconds(1));
  EXPECT_EQ(ramp.Limit(), 1u);
  ramp.Begin(ramp_up_cause::kDaemonStart, 64, seconds(1));
  EXPECT_EQ(ramp.Limit(), 8u);
  ramp.OnWarm();
  EXPECT_EQ(ramp.Limit(), 32u);
  ramp.Update(3, seconds(1));
  EXPECT_EQ(ramp.Limit(), 3u);
  ramp.OnRejected(seconds(1), 0, seconds(1));
  EXPECT_EQ(ramp.Limit(), 1u);
}

// ---------------------------------------------------------------------------
// Alternatives, for docs/design/instance-pace.md
// ---------------------------------------------------------------------------

// Load as above, on instances that are slow for 3 s, for 8 s, or not at all. A
// fixed ramp raises the limit from 3 to the slots in 3 s; a cap holds it at
// half of the slots for 3 s.
TEST_F(ramp_up_fixture, ComparesWithFixedRampAndCapBySlots) {
  const auto slow_for = [](double span) {
    described_instance instance;
    instance.tolerated = [span](duration age) {
      const double s = std::chrono::duration<double>(age).count();
      return s >= span ? 64.0 : 3 + 13 * s / span;
    };
    return instance;
  };
  const auto set_slots = [this](double slots) {
    SetView({Instance(
        "i", "10.0.0.1", "north-a",
        static_cast<std::uint32_t>(std::min<double>(slots, kSlots)))});
  };
  const auto fixed = [&](duration age) {
    set_slots(3 + 13 * std::chrono::duration<double>(age).count() / 3);
  };
  const auto cap = [&](duration age) {
    set_slots(age < seconds(3) ? kSlots / 2 : kSlots);
  };
  for (const double span : {0.001, 3.0, 8.0}) {
    std::map<std::string, run_result> results;
    for (const std::string policy : {"none", "fixed", "cap", "adaptive"}) {
      for (seed_ = 1; seed_ <= 10; ++seed_) {
        on_step_ = [](duration) {};
        Prepare(policy == "adaptive", true);
        RestartInstance();
        if (policy == "fixed") {
          on_step_ = fixed;
        } else if (policy == "cap") {
          on_step_ = cap;
        }
        results[policy] += Offer(slow_for(span), 110, seconds(10));
      }
      std::cout << "slow for " << span << " s, " << policy << ": "
                << results[policy] << "\n";
    }
    EXPECT_LE(results["adaptive"].rejected * 10, results["none"].rejected);
    EXPECT_GE(results["adaptive"].in_time * 100, results["none"].in_time * 99);
    EXPECT_GE(results["adaptive"].in_time * 100, results["cap"].in_time * 99);
    EXPECT_GE(results["adaptive"].in_time * 100, results["fixed"].in_time * 97)
        << "also if the fixed ramp takes as long as the instance";
  }
}

}  // namespace
}  // namespace parsleyyard::testing
