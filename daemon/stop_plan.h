// Times of a planned stop. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_STOP_PLAN_H_
#define PARSLEYYARD_DAEMON_STOP_PLAN_H_

#include "model/model.h"

namespace parsleyyard {

struct stop_options {
  // Time from the request to stop until the platform kills the process. Zero:
  // the platform states none.
  duration grace{};
  duration notice{};   // calls.drain_notice
  duration timeout{};  // calls.drain_timeout, used if there is no grace time
};

// All times count from the request to stop, apart from close_timeout.
struct stop_plan {
  // The stop is announced until then, while new requests are accepted.
  duration notice{};
  // Requests of callers that arrive later are refused if their deadline lies
  // beyond `timeout`. Earlier ones may be cut off while they run.
  duration late_after{};
  // Calls in flight have ended by then, or end as unknown.
  duration timeout{};
  // Longest wait, after the calls, for the peers to stop sending and for the
  // last responses to be written.
  duration close_timeout{};
};

// Returns the times of a stop. They leave a part of the grace time for the end
// of the process, and the most of it for the calls in flight.
stop_plan PlanStop(const stop_options& options);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_STOP_PLAN_H_
