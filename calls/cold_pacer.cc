#include "calls/cold_pacer.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// One second, with a margin for requests that arrive closer together than they
// were written.
constexpr duration kWindow = std::chrono::milliseconds(1050);
// Smallest time between two starts, as a share of the time between starts at an
// even rate.
constexpr double kMinSpacingFactor = 0.5;

}  // namespace

bool cold_pacer::InFirstWindow(instant now) const {
  return !cold_since_start_ && now - process_started_at_ < kWindow;
}

void cold_pacer::OnColdSinceStart() {
  cold_since_start_ = true;
}

bool cold_pacer::Allows(double rate, instant now) const {
  if (InFirstWindow(now)) {
    return false;
  }
  const auto first_in_window =
      std::upper_bound(written_at_.begin(), written_at_.end(), now - kWindow);
  const auto in_window =
      static_cast<std::size_t>(written_at_.end() - first_in_window);
  const auto counted = static_cast<double>(in_window + unwritten_);
  if (counted + 1 > std::max(1.0, std::floor(rate))) {
    return false;
  }
  const std::chrono::duration<double> min_spacing(kMinSpacingFactor /
                                                  std::max(1.0, rate));
  return now - last_start_ >= min_spacing;
}

void cold_pacer::OnStarted(instant now) {
  last_start_ = now;
  ++unwritten_;
}

void cold_pacer::OnWritten(instant now) {
  --unwritten_;
  written_at_.push_back(now);
  while (written_at_.front() <= now - kWindow) {
    written_at_.pop_front();
  }
}

void cold_pacer::OnDropped() {
  --unwritten_;
}

}  // namespace parsleyyard
