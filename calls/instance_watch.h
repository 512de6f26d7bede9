// How the instance of this host does, from its answers. Internal to calls/.

#ifndef PARSLEYYARD_CALLS_INSTANCE_WATCH_H_
#define PARSLEYYARD_CALLS_INSTANCE_WATCH_H_

#include "calls/calls.h"

#include <map>
#include <string>

namespace parsleyyard {

class instance_watch {
 public:
  // A call ended. `took`: its time at the instance.
  void OnDone(const upstream_result& result,
              const std::string& route,
              duration took,
              instant now);
  void OnReport(const upstream_report& report, instant now);

  // Time that a call takes of late, over all routes and for one.
  duration service_time() const { return duration(duration::rep(mean_us_)); }
  duration ServiceTimeOf(const std::string& route) const;
  std::uint32_t rejected_percent() const {
    return static_cast<std::uint32_t>(rejected_ * 100);
  }
  bool down() const { return down_; }
  bool ProbeDue(instant now);  // true: ask for its health now
  instant cold_until() const { return cold_until_; }

 private:
  double mean_us_ = 0;
  std::map<std::string, double> by_route_us_;
  double rejected_ = 0;  // share of the calls of late
  bool down_ = false;    // it refused the last connection
  instant next_probe_{};
  instant cold_until_{};  // as the instance itself says
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_INSTANCE_WATCH_H_
