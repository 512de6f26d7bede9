// How many requests of a service this daemon may send again. Internal to
// calls/.
//
// The platform bounds what all daemons together send again to a service in any
// window: a share of the requests for it, and a fixed number. Without shared
// state each daemon keeps to the share of its own requests and to its part of
// the fixed number, so that the sum keeps the bound.

#ifndef PARSLEYYARD_CALLS_RETRY_BUDGET_H_
#define PARSLEYYARD_CALLS_RETRY_BUDGET_H_

#include "calls/calls.h"

#include <deque>
#include <map>

namespace parsleyyard {

enum class repeat_kind : std::uint8_t {
  kRejected,  // no instance has run the request yet
  kRerun,     // one has, and made its own calls, which are then made again
};

class retry_budget {
 public:
  explicit retry_budget(const retry_limits& limits) : limits_(limits) {}

  void SetLimits(const retry_limits& limits) { limits_ = limits; }
  void OnRequest(const std::string& service, instant now);
  // Takes one repeat if the budget has it. `daemons` share the fixed number.
  bool Take(const std::string& service,
            repeat_kind kind,
            std::size_t daemons,
            instant now);

 private:
  struct window_counts {
    std::deque<instant> requests;
    std::deque<instant> repeats;  // of both kinds
    std::deque<instant> reruns;
  };
  void Forget(window_counts& counts, instant now) const;
  double Bound(const window_counts& counts, std::size_t daemons) const;

  retry_limits limits_;
  std::map<std::string, window_counts> services_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_RETRY_BUDGET_H_
