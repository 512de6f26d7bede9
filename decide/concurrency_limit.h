// Concurrency limit of one upstream. Internal to decide/.

#ifndef PARSLEYYARD_DECIDE_CONCURRENCY_LIMIT_H_
#define PARSLEYYARD_DECIDE_CONCURRENCY_LIMIT_H_

#include "decide/decide.h"

namespace parsleyyard {

// The lower of two bounds: a ramp that grows with time after each start, and a
// learnt bound that shrinks when the upstream sheds, fails or slows down.
class concurrency_limit {
 public:
  void Configure(std::uint32_t slots, duration warm_up);
  void BeginRamp(instant now) { BeginRamp(now, warm_up_); }
  void BeginRamp(instant now, duration length);
  void OnSuccess(duration latency, instant now);
  void OnTrouble(instant now);  // shed, failed or slow
  std::uint32_t Limit(instant now) const;
  bool RampEnded(instant now) const {
    return now - ramp_began_ >= ramp_length_;
  }
  duration warm_up() const { return warm_up_; }

 private:
  std::uint32_t slots_ = 1;
  duration warm_up_{};
  double learnt_ = 1;
  instant ramp_began_{};
  duration ramp_length_{};
  instant last_cut_ = -std::chrono::seconds(1);
  double usual_latency_us_ = 0;   // slow average
  double recent_latency_us_ = 0;  // fast average
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_CONCURRENCY_LIMIT_H_
