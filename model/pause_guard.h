// Notices that the process stood still.
//
// What waited in sockets meanwhile is read first when it goes on, by a view
// that may have become wrong. Nothing is started until the view has been
// confirmed since, or until that has failed for a while.

#ifndef PARSLEYYARD_MODEL_PAUSE_GUARD_H_
#define PARSLEYYARD_MODEL_PAUSE_GUARD_H_

#include "model/model.h"

namespace parsleyyard {

class pause_guard {
 public:
  explicit pause_guard(instant now) : last_seen_(now) {}

  // Call this before each decision and at each tick.
  // True: the process has just gone on after a pause.
  bool Observe(instant now) {
    const bool paused = now - last_seen_ > kPause;
    if (paused) {
      woke_at_ = now;
    }
    last_seen_ = now;
    return paused;
  }
  bool AwaitsConfirmation(instant confirmed_at, instant now) const {
    return confirmed_at < woke_at_ && now - woke_at_ < kLongest;
  }

 private:
  // Ticks come every 20 ms; a loaded machine delays them by far less.
  static constexpr duration kPause = std::chrono::seconds(1);
  // A store that can't be read in this time is away, and the daemon serves on.
  static constexpr duration kLongest = std::chrono::milliseconds(1500);

  instant last_seen_;
  instant woke_at_ = instant::min() / 2;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_MODEL_PAUSE_GUARD_H_
