// Detects that the process was suspended, and holds back new work until the
// view has been confirmed again.
//
// After a suspension, messages that arrived in the meantime are read before any
// update of the view, so decisions would use a view that may be out of date. No
// new work starts until the store has confirmed the view since the process
// resumed, or until a time limit has passed without a confirmation.

#ifndef PARSLEYYARD_MODEL_PAUSE_GUARD_H_
#define PARSLEYYARD_MODEL_PAUSE_GUARD_H_

#include "model/model.h"

namespace parsleyyard {

class pause_guard {
 public:
  explicit pause_guard(instant now) : last_observed_(now) {}

  // Call this before each decision and at each tick. Returns true if the
  // process has just resumed after a pause.
  bool Observe(instant now) {
    const bool paused = now - last_observed_ > kMinPause;
    if (paused) {
      resumed_at_ = now;
    }
    last_observed_ = now;
    return paused;
  }
  // Returns true while new work must wait for a confirmation of the view.
  // `confirmed_at` is the time of the last one.
  bool AwaitsConfirmation(instant confirmed_at, instant now) const {
    return confirmed_at < resumed_at_ &&
           now - resumed_at_ < kMaxConfirmationWait;
  }

 private:
  // Shortest gap between two observations that counts as a pause. Ticks come
  // every 20 ms, and a loaded machine delays them by far less than this.
  static constexpr duration kMinPause = std::chrono::seconds(1);
  // If the store can't be read within this time, it counts as unavailable, and
  // the daemon goes on with the view that it has.
  static constexpr duration kMaxConfirmationWait =
      std::chrono::milliseconds(1500);

  instant last_observed_;
  instant resumed_at_ = instant::min() / 2;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_MODEL_PAUSE_GUARD_H_
