// The promises as checks of what a world recorded.

#ifndef PARSLEYYARD_TESTS_CHECKS_H_
#define PARSLEYYARD_TESTS_CHECKS_H_

#include "tests/world.h"

#include <array>
#include <string>
#include <vector>

namespace parsleyyard::testing {

enum class promise : std::uint8_t {
  kNeverOlder,
  kNoMissingResource,
  kNeverInPart,
  kColdStart,
  kDomainOut,
  kHomeRegion,
  kWholeOwnAnswer,
  kTrueRefusal,
  kAtMostOnce,
  kLeaving,
  kGracefulStop,
  kInForce,
};
inline constexpr std::size_t kPromises = 12;
inline constexpr std::array<std::string_view, kPromises> kPromiseNames = {
    "never older",      "no missing resource", "never in part",
    "cold start",       "domain out",          "home region",
    "whole own answer", "true refusal",        "at most once",
    "leaving",          "graceful stop",       "in force everywhere"};

// What a run allows, as the situation of the run states it.
struct allowances {
  bool source_reachable = true;  // declarations reach the fleet
  std::set<host_address>
      stopped;  // daemons stopped in order: their calls must end well
  bool only_planned_stops = false;  // nothing else failed
  duration in_force_within = seconds(5);
};

// One line for each breach, by promise.
using breaches = std::array<std::vector<std::string>, kPromises>;

// Checks all promises at the end of a run in which faults have ended and a
// last version was committed at least `in_force_within` ago.
breaches CheckAll(const world& run, const allowances& allowed);

std::size_t CountBreaches(const breaches& found);

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_CHECKS_H_
