// Estimates how long messages of other daemons were on their way: in the queue
// of a stream, in the network and in the socket of this process.
//
// The clocks of two hosts have no common origin. Of each sender, the shortest
// difference between receipt and sending seen lately counts as no delay, and
// what a message takes beyond it as its delay. A delay that all messages of the
// last minutes had in common is not seen.

#ifndef PARSLEYYARD_MODEL_TRANSIT_CLOCK_H_
#define PARSLEYYARD_MODEL_TRANSIT_CLOCK_H_

#include "model/model.h"

#include <map>

namespace parsleyyard {

class transit_clock {
 public:
  // Returns the delay of a message that `sender` sent at `sent_at`, by its own
  // clock. `sender` is an incarnation: a clock may start anew with it. Zero for
  // the first message of a sender.
  duration Observe(std::uint64_t sender, instant sent_at, instant received_at);

 private:
  // Time for which a shortest difference holds at least. Clocks drift apart by
  // some milliseconds in it.
  static constexpr duration kWindow = std::chrono::seconds(60);

  struct baseline {
    duration shortest{};           // in the present window
    duration previous_shortest{};  // in the window before it
    instant began_at{};            // start of the present window
  };

  void ForgetSilentSenders(instant now);

  std::map<std::uint64_t, baseline> baselines_;  // by sender
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_MODEL_TRANSIT_CLOCK_H_
