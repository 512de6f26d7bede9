#include "daemon/stop_plan.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Shares of the grace time. The platform lets a stop cut off a request in the
// last sixth, but not earlier.
constexpr int kCutOffShare = 6;
constexpr int kMinEndShare = 12;
// Time for the end of the process that suffices on a busy host.
constexpr duration kEndTime = std::chrono::milliseconds(500);
// The notice takes at most this much of the grace time.
constexpr int kMaxNoticePercent = 40;
// The platform allows no stop to cut off a request that was sent 3 s after the
// stop began or later. The rest is for the delay of the signal.
constexpr duration kLateAfter = std::chrono::milliseconds(2800);
constexpr duration kCloseTimeout = std::chrono::milliseconds(200);
// Part of the time for the end that the wait for the peers and the callers may
// take.
constexpr int kCloseTimeoutPercent = 40;

// Time that is left between the end of the calls and the kill.
duration EndTime(duration grace) {
  return std::max(std::min(kEndTime, grace / kCutOffShare),
                  grace / kMinEndShare);
}

}  // namespace

stop_plan PlanStop(const stop_options& options) {
  stop_plan plan{.notice = options.notice,
                 .late_after = kLateAfter,
                 .timeout = options.timeout,
                 .close_timeout = kCloseTimeout};
  if (options.grace > duration::zero()) {
    const duration end_time = EndTime(options.grace);
    plan.notice =
        std::min(options.notice, options.grace * kMaxNoticePercent / 100);
    plan.timeout = options.grace - end_time;
    plan.close_timeout =
        std::min(kCloseTimeout, end_time * kCloseTimeoutPercent / 100);
  }
  plan.notice = std::min(plan.notice, plan.timeout);
  return plan;
}

}  // namespace parsleyyard
