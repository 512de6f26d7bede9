// Service time, failures and availability of the instance of this host, from
// its responses and health checks. Internal to calls/.
//
// Service times are kept at the usual speed of the instance and scaled by its
// present speed, if its responses state it (see instance_speed).

#ifndef PARSLEYYARD_CALLS_INSTANCE_WATCH_H_
#define PARSLEYYARD_CALLS_INSTANCE_WATCH_H_

#include "calls/calls.h"
#include "calls/instance_speed.h"

#include <map>
#include <string>

namespace parsleyyard {

class instance_watch {
 public:
  // Records the end of an attempt. `run_time` is its time at the instance.
  void OnDone(const upstream_result& result,
              const std::string& route,
              duration run_time,
              instant now);
  // Records a health check. It decides nothing by itself, since it may be wrong
  // in either direction: a passing one lets the next trial begin at once, a
  // failing one changes nothing.
  void OnReport(const upstream_report& report, instant now);

  // Expected service time of a call that is started now, over all routes; zero
  // before the first successful response.
  duration ServiceTime(instant now) const;
  // The same for one route; that over all routes, or a default, if the route
  // has no successful response yet.
  duration ServiceTimeOf(const std::string& route, instant now) const;
  // Moving average of the service time of a route at usual speed; empty before
  // enough responses to judge others by it.
  std::optional<duration> UsualServiceTimeOf(const std::string& route) const;
  const instance_speed& Speed() const { return speed_; }
  // Recent attempts that the instance failed or rejected, in percent.
  std::uint32_t rejected_percent() const {
    return static_cast<std::uint32_t>(rejected_share_ * 100);
  }
  // Returns true from a refused connection until a call succeeds.
  bool down() const { return down_; }
  // Returns true while the instance is down, except when the next call may be
  // started as a trial.
  bool RefusesCalls(instant now) const { return down_ && now < next_trial_; }
  // Call this when a call is started. Returns true if the call is a trial: no
  // other one may be started until it succeeds or the next trial is due.
  bool BeginTrial(instant now);
  // Returns true if a health check is due, and schedules the next one. One is
  // due at intervals while the instance is down or `needed` is set.
  bool ProbeDue(bool needed, instant now);

 private:
  // Service times at usual speed.
  struct route_time {
    double mean_us = 0;  // moving average
    std::uint32_t calls = 0;
  };

  void RecordServiceTime(const std::string& route,
                         duration run_time,
                         instant now);

  instance_speed speed_;
  double mean_us_ = 0;  // moving average over all routes, at usual speed
  std::map<std::string, route_time> times_by_route_;
  double rejected_share_ = 0;  // moving average, 0 to 1
  bool down_ = false;
  bool check_passed_ = false;  // a health check has passed since it went down
  instant next_trial_{};       // valid while down_
  instant next_probe_{};
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_INSTANCE_WATCH_H_
