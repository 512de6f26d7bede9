// The calls of a sender that have no result yet. Internal to calls/.
//
// Finds a call by its handle, by the number of an attempt in progress and by
// the host that such an attempt goes to.

#ifndef PARSLEYYARD_CALLS_PENDING_CALLS_H_
#define PARSLEYYARD_CALLS_PENDING_CALLS_H_

#include "calls/call_life_cycle.h"
#include "calls/calls.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

// One attempt of a call at an instance.
struct call_attempt {
  call_life_cycle life_cycle;
  host_address target_host;
  std::string instance;
  std::uint64_t target_incarnation = 0;
  std::uint64_t sequence = 0;  // number of the attempt; 0: not sent yet
  bool leaves_region = false;  // the target is in another region
  instant sent_at{};
  instant connect_deadline{};  // latest time for the link to open
  instant silence_deadline{};  // from then on, the attempt counts as slow
  instant next_reconnect{};    // time of the next try to open a lost link
  instant attach_deadline{};   // latest time for a lost link to be back
  bool slow = false;           // another attempt was begun beside this one
};

struct pending_call {
  std::uint64_t handle = 0;
  call_plan plan;
  call_request message;
  instant deadline{};
  instant objective{};
  std::set<host_address> tried_hosts;
  std::uint32_t attempts = 0;  // targets chosen so far
  // Attempts that targets which state their instance's speed had no room for.
  std::uint32_t overload_refusals = 0;
  // Number of instances that the ended attempts may have reached.
  std::uint32_t reached_instances = 0;
  call_attempt current;  // the attempt that the latest event was about
  // A second attempt of an idempotent call in progress. The two go to different
  // hosts.
  std::optional<call_attempt> other;
  bool may_have_run = false;  // an ended attempt may have run
  // The daemon stops: an attempt that starts at its instance later could not
  // end in time.
  instant recall_at = instant::max();
  // An attempt that still waits at its target then could not end in time.
  instant recall_waiting_at = instant::max();
  bool recalled = false;  // the targets were told so
  // Error response of an instance, returned if no later attempt succeeds.
  std::optional<call_result> failed_result;
};

// Makes the attempt with that number, or at that host, the current one. False
// if no attempt in progress is.
bool SelectAttempt(pending_call& call, std::uint64_t sequence);
bool SelectAttempt(pending_call& call, const host_address& host);

// Returns the message of the current attempt. `origin` is the incarnation of
// the sender.
call_request BuildAttempt(const pending_call& call,
                          std::uint64_t origin,
                          instant now);

class pending_calls {
 public:
  pending_call& Add(std::uint64_t handle);
  // Returns null if the call has ended. References stay valid until Remove().
  pending_call* Find(std::uint64_t handle);
  // Returns the call with an attempt of that number in progress, or null.
  pending_call* FindBySequence(std::uint64_t sequence);
  // Returns the handles in ascending order.
  std::vector<std::uint64_t> Handles() const;
  // Returns the handles of the calls with an attempt at that host in progress,
  // in ascending order.
  std::vector<std::uint64_t> HandlesAt(const host_address& host) const;
  std::size_t size() const { return calls_.size(); }

  // Begins the current attempt at that host.
  void SetTarget(pending_call& call, const host_address& host);
  // Gives the current attempt a number that no earlier attempt had.
  void AssignSequence(pending_call& call);
  // Ends an attempt, which is no longer found by its number or host.
  void ReleaseTarget(const pending_call& call, const call_attempt& attempt);
  // All attempts of the call must have been released.
  void Remove(std::uint64_t handle);

 private:
  std::unordered_map<std::uint64_t, pending_call> calls_;  // by handle
  // Handle of the call, by the number of the attempt.
  std::unordered_map<std::uint64_t, std::uint64_t> handle_by_sequence_;
  std::unordered_map<host_address, std::set<std::uint64_t>> handles_by_target_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_PENDING_CALLS_H_
