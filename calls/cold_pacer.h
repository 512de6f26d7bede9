// Rate limiter for the requests to a cold instance. Internal to calls/.
//
// The number of requests to a cold instance is limited in every sliding window
// of a second. All requests to the instance pass through this daemon, so the
// count is exact. The requests that an earlier process of the daemon sent are
// unknown, so a new process assumes that they used up the whole first window.

#ifndef PARSLEYYARD_CALLS_COLD_PACER_H_
#define PARSLEYYARD_CALLS_COLD_PACER_H_

#include "model/model.h"

#include <deque>

namespace parsleyyard {

class cold_pacer {
 public:
  explicit cold_pacer(instant started_at) : started_at_(started_at) {}

  // Returns true if a request may be sent now at a limit of `rate` a second.
  bool Allows(double rate, instant now) const;
  // Records a request. Call it while the instance is warm, too: the requests
  // count if the instance becomes cold within the window.
  void OnSent(instant now);

 private:
  instant started_at_;
  std::deque<instant> sent_at_;  // times within the window, oldest first
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_COLD_PACER_H_
