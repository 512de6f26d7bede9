// Calls that wait for a slot of the instance. Internal to calls/.
//
// Keeps latencies within the objectives when more requests arrive than the
// instance can run at once. A call is admitted only if it is expected to end
// within its objective; any other call is refused at once, without a wait. The
// call with the least time left starts first. This places calls that other
// instances make, which have short objectives and whose callers hold slots
// meanwhile, before new work. A more urgent call displaces a less urgent one.

#ifndef PARSLEYYARD_CALLS_WAIT_QUEUE_H_
#define PARSLEYYARD_CALLS_WAIT_QUEUE_H_

#include "calls/calls.h"

#include <functional>
#include <optional>
#include <set>

namespace parsleyyard {

// A call that waits for a slot.
struct waiting_call {
  call_id id;
  std::uint32_t priority = 0;        // 0: most urgent
  instant due_at{};                  // time by which the call should end
  duration service_time{};           // expected time at the instance
  std::uint64_t arrival_number = 0;  // set by Enqueue()
};

// Load and limits of the instance.
struct instance_capacity {
  std::uint32_t running = 0;  // calls in flight
  std::uint32_t limit = 1;    // slots
  duration service_time{};    // mean time of recent calls
  // Calls a second that may start; empty: no limit.
  std::optional<double> max_start_rate;
};

class wait_queue {
 public:
  bool empty() const { return calls_.empty(); }
  std::size_t size() const { return calls_.size(); }

  // Returns the expected wait of a call that would be enqueued now.
  duration ExpectedWait(const waiting_call& candidate,
                        const instance_capacity& capacity) const;
  // Returns the number of waiting calls that start before `candidate`.
  std::size_t CountAhead(const waiting_call& candidate) const;
  void Enqueue(waiting_call candidate);
  // Removes and returns the call that starts next; empty if none waits.
  std::optional<waiting_call> PopFirst();
  // Removes and returns the newest call of the least urgent priority; empty if
  // no call is less urgent than `priority`.
  std::optional<waiting_call> PopLessUrgent(std::uint32_t priority);
  // Returns the waiting calls in the order in which they start.
  std::vector<waiting_call> List() const {
    return {calls_.begin(), calls_.end()};
  }
  // Returns the number of calls by priority, most urgent first. The calls of
  // the least urgent ones count as one group if there are too many groups for a
  // load report.
  std::vector<waiting_group> CountByPriority() const;
  // Removes and returns the calls that are not expected to end within `left`.
  std::vector<waiting_call> PopCallsThatOutlast(
      duration left,
      const instance_capacity& capacity);
  // Sets the service time of each waiting call to what `estimate` returns for
  // it, and orders the queue anew.
  void UpdateServiceTimes(
      const std::function<duration(const waiting_call&)>& estimate);
  // Returns a call that was removed to its former place.
  void PutBack(const waiting_call& call) { calls_.insert(call); }
  void Remove(const call_id& id);

 private:
  struct starts_before {
    bool operator()(const waiting_call& a, const waiting_call& b) const;
  };
  std::set<waiting_call, starts_before> calls_;
  std::uint64_t last_arrival_number_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_WAIT_QUEUE_H_
