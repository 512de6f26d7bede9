#include "calls/ramp_up.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// First limit: a share of the slots, within bounds.
constexpr std::uint32_t kStartShare = 4;
constexpr std::uint32_t kMaxStart = 8;
// Calls of a route whose mean serves as its usual time if none was known.
constexpr std::uint32_t kReferenceCalls = 10;
// Calls in a round: half of the limit, within these bounds.
constexpr std::uint32_t kMinRoundCalls = 4;
constexpr std::uint32_t kMaxRoundCalls = 16;
// Latency counts as flat up to this ratio. A higher one stops the raises.
const double kFlat = std::log(1.3);
// The limit is cut if the mean exceeds the flat one by this, divided by the
// square root of the number of calls. It is 2.9 standard deviations of the mean
// of four calls with the usual spread (standard deviation 0.45 of the
// logarithm), of which every fourth takes 1.4 times the usual.
constexpr double kSpread = 0.6;
// Rounds in a row with a latency that is not flat after which the limit is cut:
// a rise too small to be certain after one of them.
constexpr std::uint32_t kMaxSteepRounds = 3;
// Bound on the ratio of one call, so that a call that is slow by itself does
// not cut the limit.
const double kMaxRatio = std::log(4);
// The limit is cut to this share at most, and to this share of the calls that
// run when the instance rejects one.
constexpr double kLargestCut = 0.5;
constexpr double kRejectionCut = 0.7;
// Raise of a limit that was cut before, or while latency is above the usual.
constexpr std::uint32_t kSlowRaiseShare = 4;
// Rejections in a row that begin a ramp-up.
constexpr std::uint32_t kRejectionsToBegin = 5;
// A ramp-up ends if nothing has cut the limit for this long, also if there were
// too few calls to raise it. Longer than instances take to warm up.
constexpr duration kMaxQuietTime = std::chrono::seconds(10);

}  // namespace

void ramp_up::Begin(ramp_up_cause cause, std::uint32_t slots, instant now) {
  begun_ += active_ ? 0 : 1;
  active_ = true;
  cause_ = cause;
  slots_ = slots;
  limit_ = std::clamp(slots / kStartShare, 1U, kMaxStart);
  was_cut_ = false;
  began_at_ = now;
  quiet_since_ = now;
  references_.clear();
  lowest_mean_.reset();
  steep_rounds_ = 0;
  BeginRound(now);
}

void ramp_up::OnWarm() {
  if (active_ && cause_ == ramp_up_cause::kDaemonStart && !was_cut_) {
    limit_ = std::max(limit_, slots_ / 2);
  }
}

void ramp_up::Update(std::uint32_t slots, instant now) {
  slots_ = slots;
  limit_ = std::min(limit_, slots);
  if (now - quiet_since_ >= kMaxQuietTime) {
    active_ = false;
  }
}

void ramp_up::BeginRound(instant now) {
  round_began_at_ = now;
  calls_ = 0;
  compared_ = 0;
  log_sum_ = 0;
  peak_running_ = 0;
}

void ramp_up::OnStarted(std::uint32_t running) {
  peak_running_ = std::max(peak_running_, running);
}

// Empty for the first call of a route that has no usual time yet.
std::optional<double> ramp_up::LogRatio(const ramp_up_sample& sample) {
  const auto us =
      static_cast<double>(std::max(sample.usual_time, duration(1)).count());
  route_reference& reference = references_[sample.route];
  if (reference.calls == 0 && sample.expected) {
    reference = {.mean_us = static_cast<double>(sample.expected->count()),
                 .calls = kReferenceCalls};
  }
  std::optional<double> ratio;
  if (reference.mean_us > 0) {
    ratio = std::clamp(std::log(us / reference.mean_us), -kMaxRatio, kMaxRatio);
  }
  if (reference.calls < kReferenceCalls) {
    ++reference.calls;
    reference.mean_us += (us - reference.mean_us) / reference.calls;
  }
  return ratio;
}

void ramp_up::OnAnswered(const ramp_up_sample& sample, instant now) {
  rejected_in_a_row_ = 0;
  if (!active_) {
    return;
  }
  const std::optional<double> ratio = LogRatio(sample);
  if (sample.started_at < round_began_at_) {
    return;
  }
  ++calls_;
  if (ratio) {
    ++compared_;
    log_sum_ += *ratio;
  }
  if (calls_ < kMinRoundCalls) {
    return;
  }
  const double mean = compared_ > 0 ? log_sum_ / compared_ : 0;
  const double rise = mean - std::max(0.0, lowest_mean_.value_or(mean));
  if (compared_ >= kMinRoundCalls &&
      rise > kFlat + kSpread / std::sqrt(compared_)) {
    return Cut(limit_ * std::max(kLargestCut, std::exp(-rise)), now);
  }
  if (calls_ >= std::clamp(limit_ / 2, kMinRoundCalls, kMaxRoundCalls)) {
    EndRound(mean, now);
  }
}

void ramp_up::EndRound(double mean, instant now) {
  const double flat = std::max(0.0, lowest_mean_.value_or(mean));
  const bool is_flat = mean - flat <= kFlat;
  lowest_mean_ = std::min(mean, lowest_mean_.value_or(mean));
  steep_rounds_ = is_flat ? 0 : steep_rounds_ + 1;
  if (steep_rounds_ >= kMaxSteepRounds) {
    return Cut(limit_ * std::max(kLargestCut, std::exp(flat - mean)), now);
  }
  const bool used = peak_running_ * 2 >= limit_;
  if (is_flat && used && limit_ >= slots_) {
    active_ = false;
  } else if (is_flat && used) {
    const bool slow = was_cut_ || mean > kFlat;
    const std::uint32_t step =
        slow ? std::max(1U, limit_ / kSlowRaiseShare) : limit_;
    limit_ = std::min(slots_, limit_ + step);
    ++raises_;
  }
  BeginRound(now);
}

// Calls that were started before a cut say nothing about the lower limit.
void ramp_up::Cut(double limit, instant now) {
  limit_ = std::max(1U, std::min(limit_, static_cast<std::uint32_t>(limit)));
  was_cut_ = true;
  quiet_since_ = now;
  steep_rounds_ = 0;
  ++cuts_;
  BeginRound(now);
}

void ramp_up::OnRejected(instant started_at,
                         std::uint32_t running,
                         instant now) {
  if (!active_) {
    if (++rejected_in_a_row_ < kRejectionsToBegin) {
      return;
    }
    rejected_in_a_row_ = 0;
    Begin(ramp_up_cause::kRejections, slots_, now);
    limit_ = slots_;
    return Cut(running * kRejectionCut, now);
  }
  // A cut is judged by calls that were started after it.
  if (started_at >= quiet_since_) {
    Cut(std::min(limit_, running) * kRejectionCut, now);
  }
}

std::optional<ramp_up_line> ramp_up::TakeChange(instant now) {
  if (active_ == reported_active_) {
    return std::nullopt;
  }
  reported_active_ = active_;
  return ramp_up_line{.begins = active_,
                      .cause = NameOf(cause_),
                      .limit = Limit(),
                      .slots = slots_,
                      .took = now - began_at_};
}

}  // namespace parsleyyard
