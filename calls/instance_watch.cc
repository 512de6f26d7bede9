#include "calls/instance_watch.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Weight of the latest call: about the last twenty count.
constexpr double kWeight = 0.05;
constexpr double kRejectedWeight = 0.1;
constexpr duration kBetweenProbes = std::chrono::milliseconds(200);
constexpr std::size_t kMostRoutes = 256;  // that are told apart
// Assumed before the first answer.
constexpr double kFirstGuessUs = 100'000;

void Learn(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kWeight * (sample - mean);
}

}  // namespace

void instance_watch::OnDone(const upstream_result& result,
                            const std::string& route,
                            duration took,
                            instant now) {
  if (result.cancelled) {
    return;
  }
  const bool refused_connection = !result.sent && !result.complete;
  if (refused_connection) {
    down_ = true;
    next_probe_ = now;
    return;
  }
  const bool answered = result.complete && !result.not_run;
  const bool good = answered && result.status < 500;
  rejected_ += kRejectedWeight * ((good ? 0.0 : 1.0) - rejected_);
  if (good) {
    down_ = false;
    const auto sample = static_cast<double>(took.count());
    Learn(mean_us_, sample);
    if (by_route_us_.size() < kMostRoutes || by_route_us_.contains(route)) {
      Learn(by_route_us_[route], sample);
    }
  }
}

void instance_watch::OnReport(const upstream_report& report, instant now) {
  if (!report.reachable) {
    next_probe_ = now + kBetweenProbes;
    return;
  }
  down_ = false;
  cold_until_ = std::max(cold_until_, now + report.cold_left);
}

duration instance_watch::ServiceTimeOf(const std::string& route) const {
  const auto found = by_route_us_.find(route);
  const double us = found == by_route_us_.end()
                        ? (mean_us_ > 0 ? mean_us_ : kFirstGuessUs)
                        : found->second;
  return duration(static_cast<duration::rep>(us));
}

bool instance_watch::ProbeDue(instant now) {
  if (!down_ || now < next_probe_) {
    return false;
  }
  next_probe_ = now + kBetweenProbes;
  return true;
}

}  // namespace parsleyyard
