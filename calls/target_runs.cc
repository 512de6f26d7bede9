// Starts the calls that the call target has admitted, and ends them.

#include "calls/attempt_answer.h"
#include "calls/target_internals.h"

#include <utility>

namespace parsleyyard {

namespace {

// A call with less time than this until its deadline is not started, because
// the instance can't answer that fast.
constexpr duration kMinRunTime = std::chrono::milliseconds(10);
// A waiting call is refused in favour of others once the time left until it is
// due is shorter than this share of its service time.
constexpr double kMinServiceTimeShare = 0.7;
// Time before the end of the daemon from which calls that still wait for a
// connection to the instance are refused. It suffices for the answer.
constexpr duration kWithholdTime = std::chrono::milliseconds(300);

// True if no later state of the instance or the view lets the call run.
bool IsFinal(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kLeaving:
    case refusal_reason::kFailureDomainOut:
    case refusal_reason::kWrongInstance:
    case refusal_reason::kDeadlinePassed:
      return true;
    default:
      return false;
  }
}

}  // namespace

void target_internals::StartWaitingCalls() {
  const instant now = clock_.Now();
  pause_guard_.Observe(now);
  while (!queue_.empty() && (running_ < Limit() || !options_.limit_admission)) {
    if (options_.limit_admission && !cold_limiter_.Allows(now)) {
      return;
    }
    StartOrRefuse(*queue_.PopFirst(), now);
  }
}

// Returns true if the call can no longer end in time and other calls wait,
// which may still end in time.
bool target_internals::IsTooLate(const waiting_call& next, instant now) const {
  const auto needed = std::chrono::duration_cast<duration>(
      next.service_time * kMinServiceTimeShare);
  return now + needed > next.due_at && !queue_.empty() &&
         options_.limit_admission;
}

refusal_reason target_internals::FindStartRefusal(const table_entry& call,
                                                  instant now) const {
  const refusal_reason refusal = FindRefusal(*call.message, call.trial, now);
  if (refusal != refusal_reason::kNone) {
    return refusal;
  }
  if (now + watch_.ServiceTimeOf(call.message->route, now) > end_at_) {
    return refusal_reason::kLeaving;
  }
  return now + kMinRunTime >= call.deadline ? refusal_reason::kDeadlinePassed
                                            : refusal_reason::kNone;
}

// Refuses the waiting calls that could not start any more. Otherwise they would
// wait until a slot is free. The view is searched only if it has changed.
void target_internals::RefuseHopelessCalls(instant now) {
  const bool view_changed = checked_view_ != view_.Current();
  checked_view_ = view_.Current();
  for (const waiting_call& call : queue_.List()) {
    const table_entry& entry = *table_.Find(call.id);
    const bool past_deadline = now + kMinRunTime >= entry.deadline;
    if (!view_changed && !past_deadline) {
      continue;
    }
    const refusal_reason refusal = FindStartRefusal(entry, now);
    if (IsFinal(refusal)) {
      queue_.Remove(call.id);
      RefuseWaitingCall(call.id, refusal);
    }
  }
}

// The senders of calls that this daemon can't finish learn it in time to place
// them elsewhere, or to tell their callers.
void target_internals::RefuseCallsThatOutlastDaemon(instant now) {
  if (end_at_ == instant::max()) {
    return;
  }
  for (const waiting_call& call :
       queue_.PopCallsThatOutlast(end_at_ - now, Capacity(now))) {
    RefuseWaitingCall(call.id, refusal_reason::kLeaving);
  }
  if (now + kWithholdTime >= end_at_ &&
      !std::exchange(withholds_unwritten_, true)) {
    WithholdUnwrittenCalls();
  }
}

// Ends the calls that were started and still wait for a connection. Each ends
// in OnUpstreamDone(), as not run.
void target_internals::WithholdUnwrittenCalls() {
  for (const call_id& id : table_.FindUnwritten()) {
    table_.Find(id)->withheld_for = refusal_reason::kLeaving;
    upstream_.Cancel(id);
  }
}

void target_internals::StartOrRefuse(const waiting_call& next, instant now) {
  table_entry& call = *table_.Find(next.id);
  refusal_reason refusal = FindStartRefusal(call, now);
  if (refusal == refusal_reason::kNone && IsTooLate(next, now)) {
    refusal = refusal_reason::kOverloaded;
  }
  if (refusal != refusal_reason::kNone) {
    return RefuseWaitingCall(next.id, refusal);
  }
  call.state = attempt_state::kRunning;
  call.trial = watch_.BeginTrial(now);
  call.started_at = now;
  ++running_;
  cold_limiter_.OnStarted(now);
  ramp_up_.OnStarted(running_);
  upstream_.Run(next.id, call.message, call.deadline - now);
}

void target_internals::RefuseWaitingCall(const call_id& id,
                                         refusal_reason reason) {
  ReportEvent(*table_.Find(id)->message, "refused while queued", reason);
  EndAttempt(id,
             {.id = id, .outcome = call_outcome::kNotRun, .reason = reason});
}

void target_internals::EndAttempt(const call_id& id, call_answer answer) {
  const table_entry& call = *table_.Find(id);
  const host_address from = call.sender;
  answer.held_us =
      static_cast<std::uint32_t>((clock_.Now() - call.arrived_at).count());
  answer.load = Load(call.message->route);
  const auto shared_answer =
      std::make_shared<const call_answer>(std::move(answer));
  table_.End(id, shared_answer);
  link_.SendAnswer(from, shared_answer);
}

refusal_reason target_internals::RepeatStartCheck(const table_entry& call,
                                                  instant now) {
  pause_guard_.Observe(now);
  UpdateFromView(now);
  return FindStartRefusal(call, now);
}

// Repeats the checks of the start: since then the process may have been paused,
// or may have waited for a connection or for its share of the processor. They
// are repeated once more if the process was paused during them.
bool target_internals::OnUpstreamWrite(const call_id& id) {
  const instant now = clock_.Now();
  table_entry* call = table_.Find(id);
  if (call == nullptr || call->state != attempt_state::kRunning ||
      call->written || call->withheld_for != refusal_reason::kNone) {
    return false;
  }
  call->withheld_for = RepeatStartCheck(*call, now);
  if (call->withheld_for == refusal_reason::kNone) {
    const instant checked_at = clock_.Now();
    if (pause_guard_.Observe(checked_at)) {
      call->withheld_for = RepeatStartCheck(*call, checked_at);
    }
  }
  if (call->withheld_for != refusal_reason::kNone) {
    return false;
  }
  call->written = true;
  cold_limiter_.Pacer().OnWritten(now);
  if (cold_limiter_.IsCold(now)) {
    listener_.OnColdRequest({.request = call->message->request_id,
                             .instance = call->message->instance,
                             .since_start = now - call->started_at});
  }
  return true;
}

void target_internals::OnUpstreamDone(const call_id& id,
                                      upstream_result result) {
  const instant now = clock_.Now();
  table_entry* call = table_.Find(id);
  if (call == nullptr || call->state != attempt_state::kRunning) {
    return;
  }
  --running_;
  if (!call->written) {
    cold_limiter_.Pacer().OnDropped();
  }
  const bool withheld = call->withheld_for != refusal_reason::kNone;
  if (!withheld) {
    watch_.OnDone(result, call->message->route, now - call->started_at, now);
    RecordForRampUp(*call, result, now);
    FollowSpeed(now);
  }
  call_answer answer = BuildAnswer(id, std::move(result), call->withheld_for);
  if (answer.outcome != call_outcome::kAnswer) {
    ReportEvent(
        *call->message,
        withheld ? "refused before it was sent" : "no response from instance",
        answer.reason);
  }
  EndAttempt(id, std::move(answer));
  StartWaitingCalls();
}

void target_internals::OnUpstreamReport(const upstream_report& report) {
  const instant now = clock_.Now();
  watch_.OnReport(report, now);
  FollowSpeed(now);
  cold_limiter_.OnHealthCheck(report, oldest_probe_at_, now);
  probes_in_progress_ -= probes_in_progress_ > 0 ? 1 : 0;
  ReportColdLimit(now);
  UpdateRampUp(now);
  StartWaitingCalls();
}

// Sends the result of a known attempt, now or once it has ended. Fences an
// unknown attempt, so that it can't run after it was reported as not run.
void target_internals::OnAttach(const host_address& from,
                                const call_attach& message) {
  table_entry* call = table_.Find(message.id);
  if (call == nullptr && table_.full()) {
    return SendOutcome(from, message.id, call_outcome::kUnknown,
                       refusal_reason::kOverloaded);
  }
  if (call == nullptr) {
    const instant deadline =
        clock_.Now() + std::chrono::milliseconds(message.deadline_ms);
    call =
        &table_.Add(message.id, {.state = attempt_state::kFenced,
                                 .sender = from,
                                 .deadline = deadline,
                                 .expiry = deadline + options_.id_retention});
  }
  call->sender = from;
  if (call->state == attempt_state::kFenced) {
    SendOutcome(from, message.id, call_outcome::kNotRun,
                refusal_reason::kFenced);
  } else if (call->state == attempt_state::kEnded && call->answer) {
    link_.SendAnswer(from, call->answer);
  } else if (call->state == attempt_state::kEnded) {
    SendOutcome(from, message.id, call_outcome::kUnknown,
                refusal_reason::kLinkLost);
  }
}

// Refuses a waiting call, and one whose request is not written yet. Aborts any
// other call only if it is idempotent, and unless the message says that a
// written one goes on: a never-repeat call runs to its end.
void target_internals::OnCancel(const call_cancel& message) {
  table_entry* call = table_.Find(message.id);
  if (call == nullptr) {
    return;
  }
  if (call->state == attempt_state::kWaiting) {
    queue_.Remove(message.id);
    RefuseWaitingCall(message.id, refusal_reason::kCancelled);
    return;
  }
  if (call->state != attempt_state::kRunning) {
    return;
  }
  if (!call->written) {
    call->withheld_for = refusal_reason::kCancelled;
  }
  const bool may_abort =
      !message.unless_written && !call->message->never_repeat;
  if (!call->written || may_abort) {
    upstream_.Cancel(message.id);
  }
}

}  // namespace parsleyyard
