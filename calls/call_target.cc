// Target side of a call: admits it, runs it at most once and keeps its answer.

#include "calls/target_internals.h"

#include <algorithm>
#include <vector>

namespace parsleyyard {

namespace {

// Factor on the expected service time when a call is admitted, so that it ends
// within its objective: about every fourth call takes longer than usual.
constexpr double kServiceTimeMargin = 1.4;
// Share of its spare time that a call may wait; the spare time is the time
// until the call is due, less the service time with its margin. A longer queue
// does not keep the slots busier; it only delays more answers past their
// objective.
constexpr double kMaxWaitShare = 0.5;

}  // namespace

load_report target_internals::Load(const std::string& route) const {
  const instant now = clock_.Now();
  return {
      .running = running_,
      .waiting = static_cast<std::uint32_t>(queue_.size()),
      .limit = Limit(),
      .service_us = static_cast<std::uint32_t>(watch_.ServiceTime(now).count()),
      .route_us = static_cast<std::uint32_t>(
          route.empty() ? 0 : watch_.ServiceTimeOf(route, now).count()),
      .rejected_percent = watch_.down() ? 100 : watch_.rejected_percent(),
      .leaving = draining_,
      .speed_percent = SpeedPercent(),
      .waiting_by_priority = queue_.CountByPriority()};
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
  cold_limiter_.OnViewConfirmed(view_.ConfirmedAt());
  own_instance_.Update(*view);
  if (const known_instance* registered = own_instance_.FindRegistered(*view)) {
    cold_limiter_.OnRegistration(registered->cold_until);
  }
  if (own_instance_.EvacuationEnded()) {
    cold_limiter_.OnEvacuationEnd(now);
    RequestRampUp(ramp_up_cause::kEvacuationEnd, now);
  }
  if (own_instance_.InstanceChanged()) {
    RequestRampUp(ramp_up_cause::kInstanceStart, now);
  }
  ReportColdLimit(now);
  UpdateRampUp(now);
}

void target_internals::ReportColdLimit(instant now) {
  if (const auto change = cold_limiter_.TakeChange(now)) {
    listener_.OnColdLimit(*change);
  }
}

// Returns the reason for which the view or the state of the instance forbids
// the call, or kNone. Checked on arrival and again before the call is started.
// A call that was started as a trial is not refused for what it tries.
refusal_reason target_internals::FindRefusal(const call_request& message,
                                             bool trial,
                                             instant now) const {
  if (pause_guard_.AwaitsConfirmation(view_.ConfirmedAt(), now)) {
    return refusal_reason::kPaused;
  }
  const auto view = view_.Current();
  const refusal_reason refusal = own_instance_.FindHostRefusal(*view, message);
  if (refusal != refusal_reason::kNone) {
    return refusal;
  }
  if (!trial && watch_.RefusesCalls(now)) {
    return refusal_reason::kUpstreamRefused;
  }
  return own_instance_.FindInstanceRefusal(*view, message);
}

instance_capacity target_internals::Capacity(instant now) const {
  return {.running = running_,
          .limit = Limit(),
          .service_time = watch_.ServiceTime(now),
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
  const duration service_time = watch_.ServiceTimeOf(message.route, now);
  const bool past_objective = entry.objective < now + service_time;
  return {.id = message.id,
          .priority = message.priority,
          .due_at = past_objective ? entry.deadline : entry.objective,
          .service_time = service_time};
}

bool target_internals::Fits(const waiting_call& candidate, instant now) const {
  const duration wait = queue_.ExpectedWait(candidate, Capacity(now));
  const duration max_wait = std::chrono::duration_cast<duration>(
      (candidate.due_at - now - candidate.service_time * kServiceTimeMargin) *
      kMaxWaitShare);
  const bool in_time = wait <= max_wait;
  return (in_time || wait == duration::zero()) &&
         queue_.size() < options_.max_waiting_calls;
}

// Returns true if the call may be queued. Displaces less urgent calls until the
// expected wait is short enough and the queue has room; none, if that is not
// enough.
bool target_internals::TryAdmit(const waiting_call& candidate, instant now) {
  std::vector<waiting_call> displaced;
  while (!Fits(candidate, now)) {
    const auto next = queue_.PopLessUrgent(candidate.priority);
    if (!next) {
      for (const waiting_call& call : displaced) {
        queue_.PutBack(call);
      }
      return false;
    }
    displaced.push_back(*next);
  }
  for (const waiting_call& call : displaced) {
    RefuseWaitingCall(call.id, refusal_reason::kOverloaded);
  }
  return true;
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
  refusal_reason refusal = FindRefusal(*message, false, now);
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
  const instant deadline = std::min(
      end_at_, sent_at + std::chrono::milliseconds(message->deadline_ms));
  const instant objective = std::min(
      end_at_, sent_at + std::chrono::milliseconds(message->objective_ms));
  table_entry entry{.sender = from,
                    .message = message,
                    .arrived_at = now,
                    .deadline = deadline,
                    .objective = objective,
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

void target_internals::Tick() {
  const instant now = clock_.Now();
  UpdateFromView(now);
  const bool confirms =
      cold_limiter_.NeedsConfirmation(now) && probes_in_progress_ == 0;
  if (watch_.ProbeDue(cold_limiter_.NeedsHealthCheck(now), now) || confirms) {
    if (probes_in_progress_++ == 0) {
      oldest_probe_at_ = now;
    }
    upstream_.Probe();
  }
  table_.Expire(now);
  FollowSpeed(now);
  RefuseHopelessCalls(now);
  RefuseCallsThatOutlastDaemon(now);
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
void call_target::EndBy(instant end) {
  internals_->EndBy(end);
}
bool call_target::idle() const {
  return internals_->idle();
}
load_report call_target::Load() const {
  return internals_->Load();
}
instance_pace call_target::Pace() const {
  return internals_->Pace();
}

}  // namespace parsleyyard
