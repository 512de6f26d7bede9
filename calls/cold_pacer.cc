#include "calls/cold_pacer.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// One second, with a margin for requests that arrive closer together than they
// were sent.
constexpr duration kWindow = std::chrono::milliseconds(1050);
// Smallest time between two requests, as a share of the time between requests
// at an even rate.
constexpr double kMinSpacingFactor = 0.5;

}  // namespace

bool cold_pacer::Allows(double rate, instant now) const {
  if (now - started_at_ < kWindow) {
    return false;
  }
  const auto first_in_window =
      std::upper_bound(sent_at_.begin(), sent_at_.end(), now - kWindow);
  const auto in_window = static_cast<double>(sent_at_.end() - first_in_window);
  if (in_window + 1 > std::max(1.0, std::floor(rate))) {
    return false;
  }
  const std::chrono::duration<double> min_spacing(kMinSpacingFactor /
                                                  std::max(1.0, rate));
  return sent_at_.empty() || now - sent_at_.back() >= min_spacing;
}

void cold_pacer::OnSent(instant now) {
  sent_at_.push_back(now);
  while (sent_at_.front() <= now - kWindow) {
    sent_at_.pop_front();
  }
}

}  // namespace parsleyyard
