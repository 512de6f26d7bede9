// Which daemons the load of this host's instance is pushed to, and when.
// Internal to calls/ and daemon/.
//
// Senders choose instances by the load that they know. Answers carry it, but a
// sender that has no answer for a while goes on with an old one. A push goes
// only to daemons that called lately and only if the load differs materially
// from what the daemon was told last, since bytes between failure domains are
// priced. Designed for instances with 1 to 100 slots, 5 to 100 calls a second
// and up to 80 calling daemons; the number of pushes is bounded by that of
// calls, so that the cost stays in proportion in a larger fleet.

#ifndef PARSLEYYARD_CALLS_LOAD_PUSH_H_
#define PARSLEYYARD_CALLS_LOAD_PUSH_H_

#include "calls/calls.h"

#include <map>
#include <vector>

namespace parsleyyard {

struct load_push_options {
  duration min_interval = milliseconds(100);  // between reports to one daemon
  // From its last call, a daemon gets pushes. Daemons that know the instance to
  // be full don't call it.
  duration window = seconds(10);
  // A busy instance is reported again after this long, since senders take one
  // without recent reports for idle.
  duration refresh_interval = seconds(1);
  double max_per_call = 1;  // pushes on average
  double max_burst = 128;   // pushes
};

class load_push {
 public:
  explicit load_push(const load_push_options& options) : options_(options) {}

  // Records that the daemon sent a call and wants to know the load.
  void OnCall(const host_address& from, instant now);
  // Records that an answer told the load to the daemon.
  void OnAnswer(const host_address& to, const load_report& load, instant now);
  // Returns the daemons to send the load to now, and counts it as sent. Empty
  // if the instance does not state its speed or leaves. Call this every 10 to
  // 20 ms.
  std::vector<host_address> TakeReceivers(const load_report& load, instant now);
  // Returns the number of pushes so far.
  std::uint64_t CountPushes() const { return pushes_; }

 private:
  struct receiver {
    instant called_at{};
    instant told_at{};
    load_report told;  // limit 0: nothing yet
  };

  const load_push_options options_;
  std::map<host_address, receiver> receivers_;
  double allowance_ = 0;  // pushes that may be sent now
  std::uint64_t pushes_ = 0;
};

// Returns true if the change from `told` to `load` matters for the choice of an
// instance: it has a free slot or no longer, one of its queues has doubled or
// halved, or its service time or speed has changed by a fifth.
bool IsMaterialChange(const load_report& told, const load_report& load);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_LOAD_PUSH_H_
