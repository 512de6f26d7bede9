// Calls that wait for the instance: their order, and whether one more may join
// them. Internal to calls/.
//
// Answers this load: more requests than the instance can run at once. A call
// joins only if it is expected to end within its objective, so that those who
// can't are told at once; the one with the least time goes first, which puts
// the short calls of instances, whose callers hold slots, before new work; and
// a more urgent call displaces a less urgent one.

#ifndef PARSLEYYARD_CALLS_WAIT_QUEUE_H_
#define PARSLEYYARD_CALLS_WAIT_QUEUE_H_

#include "calls/calls.h"

#include <optional>
#include <set>

namespace parsleyyard {

// A call that waits.
struct waiting_call {
  call_id id;
  std::uint32_t priority = 0;  // 0 goes first
  instant horizon{};           // it should have ended by then
  duration service_time{};     // that it is expected to take
  std::uint64_t arrival = 0;   // counts the calls that joined
};

// What the instance can do now.
struct instance_room {
  std::uint32_t running = 0;
  std::uint32_t limit = 1;
  duration service_time{};  // of the calls of late
  double rate = 0;          // calls a second that may start; 0: any
};

class wait_queue {
 public:
  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }

  // Wait that a call with that horizon and priority would have.
  duration ExpectedWait(const waiting_call& joining,
                        const instance_room& room) const;
  std::size_t Before(const waiting_call& joining) const;
  void Join(waiting_call joining);
  std::optional<waiting_call> TakeFirst();
  // The newest call of the least urgent class behind `priority`, taken out.
  std::optional<waiting_call> TakeLessUrgent(std::uint32_t priority);
  void Remove(const call_id& id);

 private:
  struct goes_before {
    bool operator()(const waiting_call& a, const waiting_call& b) const;
  };
  std::set<waiting_call, goes_before> calls_;
  std::uint64_t arrivals_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_WAIT_QUEUE_H_
