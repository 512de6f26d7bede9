#include "tests/checks.h"

#include <numeric>

namespace parsleyyard::testing {

namespace {

constexpr duration kOutGrace =
    seconds(3);  // from a declaration until no new work may start

// True if the domain had been out for longer than the grace.
bool IsOutAt(const world& run, const std::string& domain, instant at) {
  const auto found = run.declared.find(domain);
  std::optional<instant> since;
  if (found != run.declared.end()) {
    for (const auto& [when, out] : found->second) {
      if (when <= at) {
        since = out ? std::optional(since.value_or(when)) : std::nullopt;
      }
    }
  }
  return since && at - *since > kOutGrace;
}

void CheckExecutions(const world& run,
                     const allowances& allowed,
                     breaches& found) {
  for (const execution& each : run.executions) {
    if (allowed.source_reachable &&
        IsOutAt(run, each.failure_domain, each.at)) {
      found[static_cast<std::size_t>(promise::kDomainOut)].push_back(
          each.request + " began in " + each.failure_domain);
    }
    const auto leaving = run.listed_leaving.find(each.host);
    if (allowed.source_reachable && leaving != run.listed_leaving.end() &&
        each.at - leaving->second > kOutGrace) {
      found[static_cast<std::size_t>(promise::kLeaving)].push_back(
          each.request + " began on " + each.host);
    }
  }
}

void CheckCall(const observed_call& call,
               const std::vector<const execution*>& ran,
               breaches& found) {
  const auto note = [&](promise broken, const std::string& text) {
    found[static_cast<std::size_t>(broken)].push_back(call.request + " " +
                                                      text);
  };
  if (call.never_repeat && ran.size() > 1) {
    note(promise::kAtMostOnce, "ran " + std::to_string(ran.size()) + " times");
  }
  for (const execution* each : ran) {
    if (!call.home.empty() && each->region != call.home) {
      note(promise::kHomeRegion, "ran in " + each->region);
    }
  }
  if (!call.result) {
    note(promise::kWholeOwnAnswer, "got no result");
    return;
  }
  if (call.result->outcome == call_outcome::kAnswer &&
      (call.result->body != call.request || ran.empty())) {
    note(promise::kWholeOwnAnswer,
         "got the answer \"" + call.result->body + "\"");
  }
  if (call.result->outcome == call_outcome::kNotRun && !ran.empty()) {
    note(promise::kTrueRefusal, "was refused but ran on " + ran.front()->host);
  }
}

void CheckStops(const world& run, const allowances& allowed, breaches& found) {
  if (!allowed.only_planned_stops) {
    return;
  }
  for (const observed_call& call : run.calls) {
    const bool cut =
        !call.result || call.result->outcome == call_outcome::kUnknown;
    if (cut) {
      found[static_cast<std::size_t>(promise::kGracefulStop)].push_back(
          call.request + " was cut");
    }
  }
}

void SortViolations(const world& run, breaches& found) {
  constexpr std::array<std::pair<std::string_view, promise>, 5> kByPrefix = {
      {{"older", promise::kNeverOlder},
       {"part", promise::kNeverInPart},
       {"closure", promise::kNoMissingResource},
       {"cold", promise::kColdStart},
       {"twice", promise::kWholeOwnAnswer}}};
  for (const std::string& line : run.violations) {
    for (const auto& [prefix, broken] : kByPrefix) {
      if (line.starts_with(prefix)) {
        found[static_cast<std::size_t>(broken)].push_back(line);
      }
    }
  }
}

}  // namespace

breaches CheckAll(const world& run, const allowances& allowed) {
  breaches found;
  SortViolations(run, found);
  CheckExecutions(run, allowed, found);
  std::map<std::string, std::vector<const execution*>> by_request;
  for (const execution& each : run.executions) {
    by_request[each.request].push_back(&each);
  }
  for (const observed_call& call : run.calls) {
    CheckCall(call, by_request[call.request], found);
  }
  CheckStops(run, allowed, found);
  const std::size_t late = run.CountLive() - run.CountAt(run.newest_good);
  if (late > 0) {
    found[static_cast<std::size_t>(promise::kInForce)].push_back(
        std::to_string(late) + " daemons lack version " +
        std::to_string(run.newest_good));
  }
  return found;
}

std::size_t CountBreaches(const breaches& found) {
  return std::accumulate(
      found.begin(), found.end(), std::size_t{0},
      [](std::size_t sum, const auto& lines) { return sum + lines.size(); });
}

}  // namespace parsleyyard::testing
