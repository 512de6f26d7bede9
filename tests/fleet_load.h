// Plays a load of requests on many call senders and call targets, on an
// injected clock. Callers, links and instances are fakes; every decision is
// that of the real code.

#ifndef PARSLEYYARD_TESTS_FLEET_LOAD_H_
#define PARSLEYYARD_TESTS_FLEET_LOAD_H_

#include "calls/calls.h"
#include "calls/load_push.h"
#include "tests/call_fixtures.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace parsleyyard::testing {

// A class of requests. All classes go to the same service.
struct load_class {
  std::string name;
  double per_second = 0;  // over all senders, at an even rate
  duration service_time = milliseconds(100);  // usual, at an instance
  duration objective = milliseconds(600);
  duration deadline = milliseconds(3000);
  std::vector<std::string> home_regions;
  std::uint32_t priority = 0;
  // From `burst_from` to `burst_to` of the play, the rate is this many times as
  // high.
  double burst_factor = 1;
  duration burst_from{};
  duration burst_to{};
};

// Instances of one zone. The first part of the zone's name is its region.
struct load_zone {
  std::string name;
  int senders = 0;
  int instances = 0;
  bool evacuated = false;
};

struct fleet_load {
  std::vector<load_zone> zones;
  std::vector<load_class> classes;
  std::uint32_t slots = 4;
  bool paced = true;  // instances state their speed
  // Time that work takes, in percent of the usual; the rest takes 100.
  std::map<host_address, std::uint32_t> speed_percent;
  // Instances whose targets report no load.
  std::set<host_address> silent;
  duration length = seconds(8);
  duration warm_up = seconds(2);  // what begins until then does not count
  std::uint64_t seed = 1;
};

// What the callers of one class got.
struct class_result {
  int requests = 0;
  int in_objective = 0;
  int answered = 0;
  int refused = 0;       // by the last response
  int refused_late = 0;  // a refusal took more than an eighth of the objective
  int unknown = 0;       // 502 or 504
  int attempts = 0;
  int crossed = 0;  // attempts that were sent to another region

  double InObjective() const { return Share(in_objective); }
  double RefusedLate() const { return Share(refused_late); }
  double AttemptsPerRequest() const { return Share(attempts); }

 private:
  double Share(int count) const {
    return requests > 0 ? static_cast<double>(count) / requests : 0;
  }
};

struct load_result {
  std::map<std::string, class_result> classes;
  int target_refusals = 0;  // attempts that targets refused
  int pushes = 0;
  std::map<host_address, int> answered_by;
  int most_attempts = 0;  // of one call

  class_result Total() const;
  double RefusalsPerServed() const;
  // One line for each class and one for all.
  std::string Describe() const;
};

load_result Play(const fleet_load& load);

// The address of the instance with that number, counted from 0 over all zones.
host_address InstanceAddress(int number);

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_FLEET_LOAD_H_
