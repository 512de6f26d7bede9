// Rate limiter for the requests to a cold instance. Internal to calls/.
//
// The number of requests to a cold instance is limited in every sliding window
// of a second. All requests to the instance pass through this daemon, so the
// count is exact. A request counts in the window in which it is written, which
// can be long after its call was started: the connection may be slow to open,
// or the process may have used up its share of the processor. Until then it
// may be written at any moment, so it counts in each window. The requests that
// an earlier process of the daemon sent are unknown, so a new process assumes
// that they used up the whole first window, unless the instance became cold
// after that process.

#ifndef PARSLEYYARD_CALLS_COLD_PACER_H_
#define PARSLEYYARD_CALLS_COLD_PACER_H_

#include "model/model.h"

#include <deque>

namespace parsleyyard {

class cold_pacer {
 public:
  explicit cold_pacer(instant process_started_at)
      : process_started_at_(process_started_at) {}

  // Returns true if an earlier process of the daemon may have sent requests
  // within the window.
  bool InFirstWindow(instant now) const;
  // The instance became cold after any earlier process of the daemon had ended.
  void OnColdSinceStart();
  // Returns true if a call may be started now at a limit of `rate` requests a
  // second.
  bool Allows(double rate, instant now) const;
  // The functions below record each call, while the instance is warm, too: its
  // request counts if the instance becomes cold within the window. After
  // OnStarted(), call one of the other two.
  void OnStarted(instant now);
  // The request is written now.
  void OnWritten(instant now);
  // The call ended and its request will not be written.
  void OnDropped();

 private:
  instant process_started_at_;
  bool cold_since_start_ = false;
  instant last_start_ = instant::min() / 2;
  std::size_t unwritten_ = 0;       // requests of started calls
  std::deque<instant> written_at_;  // times within the window, oldest first
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_COLD_PACER_H_
