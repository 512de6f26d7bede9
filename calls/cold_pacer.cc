#include "calls/cold_pacer.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// A second, and some time for requests that arrive closer together than they
// were sent.
constexpr duration kWindow = std::chrono::milliseconds(1050);
// Two requests are this part of the even distance apart, or more.
constexpr double kSpacing = 0.5;

}  // namespace

bool cold_pacer::Allows(double rate, instant now) const {
  if (now - started_ < kWindow) {
    return false;
  }
  const auto since =
      std::upper_bound(sent_.begin(), sent_.end(), now - kWindow);
  const auto in_window = static_cast<double>(sent_.end() - since);
  if (in_window + 1 > std::max(1.0, std::floor(rate))) {
    return false;
  }
  const std::chrono::duration<double> spacing(kSpacing / std::max(1.0, rate));
  return sent_.empty() || now - sent_.back() >= spacing;
}

void cold_pacer::OnSent(instant now) {
  sent_.push_back(now);
  while (sent_.front() <= now - kWindow) {
    sent_.pop_front();
  }
}

}  // namespace parsleyyard
