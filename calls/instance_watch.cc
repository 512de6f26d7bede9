#include "calls/instance_watch.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Weight of the latest call in the service time: averages over about 20 calls.
constexpr double kServiceTimeWeight = 0.05;
// Weight of the latest call in the rejected share.
constexpr double kRejectionWeight = 0.1;
constexpr duration kProbeInterval = std::chrono::milliseconds(200);
// Time from a refused connection, or from the last trial, to the next trial.
constexpr duration kTrialInterval = std::chrono::seconds(1);
// Routes with a service time of their own.
constexpr std::size_t kMaxRoutes = 256;
// Service time before the first successful response.
constexpr double kInitialServiceTimeUs = 100'000;

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kServiceTimeWeight * (sample - mean);
}

}  // namespace

void instance_watch::OnDone(const upstream_result& result,
                            const std::string& route,
                            duration run_time,
                            instant now) {
  if (result.cancelled) {
    return;
  }
  const bool refused_connection = !result.sent && !result.complete;
  if (refused_connection) {
    check_passed_ &= down_;
    down_ = true;
    next_trial_ = now + kTrialInterval;
    next_probe_ = now;
    return;
  }
  const bool answered = result.complete && !result.not_run;
  const bool good = answered && result.status < 500;
  rejected_share_ += kRejectionWeight * ((good ? 0.0 : 1.0) - rejected_share_);
  if (good) {
    down_ = false;
    const auto sample = static_cast<double>(run_time.count());
    UpdateMean(mean_us_, sample);
    if (mean_us_by_route_.size() < kMaxRoutes ||
        mean_us_by_route_.contains(route)) {
      UpdateMean(mean_us_by_route_[route], sample);
    }
  }
}

void instance_watch::OnReport(const upstream_report& report, instant now) {
  if (!report.reachable) {
    next_probe_ = now + kProbeInterval;
  }
  const bool passed = report.reachable && report.healthy;
  if (passed && !check_passed_) {
    next_trial_ = now;
  }
  check_passed_ = passed;
}

bool instance_watch::BeginTrial(instant now) {
  if (!down_) {
    return false;
  }
  next_trial_ = now + kTrialInterval;
  return true;
}

duration instance_watch::ServiceTimeOf(const std::string& route) const {
  const auto found = mean_us_by_route_.find(route);
  const double us = found == mean_us_by_route_.end()
                        ? (mean_us_ > 0 ? mean_us_ : kInitialServiceTimeUs)
                        : found->second;
  return duration(static_cast<duration::rep>(us));
}

bool instance_watch::ProbeDue(bool needed, instant now) {
  if (!(down_ || needed) || now < next_probe_) {
    return false;
  }
  next_probe_ = now + kProbeInterval;
  return true;
}

}  // namespace parsleyyard
