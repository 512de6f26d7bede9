// Paces what a cold instance gets. Internal to calls/.
//
// A cold instance bears a number of requests a second, counted over any second
// that slides. All its requests pass this daemon, so the count is exact; what
// an earlier process of the daemon sent is not known and is taken for a full
// second's worth.

#ifndef PARSLEYYARD_CALLS_COLD_PACER_H_
#define PARSLEYYARD_CALLS_COLD_PACER_H_

#include "model/model.h"

#include <deque>

namespace parsleyyard {

class cold_pacer {
 public:
  explicit cold_pacer(instant started) : started_(started) {}

  // True if a request may go to an instance that bears `rate` a second now.
  bool Allows(double rate, instant now) const;
  void OnSent(instant now);  // also while the instance is warm

 private:
  instant started_;
  std::deque<instant> sent_;  // within the last second
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_COLD_PACER_H_
