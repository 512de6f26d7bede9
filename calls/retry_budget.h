// Retry budget of this daemon for each service. Internal to calls/.
//
// The platform limits the retries to a service from all daemons together, in
// any sliding window, to a share of its requests plus a fixed number. The
// daemons share no state: each takes the share of its own requests and an equal
// part of the fixed number, so the sum stays within the limit.

#ifndef PARSLEYYARD_CALLS_RETRY_BUDGET_H_
#define PARSLEYYARD_CALLS_RETRY_BUDGET_H_

#include "calls/calls.h"

#include <deque>
#include <map>

namespace parsleyyard {

enum class retry_kind : std::uint8_t {
  kRejected,  // no instance has run the request
  kRerun,  // an instance may have run it; its own calls are then repeated, too
};

class retry_budget {
 public:
  explicit retry_budget(const retry_limits& limits) : limits_(limits) {}

  void SetLimits(const retry_limits& limits) { limits_ = limits; }
  void OnRequest(const std::string& service, instant now);
  // Takes one retry out of the budget. Returns false, and takes none, if the
  // budget is spent. `daemons` is the number of daemons that share the limit.
  bool TryAcquire(const std::string& service,
                  retry_kind kind,
                  std::size_t daemons,
                  instant now);

 private:
  struct window_counts {
    std::deque<instant> requests;
    std::deque<instant> retries;  // retries of both kinds
    std::deque<instant> reruns;
  };
  void DropExpired(window_counts& counts, instant now) const;
  double LimitFor(const window_counts& counts, std::size_t daemons) const;

  retry_limits limits_;
  std::map<std::string, window_counts> counts_by_service_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_RETRY_BUDGET_H_
