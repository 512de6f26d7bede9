#include "decide/concurrency_limit.h"

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr double kCutFactor = 0.7;
constexpr duration kBetweenCuts = std::chrono::milliseconds(100);
constexpr double kSlowWeight = 0.01;
constexpr double kFastWeight = 0.2;
constexpr double kSlowdown = 4;  // recent to usual latency taken for overload
constexpr double kLatencyNoiseUs = 2000;  // differences below this are ignored
constexpr double kFirstShareOfSlots = 0.1;  // of a cold start

}  // namespace

void concurrency_limit::Configure(std::uint32_t slots, duration warm_up) {
  if (slots != slots_) {
    learnt_ = slots;
  }
  slots_ = slots;
  warm_up_ = warm_up;
}

void concurrency_limit::BeginRamp(instant now, duration length) {
  const duration left = ramp_began_ + ramp_length_ - now;
  ramp_began_ = now;
  ramp_length_ = std::max(length, left);
  learnt_ = slots_;
  usual_latency_us_ = 0;
  recent_latency_us_ = 0;
}

void concurrency_limit::OnSuccess(duration latency, instant now) {
  const double sample = static_cast<double>(latency.count());
  const bool first = usual_latency_us_ == 0;
  usual_latency_us_ =
      first ? sample
            : usual_latency_us_ + kSlowWeight * (sample - usual_latency_us_);
  recent_latency_us_ =
      first ? sample
            : recent_latency_us_ + kFastWeight * (sample - recent_latency_us_);
  if (recent_latency_us_ > kSlowdown * usual_latency_us_ + kLatencyNoiseUs) {
    OnTrouble(now);
    return;
  }
  learnt_ = std::min<double>(slots_, learnt_ + 1 / std::max(1.0, learnt_));
}

void concurrency_limit::OnTrouble(instant now) {
  if (now - last_cut_ < kBetweenCuts) {
    return;
  }
  last_cut_ = now;
  learnt_ = std::max(1.0, std::min<double>(learnt_, Limit(now)) * kCutFactor);
}

std::uint32_t concurrency_limit::Limit(instant now) const {
  double ramp = slots_;
  if (!RampEnded(now)) {
    const double elapsed = static_cast<double>((now - ramp_began_).count()) /
                           static_cast<double>(ramp_length_.count());
    ramp = slots_ * std::max(kFirstShareOfSlots, elapsed);
  }
  return static_cast<std::uint32_t>(std::max(1.0, std::min(ramp, learnt_)));
}

}  // namespace parsleyyard
