// Follows the speed of the instance, and limits the calls that run at once
// while it has to prove itself.

#include "calls/target_internals.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyyard {

namespace {

// Relative change of the speed of the instance from which the waiting calls are
// ordered anew. Smaller ones change the order of few calls.
constexpr double kMinFactorChange = 0.1;
constexpr std::uint16_t kFirstServerErrorStatus = 500;

}  // namespace

instance_pace target_internals::Pace() const {
  const instance_speed& speed = watch_.Speed();
  return {.speed_stated = speed.IsStated(),
          .speed_trusted = speed.IsTrusted(),
          .work_time = speed.Factor(clock_.Now()),
          .ramping_up = ramp_up_.IsActive(),
          .limit = Limit(),
          .ramp_ups = ramp_up_.Begun(),
          .raises = ramp_up_.Raises(),
          .cuts = ramp_up_.Cuts()};
}

std::uint32_t target_internals::SpeedPercent() const {
  const instance_speed& speed = watch_.Speed();
  if (!speed.IsStated()) {
    return 0;
  }
  constexpr double kPercent = 100;
  return std::max(
      1U, static_cast<std::uint32_t>(speed.Factor(clock_.Now()) * kPercent));
}

// Orders the waiting calls by the present speed of the instance.
void target_internals::FollowSpeed(instant now) {
  const double factor = watch_.Speed().Factor(now);
  if (std::abs(factor - queued_factor_) < kMinFactorChange * queued_factor_) {
    return;
  }
  queued_factor_ = factor;
  queue_.UpdateServiceTimes([&](const waiting_call& call) {
    return watch_.ServiceTimeOf(table_.Find(call.id)->message->route, now);
  });
}

std::uint32_t target_internals::Limit() const {
  return ramp_up_.IsActive() ? std::min(ramp_up_.Limit(), own_instance_.Slots())
                             : own_instance_.Slots();
}

// Instances that do not state their speed are served without a ramp-up. A new
// process learns whether they do from the first response.
void target_internals::RequestRampUp(ramp_up_cause cause, instant now) {
  if (!options_.ramp_up) {
    return;
  }
  if (!watch_.Speed().IsStated()) {
    requested_ramp_up_ = cause;
    return;
  }
  requested_ramp_up_.reset();
  ramp_up_.Begin(cause, own_instance_.Slots(), now);
}

void target_internals::UpdateRampUp(instant now) {
  if (requested_ramp_up_ && watch_.Speed().IsStated()) {
    RequestRampUp(*requested_ramp_up_, now);
  }
  if (!watch_.Speed().IsStated()) {
    ramp_up_.End();
  }
  if (!cold_limiter_.IsCold(now)) {
    ramp_up_.OnWarm();
  }
  ramp_up_.Update(own_instance_.Slots(), now);
  if (const auto change = ramp_up_.TakeChange(now)) {
    listener_.OnRampUp(*change);
  }
}

void target_internals::RecordForRampUp(const table_entry& call,
                                       const upstream_result& result,
                                       instant now) {
  if (result.cancelled || result.wrong_instance || !options_.ramp_up) {
    return;
  }
  // An error response says nothing of the time that work takes.
  const bool answered =
      result.complete && result.status < kFirstServerErrorStatus;
  if (!result.sent && !result.complete) {
    RequestRampUp(ramp_up_cause::kRefusedConnection, now);
  } else if (result.not_run && watch_.Speed().IsStated()) {
    ramp_up_.OnRejected(call.started_at, running_, now);
  } else if (!result.not_run && (answered || result.timed_out)) {
    const std::string& route = call.message->route;
    ramp_up_.OnAnswered(
        {.route = route,
         .started_at = call.started_at,
         .usual_time = watch_.Speed().UsualTime(call.started_at, now),
         .expected = watch_.UsualServiceTimeOf(route)},
        now);
  }
  UpdateRampUp(now);
}

}  // namespace parsleyyard
