#include "calls/retry_budget.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Part of the platform's bound that repeats use; the rest is for the calls that
// repeated runs make, which count as repeats at the services they call.
constexpr double kUsed = 0.6;
// Part that reruns use: a run makes up to two calls to another service, which
// has to bear them within the other 0.4.
constexpr double kUsedByReruns = 0.2;

}  // namespace

void retry_budget::Forget(window_counts& counts, instant now) const {
  const auto drop = [&](std::deque<instant>& times) {
    while (!times.empty() && times.front() <= now - limits_.window) {
      times.pop_front();
    }
  };
  drop(counts.requests);
  drop(counts.repeats);
  drop(counts.reruns);
}

void retry_budget::OnRequest(const std::string& service, instant now) {
  window_counts& counts = services_[service];
  Forget(counts, now);
  counts.requests.push_back(now);
}

double retry_budget::Bound(const window_counts& counts,
                           std::size_t daemons) const {
  const auto sharing = static_cast<double>(std::max<std::size_t>(1, daemons));
  return limits_.ratio * static_cast<double>(counts.requests.size()) +
         limits_.slack / sharing;
}

bool retry_budget::Take(const std::string& service,
                        repeat_kind kind,
                        std::size_t daemons,
                        instant now) {
  window_counts& counts = services_[service];
  Forget(counts, now);
  const double bound = Bound(counts, daemons);
  const auto repeats = static_cast<double>(counts.repeats.size());
  const auto reruns = static_cast<double>(counts.reruns.size());
  const bool rerun = kind == repeat_kind::kRerun;
  if (repeats + 1 > kUsed * bound ||
      (rerun && reruns + 1 > kUsedByReruns * bound)) {
    return false;
  }
  counts.repeats.push_back(now);
  if (rerun) {
    counts.reruns.push_back(now);
  }
  return true;
}

}  // namespace parsleyyard
