// Target side of a call: admits it, runs it at most once and keeps its answer.

#include "calls/attempt_answer.h"
#include "calls/call_table.h"
#include "calls/cold_limiter.h"
#include "calls/instance_watch.h"
#include "calls/own_instance.h"
#include "calls/wait_queue.h"
#include "model/pause_guard.h"
#include "model/transit_clock.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// A call with less time than this until its deadline is not started, because
// the instance can't answer that fast.
constexpr duration kMinRunTime = std::chrono::milliseconds(10);
// Factor on the expected service time when a call is admitted, so that it ends
// within its objective: about every fourth call takes longer than usual.
constexpr double kServiceTimeMargin = 1.4;
// Share of its spare time that a call may wait; the spare time is the time
// until the call is due, less the service time with its margin. A longer queue
// does not keep the slots busier; it only delays more answers past their
// objective.
constexpr double kMaxWaitShare = 0.5;
// A waiting call is refused in favour of others once the time left until it is
// due is shorter than this share of its service time.
constexpr double kMinServiceTimeShare = 0.7;

}  // namespace

class target_internals {
 public:
  target_internals(target_options options,
                   const clock_source& clock,
                   const view_source& view,
                   upstream_port& upstream,
                   answer_link& link,
                   target_listener& listener)
      : options_(std::move(options)),
        clock_(clock),
        view_(view),
        upstream_(upstream),
        link_(link),
        listener_(listener),
        own_instance_(options_),
        table_(options_.max_tracked_attempts, options_.max_kept_answer_bytes),
        cold_limiter_(options_.cold, clock.Now()),
        pause_guard_(clock.Now()) {}

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  bool OnUpstreamWrite(const call_id& id);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamReport(const upstream_report& report);
  void BeginDrain() { draining_ = true; }
  void RefuseNewCalls() { refuses_new_calls_ = true; }
  void SetColdLimits(const cold_limits& limits) {
    cold_limiter_.SetLimits(limits);
  }
  bool idle() const { return running_ == 0 && queue_.empty(); }
  load_report Load(const std::string& route = "") const;

 private:
  refusal_reason FindRefusal(const call_request& message, instant now) const;
  refusal_reason FindStartRefusal(const table_entry& call, instant now) const;
  refusal_reason RepeatStartCheck(const table_entry& call, instant now);
  void UpdateFromView(instant now);
  void ReportColdLimit(instant now);
  instance_capacity Capacity(instant now) const;
  waiting_call ToWaitingCall(const call_request& message,
                             const table_entry& entry,
                             instant now) const;
  bool TryAdmit(const waiting_call& candidate, instant now);
  void StartWaitingCalls();
  void StartOrRefuse(const waiting_call& next, instant now);
  bool IsTooLate(const waiting_call& next, instant now) const;
  void EndAttempt(const call_id& id, call_answer answer);
  void RefuseWaitingCall(const call_id& id, refusal_reason reason);
  void SendOutcome(const host_address& to,
                   const call_id& id,
                   call_outcome outcome,
                   refusal_reason reason);
  void ReportEvent(const call_request& message,
                   std::string_view event,
                   refusal_reason reason,
                   duration estimate = {}) const;

  target_options options_;
  const clock_source& clock_;
  const view_source& view_;
  upstream_port& upstream_;
  answer_link& link_;
  target_listener& listener_;
  own_instance own_instance_;
  call_table table_;
  wait_queue queue_;
  cold_limiter cold_limiter_;
  instance_watch watch_;
  pause_guard pause_guard_;
  transit_clock transit_clock_;
  std::uint32_t running_ = 0;
  bool draining_ = false;
  bool refuses_new_calls_ = false;
};

load_report target_internals::Load(const std::string& route) const {
  return {
      .running = running_,
      .waiting = static_cast<std::uint32_t>(queue_.size()),
      .limit = own_instance_.Slots(),
      .service_us = static_cast<std::uint32_t>(watch_.service_time().count()),
      .route_us = static_cast<std::uint32_t>(
          route.empty() ? 0 : watch_.ServiceTimeOf(route).count()),
      .rejected_percent = watch_.down() ? 100 : watch_.rejected_percent(),
      .leaving = draining_};
}

void target_internals::ReportEvent(const call_request& message,
                                   std::string_view event,
                                   refusal_reason reason,
                                   duration estimate) const {
  listener_.OnCallEvent(
      {.event = event,
       .request = message.request_id,
       .instance = message.instance,
       .reason = reason,
       .waiting = static_cast<std::uint32_t>(queue_.size()),
       .estimate = estimate,
       .left = std::chrono::milliseconds(message.deadline_ms)});
}

// ---------------------------------------------------------------------------
// State of the instance in the view
// ---------------------------------------------------------------------------

void target_internals::UpdateFromView(instant now) {
  const auto view = view_.Current();
  cold_limiter_.SetService(
      view->config ? view->config->FindService(options_.service) : nullptr);
  own_instance_.Update(*view);
  if (const known_instance* registered = own_instance_.FindRegistered(*view)) {
    cold_limiter_.OnRegistration(registered->cold_until);
  }
  if (own_instance_.EvacuationEnded()) {
    cold_limiter_.OnEvacuationEnd(now);
  }
  ReportColdLimit(now);
}

void target_internals::ReportColdLimit(instant now) {
  if (const auto change = cold_limiter_.TakeChange(now)) {
    listener_.OnColdLimit(*change);
  }
}

// Returns the reason for which the view or the state of the instance forbids
// the call, or kNone. Checked on arrival and again before the call is started.
refusal_reason target_internals::FindRefusal(const call_request& message,
                                             instant now) const {
  if (pause_guard_.AwaitsConfirmation(view_.ConfirmedAt(), now)) {
    return refusal_reason::kPaused;
  }
  const auto view = view_.Current();
  const refusal_reason refusal = own_instance_.FindHostRefusal(*view, message);
  if (refusal != refusal_reason::kNone) {
    return refusal;
  }
  if (watch_.down()) {
    return refusal_reason::kUpstreamRefused;
  }
  return own_instance_.FindInstanceRefusal(*view, message);
}

instance_capacity target_internals::Capacity(instant now) const {
  return {.running = running_,
          .limit = own_instance_.Slots(),
          .service_time = watch_.service_time(),
          .max_start_rate = cold_limiter_.MaxRate(now)};
}

// ---------------------------------------------------------------------------
// Arrival
// ---------------------------------------------------------------------------

void target_internals::SendOutcome(const host_address& to,
                                   const call_id& id,
                                   call_outcome outcome,
                                   refusal_reason reason) {
  link_.SendAnswer(
      to, std::make_shared<const call_answer>(call_answer{
              .id = id, .outcome = outcome, .reason = reason, .load = Load()}));
}

// A call that can't meet its objective any more is due at its deadline.
waiting_call target_internals::ToWaitingCall(const call_request& message,
                                             const table_entry& entry,
                                             instant now) const {
  const duration service_time = watch_.ServiceTimeOf(message.route);
  const bool past_objective = entry.objective < now + service_time;
  return {.id = message.id,
          .priority = message.priority,
          .due_at = past_objective ? entry.deadline : entry.objective,
          .service_time = service_time};
}

// Returns true if the call may be queued. Displaces less urgent calls until the
// expected wait is short enough and the queue has room.
bool target_internals::TryAdmit(const waiting_call& candidate, instant now) {
  while (true) {
    const duration wait = queue_.ExpectedWait(candidate, Capacity(now));
    const duration max_wait = std::chrono::duration_cast<duration>(
        (candidate.due_at - now - candidate.service_time * kServiceTimeMargin) *
        kMaxWaitShare);
    const bool in_time = wait <= max_wait;
    const bool fits = (in_time || wait == duration::zero()) &&
                      queue_.size() < options_.max_waiting_calls;
    if (fits) {
      return true;
    }
    const auto displaced = queue_.PopLessUrgent(candidate.priority);
    if (!displaced) {
      return false;
    }
    RefuseWaitingCall(displaced->id, refusal_reason::kOverloaded);
  }
}

void target_internals::OnCall(const host_address& from,
                              std::shared_ptr<const call_request> message) {
  const instant now = clock_.Now();
  const call_id id = message->id;
  if (message->target_incarnation != options_.incarnation) {
    return SendOutcome(from, id, call_outcome::kNotRun,
                       refusal_reason::kWrongIncarnation);
  }
  if (const table_entry* known = table_.Find(id)) {
    return known->state == attempt_state::kFenced
               ? SendOutcome(from, id, call_outcome::kNotRun,
                             refusal_reason::kFenced)
               : void();
  }
  pause_guard_.Observe(now);
  UpdateFromView(now);
  refusal_reason refusal = FindRefusal(*message, now);
  if (refusal == refusal_reason::kNone && refuses_new_calls_) {
    refusal = refusal_reason::kLeaving;
  }
  if (refusal == refusal_reason::kNone && table_.full()) {
    refusal = refusal_reason::kOverloaded;
  }
  // A call can wait on its way, behind other traffic on a slow link or while
  // this process is suspended. Its caller may have left meanwhile.
  const instant sent_at =
      now - transit_clock_.Observe(
                id.origin, std::chrono::milliseconds(message->sent_ms), now);
  const instant deadline =
      sent_at + std::chrono::milliseconds(message->deadline_ms);
  table_entry entry{
      .sender = from,
      .message = message,
      .deadline = deadline,
      .objective = sent_at + std::chrono::milliseconds(message->objective_ms),
      .expiry = std::max(now, deadline) + options_.id_retention};
  const waiting_call candidate = ToWaitingCall(*message, entry, now);
  if (refusal == refusal_reason::kNone && options_.limit_admission &&
      !TryAdmit(candidate, now)) {
    refusal = cold_limiter_.MaxRate(now) ? refusal_reason::kCold
                                         : refusal_reason::kOverloaded;
  }
  if (refusal != refusal_reason::kNone) {
    ReportEvent(*message, "refused", refusal,
                queue_.ExpectedWait(candidate, Capacity(now)));
    return SendOutcome(from, id, call_outcome::kNotRun, refusal);
  }
  table_.Add(id, std::move(entry));
  queue_.Enqueue(candidate);
  StartWaitingCalls();
}

// ---------------------------------------------------------------------------
// Running
// ---------------------------------------------------------------------------

void target_internals::StartWaitingCalls() {
  const instant now = clock_.Now();
  pause_guard_.Observe(now);
  while (!queue_.empty() &&
         (running_ < own_instance_.Slots() || !options_.limit_admission)) {
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
  const refusal_reason refusal = FindRefusal(*call.message, now);
  const bool past_deadline = now + kMinRunTime >= call.deadline;
  return refusal == refusal_reason::kNone && past_deadline
             ? refusal_reason::kDeadlinePassed
             : refusal;
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
  call.started_at = now;
  ++running_;
  cold_limiter_.Pacer().OnStarted(now);
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
  cold_limiter_.OnHealthCheck(report, now);
  ReportColdLimit(now);
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
// other call only if it is idempotent: a never-repeat call runs to its end.
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
  if (!call->written || !call->message->never_repeat) {
    upstream_.Cancel(message.id);
  }
}

void target_internals::Tick() {
  const instant now = clock_.Now();
  UpdateFromView(now);
  if (watch_.ProbeDue(cold_limiter_.NeedsHealthCheck(now), now)) {
    upstream_.Probe();
  }
  table_.Expire(now);
  StartWaitingCalls();
}

call_target::call_target(target_options options,
                         const clock_source& clock,
                         const view_source& view,
                         upstream_port& upstream,
                         answer_link& link,
                         target_listener& listener)
    : internals_(std::make_unique<target_internals>(std::move(options),
                                                    clock,
                                                    view,
                                                    upstream,
                                                    link,
                                                    listener)) {}
call_target::~call_target() = default;
void call_target::Tick() {
  internals_->Tick();
}
void call_target::OnCall(const host_address& from,
                         std::shared_ptr<const call_request> message) {
  internals_->OnCall(from, std::move(message));
}
void call_target::OnAttach(const host_address& from,
                           const call_attach& message) {
  internals_->OnAttach(from, message);
}
void call_target::OnCancel(const call_cancel& message) {
  internals_->OnCancel(message);
}
bool call_target::OnUpstreamWrite(const call_id& id) {
  return internals_->OnUpstreamWrite(id);
}
void call_target::OnUpstreamDone(const call_id& id, upstream_result result) {
  internals_->OnUpstreamDone(id, std::move(result));
}
void call_target::OnUpstreamReport(const upstream_report& report) {
  internals_->OnUpstreamReport(report);
}
void call_target::BeginDrain() {
  internals_->BeginDrain();
}
void call_target::RefuseNewCalls() {
  internals_->RefuseNewCalls();
}
void call_target::SetColdLimits(const cold_limits& limits) {
  internals_->SetColdLimits(limits);
}
bool call_target::idle() const {
  return internals_->idle();
}
load_report call_target::Load() const {
  return internals_->Load();
}

}  // namespace parsleyyard
