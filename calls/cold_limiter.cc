#include "calls/cold_limiter.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Share of the bound on a cold instance that is used. The instance counts
// arrivals, and a request may arrive late after it was written. Delayed
// requests then arrive together with later ones.
constexpr double kColdRateShare = 0.65;
// Limit if the cold rate is not known and the cold limits have no slack, in
// requests a second.
constexpr double kMinColdRate = 1;
// A process notes its start this much later than the end of an earlier one, at
// the least. The unused share of the bound covers what that could send then.
constexpr duration kStartTolerance = std::chrono::milliseconds(100);

// Age from which the store counts as silent: longer than the time between two
// confirmations of the view while it answers.
constexpr duration kMaxConfirmationAge = std::chrono::milliseconds(700);
// Time from a health check that did not state the warm-up to the next one.
constexpr duration kUnclearCheckDelay = std::chrono::milliseconds(200);
// Share of the requests without confirmation after which one is requested, so
// that it arrives before the others are used up.
constexpr double kConfirmationShare = 0.5;

}  // namespace

void cold_limiter::SetService(const service* config) {
  service_.reset();
  if (config != nullptr) {
    service_ = {.warm_up = config->warm_up, .cold_rate = config->cold_rate};
  }
}

// Returns the time at which the instance is warm if it becomes cold now;
// instant::max() as long as its warm-up time is not known.
instant cold_limiter::WarmAtTheLatest(instant now) const {
  return service_ ? now + service_->warm_up : instant::max();
}

void cold_limiter::OnEvacuationEnd(instant now) {
  warm_up_.OnDoubt(warm_up_source::kEvacuationEnd, WarmAtTheLatest(now));
}

// A response that does not state the warm-up, such as a rejection by a full
// instance, may come from an instance that has restarted.
void cold_limiter::OnHealthCheck(const upstream_report& report,
                                 instant asked_at,
                                 instant now) {
  if (!report.cold_left) {
    next_confirmation_ = now + kUnclearCheckDelay;
  }
  if (report.cold_left) {
    Confirm(asked_at);
    warm_up_.OnHealthCheck(*report.cold_left, now);
    if (IsColdSinceStart(*report.cold_left, asked_at)) {
      pacer_.OnColdSinceStart();
    }
  } else if (report.reachable && !IsUnconfirmed(now) &&
             !warm_up_.NeedsHealthCheck(now)) {
    warm_up_.OnDoubt(warm_up_source::kUnclearHealthCheck, WarmAtTheLatest(now));
  }
}

// The response was made after `asked_at`, so that the instance became cold no
// earlier than computed here.
bool cold_limiter::IsColdSinceStart(duration cold_left,
                                    instant asked_at) const {
  return service_ && cold_left <= service_->warm_up &&
         asked_at + cold_left - service_->warm_up + kStartTolerance >=
             process_started_at_;
}

void cold_limiter::OnViewConfirmed(instant confirmed_at) {
  view_confirmed_at_ = confirmed_at;
  Confirm(confirmed_at);
}

void cold_limiter::Confirm(instant at) {
  confirmed_at_ = std::max(confirmed_at_, at);
  while (!unconfirmed_starts_.empty() &&
         unconfirmed_starts_.front() <= confirmed_at_) {
    unconfirmed_starts_.pop_front();
  }
}

void cold_limiter::OnStarted(instant now) {
  pacer_.OnStarted(now);
  unconfirmed_starts_.push_back(now);
  // More than the limit decide nothing.
  if (static_cast<double>(unconfirmed_starts_.size()) >
      ColdRate().value_or(0) + 1) {
    unconfirmed_starts_.pop_front();
  }
}

bool cold_limiter::IsUnconfirmed(instant now) const {
  return service_ && service_->cold_rate > 0 && !warm_up_.IsCold(now) &&
         now - view_confirmed_at_ > kMaxConfirmationAge;
}

bool cold_limiter::NeedsConfirmation(instant now) const {
  return IsUnconfirmed(now) && now >= next_confirmation_ &&
         static_cast<double>(unconfirmed_starts_.size()) >=
             kConfirmationShare * *ColdRate();
}

// A warm instance is limited too while nothing can say that it is still warm.
bool cold_limiter::IsLimited(instant now) const {
  return warm_up_.IsCold(now) ||
         (IsUnconfirmed(now) &&
          static_cast<double>(unconfirmed_starts_.size()) + 1 > *ColdRate());
}

bool cold_limiter::NeedsHealthCheck(instant now) const {
  const bool stated_cold =
      warm_up_.IsCold(now) && warm_up_.cold_until() != instant::max();
  return warm_up_.NeedsHealthCheck(now) ||
         (service_ && stated_cold && pacer_.InFirstWindow(now));
}

std::optional<double> cold_limiter::MaxRate(instant now) const {
  return IsLimited(now) ? ColdRate() : std::nullopt;
}

// Returns the rate that a cold instance of the service may get.
std::optional<double> cold_limiter::ColdRate() const {
  if (!service_) {
    // Only the slack is certain.
    return std::max(kMinColdRate, kColdRateShare * limits_.slack);
  }
  if (service_->cold_rate <= 0) {
    return std::nullopt;
  }
  const double bound = service_->cold_rate * limits_.factor + limits_.slack;
  return std::max(service_->cold_rate, kColdRateShare * bound);
}

bool cold_limiter::Allows(instant now) const {
  const std::optional<double> rate = MaxRate(now);
  return !rate || pacer_.Allows(*rate, now);
}

std::optional<cold_limit_line> cold_limiter::TakeChange(instant now) {
  const bool limited = IsLimited(now);
  const std::optional<double> rate = MaxRate(now);
  if (limited == reported_limited_ && rate == reported_rate_) {
    return std::nullopt;
  }
  reported_limited_ = limited;
  reported_rate_ = rate;
  const bool unconfirmed = limited && !warm_up_.IsCold(now);
  cold_limit_line line{
      .cold = limited,
      .source = unconfirmed ? "no confirmation" : NameOf(warm_up_.Source()),
      .max_rate = rate};
  const instant end = warm_up_.cold_until();
  if (end != instant::max()) {
    line.left = std::max(end - now, duration::zero());
  }
  return line;
}

}  // namespace parsleyyard
