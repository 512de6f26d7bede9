#include "model/transit_clock.h"

#include <algorithm>

namespace parsleyyard {

duration transit_clock::Observe(std::uint64_t sender,
                                instant sent_at,
                                instant received_at) {
  const duration difference = received_at - sent_at;
  const auto found = baselines_.find(sender);
  if (found == baselines_.end()) {
    ForgetSilentSenders(received_at);
    baselines_[sender] = {.shortest = difference,
                          .previous_shortest = difference,
                          .began_at = received_at};
    return duration::zero();
  }
  baseline& known = found->second;
  if (received_at - known.began_at >= kWindow) {
    known.previous_shortest = known.shortest;
    known.shortest = difference;
    known.began_at = received_at;
  }
  known.shortest = std::min(known.shortest, difference);
  return difference - std::min(known.shortest, known.previous_shortest);
}

void transit_clock::ForgetSilentSenders(instant now) {
  std::erase_if(baselines_, [&](const auto& entry) {
    return now - entry.second.began_at >= 2 * kWindow;
  });
}

}  // namespace parsleyyard
