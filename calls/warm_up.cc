#include "calls/warm_up.h"

#include <algorithm>

namespace parsleyyard {

void warm_up::OnRegistration(instant cold_until) {
  if (cold_until > stated_until_) {
    stated_until_ = cold_until;
    stated_by_ = warm_up_source::kRegistration;
  }
  if (doubted_for_ == warm_up_source::kProcessStart) {
    doubted_until_ = instant();
  }
}

void warm_up::OnHealthCheck(duration cold_left, instant now) {
  if (now + cold_left > stated_until_) {
    stated_until_ = now + cold_left;
    stated_by_ = warm_up_source::kHealthCheck;
  }
  doubted_until_ = instant();
}

void warm_up::OnDoubt(warm_up_source why, instant until) {
  if (until > doubted_until_) {
    doubted_until_ = until;
    doubted_for_ = why;
  }
}

instant warm_up::cold_until() const {
  return std::max(stated_until_, doubted_until_);
}

warm_up_source warm_up::Source() const {
  return doubted_until_ > stated_until_ ? doubted_for_ : stated_by_;
}

bool warm_up::NeedsHealthCheck(instant now) const {
  return now < doubted_until_ && doubted_for_ != warm_up_source::kProcessStart;
}

}  // namespace parsleyyard
