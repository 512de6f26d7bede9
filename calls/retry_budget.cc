#include "calls/retry_budget.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Share of the platform's limit that this daemon's retries may use. The rest is
// for the calls that reruns make to other services, where the platform counts
// them as retries.
constexpr double kRetryShare = 0.6;
// Share of the limit that reruns may use. A rerun makes up to two calls to
// another service, and those must fit into the remaining 0.4 of that service's
// limit.
constexpr double kRerunShare = 0.2;

}  // namespace

void retry_budget::DropExpired(window_counts& counts, instant now) const {
  const auto drop_expired = [&](std::deque<instant>& times) {
    while (!times.empty() && times.front() <= now - limits_.window) {
      times.pop_front();
    }
  };
  drop_expired(counts.requests);
  drop_expired(counts.retries);
  drop_expired(counts.reruns);
}

void retry_budget::OnRequest(const std::string& service, instant now) {
  window_counts& counts = counts_by_service_[service];
  DropExpired(counts, now);
  counts.requests.push_back(now);
}

double retry_budget::LimitFor(const window_counts& counts,
                              std::size_t daemons) const {
  const auto daemon_count =
      static_cast<double>(std::max<std::size_t>(1, daemons));
  return limits_.ratio * static_cast<double>(counts.requests.size()) +
         limits_.slack / daemon_count;
}

bool retry_budget::TryAcquire(const std::string& service,
                              retry_kind kind,
                              std::size_t daemons,
                              instant now) {
  window_counts& counts = counts_by_service_[service];
  DropExpired(counts, now);
  const double limit = LimitFor(counts, daemons);
  const auto retries = static_cast<double>(counts.retries.size());
  const auto reruns = static_cast<double>(counts.reruns.size());
  const bool rerun = kind == retry_kind::kRerun;
  if (retries + 1 > kRetryShare * limit ||
      (rerun && reruns + 1 > kRerunShare * limit)) {
    return false;
  }
  counts.retries.push_back(now);
  if (rerun) {
    counts.reruns.push_back(now);
  }
  return true;
}

}  // namespace parsleyyard
