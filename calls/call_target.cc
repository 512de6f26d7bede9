// The side of a call that admits it, runs it at most once and keeps its answer.

#include "calls/call_table.h"
#include "calls/cold_pacer.h"
#include "calls/instance_watch.h"
#include "calls/wait_queue.h"
#include "model/pause_guard.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Shortest time in which the instance can answer.
constexpr duration kShortestRun = std::chrono::milliseconds(10);
// Times the usual service time that a call is given to end within its
// objective: instances take longer than usual on about every fourth call.
constexpr double kServiceMargin = 1.4;
// Part of the time that is left then which a call may spend waiting; a longer
// queue keeps no slot busier, it only makes more answers late.
constexpr double kWaitPart = 0.5;
// A waiting call whose expected end is past its due_at gives way to others
// once this part of its service time no longer fits.
constexpr double kLateFactor = 0.7;

// Part of the bound on a cold instance that is used. The instance counts
// arrivals: what was admitted in time may arrive late, when the daemon has used
// up its processor share or the instance is slow to take a new connection.
constexpr double kColdPart = 0.65;

// Requests in any second; 0 if the service states no rate and so bears any.
double ColdRateOf(const service& config, const cold_limits& limits) {
  const double bound = config.cold_rate * limits.factor + limits.slack;
  return config.cold_rate > 0 ? std::max(config.cold_rate, kColdPart * bound)
                              : 0;
}

}  // namespace

class target_internals {
 public:
  target_internals(target_options options,
                   const clock_source& clock,
                   const view_source& view,
                   upstream_port& upstream,
                   answer_link& link,
                   call_listener& listener)
      : options_(std::move(options)),
        clock_(clock),
        view_(view),
        upstream_(upstream),
        link_(link),
        listener_(listener),
        table_(options_.max_tracked_attempts, options_.max_kept_answer_bytes),
        pacer_(clock.Now()),
        pause_(clock.Now()) {}

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamReport(const upstream_report& report);
  void BeginDrain() { leaving_ = true; }
  void RefuseNewCalls() { refusing_ = true; }
  void SetColdLimits(const cold_limits& limits) { options_.cold = limits; }
  bool idle() const { return running_ == 0 && queue_.empty(); }
  load_report Load(const std::string& route = "") const;

 private:
  refusal_reason WhyNot(const call_request& message, instant now) const;
  refusal_reason WhyNotThisInstance(const call_request& message) const;
  void WatchView(instant now);
  double ColdRate(instant now) const;  // 0: not cold
  instance_capacity Room(instant now) const;
  waiting_call MakeWaiting(const call_request& message,
                           const table_entry& entry,
                           instant now) const;
  bool Admit(const waiting_call& joining, instant now);
  void Pump();
  void StartOrRefuse(const waiting_call& next, instant now);
  bool IsTooLate(const waiting_call& next, instant now) const;
  void End(const call_id& id, call_answer answer);
  void Refuse(const call_id& id, refusal_reason reason);
  void Reply(const host_address& to,
             const call_id& id,
             call_outcome outcome,
             refusal_reason reason);
  void Report(const call_request& message,
              std::string_view what,
              refusal_reason reason,
              duration estimate = {}) const;

  target_options options_;
  const clock_source& clock_;
  const view_source& view_;
  upstream_port& upstream_;
  answer_link& link_;
  call_listener& listener_;
  call_table table_;
  wait_queue queue_;
  cold_pacer pacer_;
  instance_watch watch_;
  pause_guard pause_;
  std::uint32_t running_ = 0;
  bool leaving_ = false;
  bool refusing_ = false;
  std::string own_instance_;  // the last one seen beside this daemon
  std::uint32_t slots_ = 1;
  bool was_out_ = false;
  instant cold_until_{};          // by the view
  instant assumed_cold_until_{};  // after an evacuation, until it is asked
};

load_report target_internals::Load(const std::string& route) const {
  return {
      .running = running_,
      .waiting = static_cast<std::uint32_t>(queue_.size()),
      .limit = slots_,
      .service_us = static_cast<std::uint32_t>(watch_.service_time().count()),
      .route_us = static_cast<std::uint32_t>(
          route.empty() ? 0 : watch_.ServiceTimeOf(route).count()),
      .rejected_percent = watch_.down() ? 100 : watch_.rejected_percent(),
      .leaving = leaving_};
}

void target_internals::Report(const call_request& message,
                              std::string_view what,
                              refusal_reason reason,
                              duration estimate) const {
  listener_.OnCallEvent(
      {.event = what,
       .request = message.request_id,
       .instance = message.instance,
       .reason = reason,
       .waiting = static_cast<std::uint32_t>(queue_.size()),
       .estimate = estimate,
       .left = std::chrono::milliseconds(message.deadline_ms)});
}

// ---------------------------------------------------------------------------
// What the view says of the instance
// ---------------------------------------------------------------------------

void target_internals::WatchView(instant now) {
  const auto view = view_.Current();
  const known_instance* own =
      view->FindAt(options_.address, options_.instance_port);
  if (own != nullptr) {
    own_instance_ = own->registration.id;
    slots_ = std::max(1U, own->registration.slots);
    cold_until_ = std::max(cold_until_, own->cold_until);
  }
  const bool out = view->evacuated.contains(options_.failure_domain);
  if (was_out_ && !out && view->config != nullptr) {
    const service* config = view->config->FindService(options_.service);
    const duration warm_up = config ? config->warm_up : duration::zero();
    assumed_cold_until_ = now + warm_up;
    upstream_.Probe();
  }
  was_out_ = out;
}

double target_internals::ColdRate(instant now) const {
  if (now >=
      std::max({cold_until_, watch_.cold_until(), assumed_cold_until_})) {
    return 0;
  }
  const auto view = view_.Current();
  const service* config =
      view->config ? view->config->FindService(options_.service) : nullptr;
  return config ? ColdRateOf(*config, options_.cold) : 0;
}

refusal_reason target_internals::WhyNotThisInstance(
    const call_request& message) const {
  const auto view = view_.Current();
  const known_instance* own =
      view->FindAt(options_.address, options_.instance_port);
  if (own == nullptr) {
    return message.instance == own_instance_ ? refusal_reason::kLeaving
                                             : refusal_reason::kNone;
  }
  if (own->registration.id != message.instance) {
    return refusal_reason::kWrongInstance;
  }
  return own->registration.draining ? refusal_reason::kLeaving
                                    : refusal_reason::kNone;
}

// Asked on arrival and again before the call is sent to the instance.
refusal_reason target_internals::WhyNot(const call_request& message,
                                        instant now) const {
  if (pause_.AwaitsConfirmation(view_.ConfirmedAt(), now)) {
    return refusal_reason::kPaused;
  }
  const auto view = view_.Current();
  if (view->evacuated.contains(options_.failure_domain)) {
    return refusal_reason::kFailureDomainOut;
  }
  if (message.service != options_.service) {
    return refusal_reason::kNoUpstream;
  }
  if (watch_.down()) {
    return refusal_reason::kUpstreamRefused;
  }
  return WhyNotThisInstance(message);
}

instance_capacity target_internals::Room(instant now) const {
  return {.running = running_,
          .limit = slots_,
          .service_time = watch_.service_time(),
          .max_start_rate = ColdRate(now)};
}

// ---------------------------------------------------------------------------
// Arrival
// ---------------------------------------------------------------------------

void target_internals::Reply(const host_address& to,
                             const call_id& id,
                             call_outcome outcome,
                             refusal_reason reason) {
  link_.SendAnswer(
      to, std::make_shared<const call_answer>(call_answer{
              .id = id, .outcome = outcome, .reason = reason, .load = Load()}));
}

// A call that is late already may use all the time that it has left.
waiting_call target_internals::MakeWaiting(const call_request& message,
                                           const table_entry& entry,
                                           instant now) const {
  const duration service_time = watch_.ServiceTimeOf(message.route);
  const bool late = entry.objective < now + service_time;
  return {.id = message.id,
          .priority = message.priority,
          .due_at = late ? entry.deadline : entry.objective,
          .service_time = service_time};
}

// Makes room for the call by displacing less urgent ones, if that helps.
bool target_internals::Admit(const waiting_call& joining, instant now) {
  while (true) {
    const duration wait = queue_.ExpectedWait(joining, Room(now));
    const duration spare = std::chrono::duration_cast<duration>(
        (joining.due_at - now - joining.service_time * kServiceMargin) *
        kWaitPart);
    const bool in_time = wait <= spare;
    const bool fits = (in_time || wait == duration::zero()) &&
                      queue_.size() < options_.max_waiting_calls;
    if (fits) {
      return true;
    }
    const auto displaced = queue_.PopLessUrgent(joining.priority);
    if (!displaced) {
      return false;
    }
    Refuse(displaced->id, refusal_reason::kOverloaded);
  }
}

void target_internals::OnCall(const host_address& from,
                              std::shared_ptr<const call_request> message) {
  const instant now = clock_.Now();
  const call_id id = message->id;
  if (message->target_incarnation != options_.incarnation) {
    return Reply(from, id, call_outcome::kNotRun,
                 refusal_reason::kWrongIncarnation);
  }
  if (const table_entry* known = table_.Find(id)) {
    return known->state == attempt_state::kFenced
               ? Reply(from, id, call_outcome::kNotRun, refusal_reason::kFenced)
               : void();
  }
  pause_.Observe(now);
  WatchView(now);
  refusal_reason refusal = WhyNot(*message, now);
  if (refusal == refusal_reason::kNone && refusing_) {
    refusal = refusal_reason::kLeaving;
  }
  if (refusal == refusal_reason::kNone && table_.full()) {
    refusal = refusal_reason::kOverloaded;
  }
  const instant deadline =
      now + std::chrono::milliseconds(message->deadline_ms);
  table_entry entry{
      .sender = from,
      .message = message,
      .deadline = deadline,
      .objective = now + std::chrono::milliseconds(message->objective_ms),
      .expiry = deadline + options_.id_retention};
  const waiting_call joining = MakeWaiting(*message, entry, now);
  if (refusal == refusal_reason::kNone && options_.limit_admission &&
      !Admit(joining, now)) {
    refusal =
        ColdRate(now) > 0 ? refusal_reason::kCold : refusal_reason::kOverloaded;
  }
  if (refusal != refusal_reason::kNone) {
    Report(*message, "refused", refusal,
           queue_.ExpectedWait(joining, Room(now)));
    return Reply(from, id, call_outcome::kNotRun, refusal);
  }
  table_.Add(id, std::move(entry));
  queue_.Enqueue(joining);
  Pump();
}

// ---------------------------------------------------------------------------
// Running
// ---------------------------------------------------------------------------

void target_internals::Pump() {
  const instant now = clock_.Now();
  pause_.Observe(now);
  while (!queue_.empty() && (running_ < slots_ || !options_.limit_admission)) {
    const double rate = ColdRate(now);
    if (rate > 0 && options_.limit_admission && !pacer_.Allows(rate, now)) {
      return;
    }
    StartOrRefuse(*queue_.PopFirst(), now);
  }
}

// A call that can no longer end in time gives way if others still can.
bool target_internals::IsTooLate(const waiting_call& next, instant now) const {
  const auto needed =
      std::chrono::duration_cast<duration>(next.service_time * kLateFactor);
  return now + needed > next.due_at && !queue_.empty() &&
         options_.limit_admission;
}

void target_internals::StartOrRefuse(const waiting_call& next, instant now) {
  table_entry& call = *table_.Find(next.id);
  refusal_reason refusal = WhyNot(*call.message, now);
  if (refusal == refusal_reason::kNone && now + kShortestRun >= call.deadline) {
    refusal = refusal_reason::kDeadlinePassed;
  }
  if (refusal == refusal_reason::kNone && IsTooLate(next, now)) {
    refusal = refusal_reason::kOverloaded;
  }
  if (refusal != refusal_reason::kNone) {
    return Refuse(next.id, refusal);
  }
  call.state = attempt_state::kRunning;
  call.started_at = now;
  ++running_;
  pacer_.OnSent(now);
  upstream_.Run(next.id, call.message, call.deadline - now);
}

void target_internals::Refuse(const call_id& id, refusal_reason reason) {
  Report(*table_.Find(id)->message, "refused in queue", reason);
  End(id, {.id = id, .outcome = call_outcome::kNotRun, .reason = reason});
}

void target_internals::End(const call_id& id, call_answer answer) {
  const table_entry& call = *table_.Find(id);
  const host_address from = call.sender;
  answer.load = Load(call.message->route);
  const auto ended = std::make_shared<const call_answer>(std::move(answer));
  table_.End(id, ended);
  link_.SendAnswer(from, ended);
}

void target_internals::OnUpstreamDone(const call_id& id,
                                      upstream_result result) {
  const instant now = clock_.Now();
  table_entry* call = table_.Find(id);
  if (call == nullptr || call->state != attempt_state::kRunning) {
    return;
  }
  --running_;
  watch_.OnDone(result, call->message->route, now - call->started_at, now);
  call_answer answer{.id = id,
                     .outcome = call_outcome::kUnknown,
                     .reason = result.timed_out ? refusal_reason::kTimeout
                                                : refusal_reason::kUpstreamLost,
                     .reached_instance = result.sent};
  if (!result.sent || result.not_run) {
    answer.outcome = call_outcome::kNotRun;
    answer.reason = result.other_instance ? refusal_reason::kWrongInstance
                                          : refusal_reason::kUpstreamRefused;
  } else if (result.complete) {
    answer.outcome = call_outcome::kAnswer;
    answer.reason = refusal_reason::kNone;
    answer.status = result.status;
    answer.headers = std::move(result.headers);
    answer.body = std::move(result.body);
  }
  if (answer.outcome != call_outcome::kAnswer) {
    Report(*call->message, "no answer from instance", answer.reason);
  }
  End(id, std::move(answer));
  Pump();
}

void target_internals::OnUpstreamReport(const upstream_report& report) {
  watch_.OnReport(report, clock_.Now());
  if (report.reachable) {
    assumed_cold_until_ = instant();
  }
  Pump();
}

// Fences a call that is not known, so that "not run" stays true.
void target_internals::OnAttach(const host_address& from,
                                const call_attach& message) {
  table_entry* call = table_.Find(message.id);
  if (call == nullptr && table_.full()) {
    return Reply(from, message.id, call_outcome::kUnknown,
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
    Reply(from, message.id, call_outcome::kNotRun, refusal_reason::kFenced);
  } else if (call->state == attempt_state::kEnded && call->answer) {
    link_.SendAnswer(from, call->answer);
  } else if (call->state == attempt_state::kEnded) {
    Reply(from, message.id, call_outcome::kUnknown, refusal_reason::kLinkLost);
  }
}

// A waiting call is dropped. One that runs is broken off if it may be repeated;
// the others are let to their end.
void target_internals::OnCancel(const call_cancel& message) {
  table_entry* call = table_.Find(message.id);
  if (call == nullptr) {
    return;
  }
  if (call->state == attempt_state::kWaiting) {
    queue_.Remove(message.id);
    Refuse(message.id, refusal_reason::kCancelled);
    return;
  }
  if (call->state == attempt_state::kRunning && !call->message->never_repeat) {
    upstream_.Cancel(message.id);
  }
}

void target_internals::Tick() {
  const instant now = clock_.Now();
  WatchView(now);
  if (watch_.ProbeDue(now)) {
    upstream_.Probe();
  }
  table_.Expire(now);
  Pump();
}

call_target::call_target(target_options options,
                         const clock_source& clock,
                         const view_source& view,
                         upstream_port& upstream,
                         answer_link& link,
                         call_listener& listener)
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
