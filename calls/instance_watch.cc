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
// Calls of a route after which the first of them no longer dominates the moving
// average.
constexpr std::uint32_t kMinCallsToJudge = 40;

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kServiceTimeWeight * (sample - mean);
}

duration ToDuration(double us) {
  return duration(static_cast<duration::rep>(us));
}

}  // namespace

void instance_watch::RecordServiceTime(const std::string& route,
                                       duration run_time,
                                       instant now) {
  if (const auto usual = UsualServiceTimeOf(route)) {
    speed_.Compare(now - run_time, now, *usual);
  }
  const auto sample =
      static_cast<double>(speed_.UsualTime(now - run_time, now).count());
  UpdateMean(mean_us_, sample);
  if (times_by_route_.size() < kMaxRoutes || times_by_route_.contains(route)) {
    route_time& time = times_by_route_[route];
    UpdateMean(time.mean_us, sample);
    ++time.calls;
  }
}

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
  if (answered || result.load) {
    speed_.OnResponse(result.load, now);
  }
  const bool good = answered && result.status < 500;
  rejected_share_ += kRejectionWeight * ((good ? 0.0 : 1.0) - rejected_share_);
  if (good) {
    down_ = false;
    RecordServiceTime(route, run_time, now);
  }
}

void instance_watch::OnReport(const upstream_report& report, instant now) {
  if (report.load) {
    speed_.OnResponse(report.load, now);
  }
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

duration instance_watch::ServiceTime(instant now) const {
  return speed_.Scale(ToDuration(mean_us_), now);
}

duration instance_watch::ServiceTimeOf(const std::string& route,
                                       instant now) const {
  const auto found = times_by_route_.find(route);
  const double us = found == times_by_route_.end()
                        ? (mean_us_ > 0 ? mean_us_ : kInitialServiceTimeUs)
                        : found->second.mean_us;
  return speed_.Scale(ToDuration(us), now);
}

std::optional<duration> instance_watch::UsualServiceTimeOf(
    const std::string& route) const {
  const auto found = times_by_route_.find(route);
  if (found == times_by_route_.end() ||
      found->second.calls < kMinCallsToJudge) {
    return std::nullopt;
  }
  return ToDuration(found->second.mean_us);
}

bool instance_watch::ProbeDue(bool needed, instant now) {
  if (!(down_ || needed) || now < next_probe_) {
    return false;
  }
  next_probe_ = now + kProbeInterval;
  return true;
}

}  // namespace parsleyyard
