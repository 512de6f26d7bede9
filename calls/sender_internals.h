// State and decisions of the call sender. Internal to calls/.
//
// call_sender.cc places attempts and handles events of links, callers and the
// clock; sender_outcomes.cc decides what follows when an attempt has ended.

#ifndef PARSLEYYARD_CALLS_SENDER_INTERNALS_H_
#define PARSLEYYARD_CALLS_SENDER_INTERNALS_H_

#include "calls/calls.h"
#include "calls/pending_calls.h"
#include "calls/placement.h"
#include "calls/retry_budget.h"

#include <set>
#include <vector>

namespace parsleyyard {

// No attempt starts with less time than this until the deadline, because it
// could not be answered in time.
inline constexpr duration kMinAttemptTime = std::chrono::milliseconds(20);

// If the link to a target takes longer to open, the call goes to another
// daemon.
inline constexpr duration kConnectTimeout = std::chrono::milliseconds(150);

// An attempt counts as slow after this many times the mean service time.
inline constexpr int kSilenceFactor = 4;

// Time from a recall to the end of the daemon that suffices for the answer of
// the target and for the response to the caller.
inline constexpr duration kMinRecallTime = std::chrono::milliseconds(300);

// Time before its deadline at which a call that still waits at its target is
// recalled. It suffices for a round trip to another region, a tick at either
// end and the response to the caller.
inline constexpr duration kRecallLead = std::chrono::milliseconds(80);

// A cancel that waits for the lost link to the target.
struct owed_cancel {
  host_address host;
  std::uint64_t incarnation = 0;  // of the target
  std::uint64_t sequence = 0;     // number of the attempt
  instant deadline{};             // by then, the target has ended the attempt
};

class sender_internals {
 public:
  sender_internals(sender_options options,
                   const clock_source& clock,
                   random_source& random,
                   const view_source& view,
                   call_link& link,
                   call_sink& sink,
                   call_listener& listener)
      : options_(std::move(options)),
        clock_(clock),
        random_(random),
        view_(view),
        link_(link),
        sink_(sink),
        listener_(listener),
        placement_(options_, random),
        budget_(options_.retries) {}

  void Begin(std::uint64_t handle, const call_plan& plan, call_request message);
  void Cancel(std::uint64_t handle);
  void EndBy(instant end);
  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnPeerStops(const host_address& peer);
  void OnLinkDown(const host_address& peer);
  void OnUndelivered(const host_address& to, const call_id& id);
  void OnAnswer(const host_address& from, call_answer message);
  void OnLoadUpdate(const host_address& from, const load_update& message);
  void SetRetryLimits(const retry_limits& limits) { budget_.SetLimits(limits); }
  std::size_t size() const { return calls_.size(); }

 private:
  void StartAttempt(pending_call& call, refusal_reason last_refusal);
  void SendAttempt(pending_call& call, std::uint64_t incarnation);
  void ReleaseTarget(const pending_call& call, const call_attempt& attempt);
  void OnNotRun(pending_call& call,
                refusal_reason reason,
                bool reached_instance);
  void EndAttemptThatMayHaveRun(pending_call& call,
                                std::string_view event,
                                refusal_reason reason);
  void OnUnknownOutcome(pending_call& call, refusal_reason reason);
  void OnInstanceFailure(pending_call& call, call_result result);
  void OnSlowAttempt(pending_call& call);
  void OnLostLink(pending_call& call);
  void TryStartBeside(pending_call& call,
                      std::string_view event,
                      refusal_reason reason);
  void ContinueOther(pending_call& call);
  void EndOther(pending_call& call);
  void OnDeadline(pending_call& call);
  void TickAttempt(pending_call& call, instant now);
  void SendOwedCancels(const host_address& peer, std::uint64_t incarnation);
  bool TryAcquireRetry(const pending_call& call, retry_kind kind);
  void CancelAttempt(const pending_call& call, const call_attempt& attempt);
  void LimitToEnd(pending_call& call);
  void Recall(pending_call& call);
  void RecallAttempt(const call_attempt& attempt);
  void Finish(pending_call& call, call_result result);
  void Refuse(pending_call& call, refusal_reason reason);
  duration DrawRetryAfter(const pending_call& call, refusal_reason reason);
  std::size_t DaemonCount() const;
  void ReportEvent(const pending_call& call,
                   std::string_view event,
                   refusal_reason reason = refusal_reason::kNone) const;

  sender_options options_;
  const clock_source& clock_;
  random_source& random_;
  const view_source& view_;
  call_link& link_;
  call_sink& sink_;
  call_listener& listener_;
  placement placement_;
  retry_budget budget_;
  pending_calls calls_;
  std::set<host_address> closing_peers_;  // have announced their close
  std::vector<owed_cancel> owed_cancels_;
  instant end_at_ = instant::max();  // the daemon stops then
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_SENDER_INTERNALS_H_
