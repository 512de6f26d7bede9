#include "calls/instance_speed.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// Length of a slow phase. An older statement says nothing about the present.
constexpr duration kLifetime = std::chrono::milliseconds(600);
// Statements are kept for as long as a call may run.
constexpr duration kHistory = std::chrono::seconds(10);
constexpr std::size_t kMaxStatements = 512;
// Responses in a row without the speed after which the instance counts as one
// that does not state it, such as after an upgrade.
constexpr unsigned kMaxResponsesWithout = 20;
// A call is compared only if its statements differ from the usual by this
// factor: smaller differences are lost in the spread of service times.
constexpr double kMinComparedFactor = 1.25;
// Weight of the latest call in the contradiction: averages over 10 calls.
constexpr double kContradictionWeight = 0.1;
// Largest contribution of one call, so that a single one that is slow by itself
// decides nothing.
constexpr double kMaxContradiction = 0.7;
// Statements are distrusted above the first bound and trusted again below the
// second.
constexpr double kDistrustAbove = 0.12;
constexpr double kTrustBelow = -0.05;

}  // namespace

void instance_speed::OnResponse(const std::optional<instance_load>& load,
                                instant now) {
  if (!load || !load->work_time_percent) {
    if (++responses_without_ >= kMaxResponsesWithout) {
      stated_ = false;
      statements_.clear();
    }
    return;
  }
  responses_without_ = 0;
  stated_ = true;
  const double factor = *load->work_time_percent / 100;
  const std::size_t size = statements_.size();
  if (size >= 2 && statements_[size - 1].factor == factor &&
      statements_[size - 2].factor == factor &&
      now - statements_[size - 2].at <= kLifetime) {
    statements_.back().at = now;
    return;
  }
  statements_.push_back({.at = now, .factor = factor});
  while (statements_.size() > kMaxStatements ||
         statements_.front().at < now - kHistory) {
    statements_.pop_front();
  }
}

double instance_speed::Factor(instant now) const {
  const bool usable = trusted_ && !statements_.empty() &&
                      now - statements_.back().at <= kLifetime;
  return usable ? statements_.back().factor : 1;
}

duration instance_speed::Scale(duration usual, instant now) const {
  const double factor = Factor(now);
  if (factor == 1) {
    return usual;
  }
  const duration lifetime_left = statements_.back().at + kLifetime - now;
  const auto done =
      std::chrono::duration_cast<duration>(lifetime_left / factor);
  return usual <= done ? std::chrono::duration_cast<duration>(usual * factor)
                       : lifetime_left + usual - done;
}

// The speed changed at an unknown moment between two statements, so each counts
// for half of the time between them. If they are further apart than the
// lifetime, the later one counts as if the earlier had stated the usual speed
// at the begin of its lifetime.
duration instance_speed::UsualTimeAsStated(instant from, instant to) const {
  std::chrono::duration<double, std::micro> usual{};
  instant end = to;
  double later = 1;
  if (!statements_.empty() && to - statements_.back().at <= kLifetime) {
    later = statements_.back().factor;
  }
  for (auto it = statements_.rbegin(); it != statements_.rend() && end > from;
       ++it) {
    const bool expired = end - it->at > kLifetime;
    const instant begin = std::max(from, expired ? end - kLifetime : it->at);
    usual += (end - begin) * (1 / (expired ? 1 : it->factor) + 1 / later) / 2;
    end = std::max(from, it->at);
    usual += begin - end;
    later = it->factor;
  }
  usual += std::max(end - from, duration::zero());
  return std::chrono::duration_cast<duration>(usual);
}

duration instance_speed::UsualTime(instant from, instant to) const {
  return trusted_ ? UsualTimeAsStated(from, to) : to - from;
}

void instance_speed::Compare(instant from, instant to, duration usual) {
  const auto run_time = static_cast<double>((to - from).count());
  const auto scaled = static_cast<double>(UsualTimeAsStated(from, to).count());
  const auto expected = static_cast<double>(usual.count());
  if (run_time <= 0 || scaled <= 0 || expected <= 0) {
    return;
  }
  if (std::abs(std::log(run_time / scaled)) < std::log(kMinComparedFactor)) {
    return;
  }
  const double worse = std::abs(std::log(scaled / expected)) -
                       std::abs(std::log(run_time / expected));
  contradiction_ += kContradictionWeight *
                    (std::clamp(worse, -kMaxContradiction, kMaxContradiction) -
                     contradiction_);
  if (contradiction_ > kDistrustAbove) {
    trusted_ = false;
  } else if (contradiction_ < kTrustBelow) {
    trusted_ = true;
  }
}

}  // namespace parsleyyard
