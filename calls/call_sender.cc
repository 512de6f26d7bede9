// Sender side of a call: places it, retries it and reports its result.

#include "calls/pending_calls.h"
#include "calls/placement.h"
#include "calls/retry_budget.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Daemons that one call is sent to. More attempts would only keep the caller
// waiting.
constexpr std::uint32_t kMaxAttempts = 6;
// Time for which calls avoid a host that drains.
constexpr duration kDrainingAvoidTime = std::chrono::milliseconds(1500);
// Time for which calls avoid a host after an attempt there that has not run,
// for any other reason than draining or overload.
constexpr duration kFailureAvoidTime = std::chrono::milliseconds(400);
// If the link to a target takes longer to open, the call goes to another
// daemon.
constexpr duration kConnectTimeout = std::chrono::milliseconds(150);
// An attempt counts as silent after this many times the mean service time.
constexpr int kSilenceFactor = 4;
// No attempt starts with less time than this until the deadline, because it
// could not be answered in time.
constexpr duration kMinAttemptTime = std::chrono::milliseconds(20);
// Retry-after of a refused call, in percent of its objective: short enough that
// the caller's next request can still be answered in time.
constexpr unsigned kRetryAfterPercent = 10;
// Shortest retry-after of a refused call.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);

bool IsRetryable(refusal_reason reason) {
  return reason != refusal_reason::kDeadlinePassed;
}

// Returns true if the status counts as a failure of the instance, after which
// an idempotent call may be retried.
bool IsInstanceFailure(std::uint16_t status) {
  return status == 500 || status == 502 || status == 503;
}

}  // namespace

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
  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnLinkDown(const host_address& peer);
  void OnAnswer(const host_address& from, call_answer message);
  void SetRetryLimits(const retry_limits& limits) { budget_.SetLimits(limits); }
  void BeginDrain() { draining_ = true; }
  std::size_t size() const { return calls_.size(); }

 private:
  void StartAttempt(pending_call& call, refusal_reason last_refusal);
  void SendAttempt(pending_call& call, std::uint64_t incarnation);
  void ReleaseTarget(pending_call& call);
  void OnNotRun(pending_call& call,
                refusal_reason reason,
                bool reached_instance);
  void EndAttemptThatMayHaveRun(pending_call& call,
                                std::string_view event,
                                refusal_reason reason);
  void OnUnknownOutcome(pending_call& call, refusal_reason reason);
  void OnInstanceFailure(pending_call& call, call_result result);
  void OnSilentAttempt(pending_call& call);
  void OnDeadline(pending_call& call);
  bool TryAcquireRetry(const pending_call& call, retry_kind kind);
  void CancelAttempt(const pending_call& call);
  void Finish(pending_call& call, call_result result);
  void Refuse(pending_call& call, refusal_reason reason);
  duration DrawRetryAfter(const pending_call& call);
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
  bool draining_ = false;
};

void sender_internals::Begin(std::uint64_t handle,
                             const call_plan& plan,
                             call_request message) {
  const instant now = clock_.Now();
  pending_call& call = calls_.Add(handle);
  call.plan = plan;
  call.message = std::move(message);
  call.deadline = now + plan.deadline;
  call.objective = now + plan.objective;
  budget_.OnRequest(plan.service, now);
  StartAttempt(call, refusal_reason::kNoUpstream);
}

std::size_t sender_internals::DaemonCount() const {
  std::set<host_address> hosts{options_.address};
  for (const auto& [id, known] : view_.Current()->instances) {
    hosts.insert(known.registration.host);
  }
  return hosts.size();
}

void sender_internals::ReportEvent(const pending_call& call,
                                   std::string_view event,
                                   refusal_reason reason) const {
  listener_.OnCallEvent({.event = event,
                         .request = call.message.request_id,
                         .instance = call.instance,
                         .reason = reason,
                         .attempts = call.attempts,
                         .left = call.deadline - clock_.Now()});
}

// Chooses an instance, and sends the call to it once the link is up. Ends the
// call with `last_refusal` if no instance is left.
void sender_internals::StartAttempt(pending_call& call,
                                    refusal_reason last_refusal) {
  const instant now = clock_.Now();
  if (now + kMinAttemptTime >= call.deadline) {
    return Refuse(call, refusal_reason::kDeadlinePassed);
  }
  const auto view = view_.Current();
  const auto chosen = placement_.Choose(
      *view, call.plan,
      {.objective = call.objective - now, .deadline = call.deadline - now},
      call.tried_hosts, now);
  if (!chosen) {
    const bool all_full = last_refusal == refusal_reason::kNoUpstream &&
                          placement_.HasEligible(*view, call.plan);
    return Refuse(call, all_full ? refusal_reason::kOverloaded : last_refusal);
  }
  calls_.SetTarget(call, chosen->host);
  call.instance = chosen->instance;
  call.tried_hosts.insert(chosen->host);
  ++call.attempts;
  call.connect_deadline = now + kConnectTimeout;
  placement_.OnSent(call.target_host);
  call.life_cycle.Process(call_event::kTargetChosen);
  const auto incarnation = link_.PeerIncarnation(call.target_host);
  if (incarnation) {
    SendAttempt(call, *incarnation);
  } else {
    link_.Open(call.target_host);
  }
}

// Passes the attempt to the link. From then on it may have been sent.
void sender_internals::SendAttempt(pending_call& call,
                                   std::uint64_t incarnation) {
  const instant now = clock_.Now();
  if (now + kMinAttemptTime >= call.deadline) {
    return OnNotRun(call, refusal_reason::kDeadlinePassed, false);
  }
  if (!placement_.IsAllowed(*view_.Current(), call.plan, call.target_host)) {
    return OnNotRun(call, refusal_reason::kNoUpstream, false);
  }
  calls_.AssignSequence(call);
  call.target_incarnation = incarnation;
  call.silence_deadline =
      now +
      kSilenceFactor * placement_.MeanServiceTime(*view_.Current(), call.plan);
  call.life_cycle.Process(call_event::kAttemptSent);
  ReportEvent(call, "sent");
  link_.SendCall(call.target_host,
                 std::make_shared<const call_request>(
                     BuildAttempt(call, options_.incarnation, now)));
}

void sender_internals::ReleaseTarget(pending_call& call) {
  placement_.OnEnded(call.target_host);
  calls_.ReleaseTarget(call);
}

// Takes a retry from the budget, if the limits of the call allow one. The
// platform counts each request that reaches a further instance as a retry.
bool sender_internals::TryAcquireRetry(const pending_call& call,
                                       retry_kind kind) {
  return call.reached_instances < call.plan.max_attempts &&
         call.attempts < kMaxAttempts &&
         clock_.Now() + kMinAttemptTime < call.deadline &&
         budget_.TryAcquire(call.plan.service, kind, DaemonCount(),
                            clock_.Now());
}

// Handles an attempt that is proved not to have run. `reached_instance`: the
// instance itself rejected it, so a retry counts against the budget.
void sender_internals::OnNotRun(pending_call& call,
                                refusal_reason reason,
                                bool reached_instance) {
  ReleaseTarget(call);
  const instant now = clock_.Now();
  if (reason == refusal_reason::kLeaving) {
    placement_.Avoid(call.target_host, now + kDrainingAvoidTime);
  } else if (reason != refusal_reason::kOverloaded) {
    placement_.Avoid(call.target_host, now + kFailureAvoidTime);
  }
  if (reason == refusal_reason::kOverloaded) {
    placement_.OnFull(call.target_host, call.plan.route, now);
  }
  placement_.OnOutcome(call.target_host, reached_instance);
  call.life_cycle.Process(call_event::kAttemptEnded);
  ReportEvent(call, "refused by target", reason);
  if (reached_instance) {
    ++call.reached_instances;
    const retry_kind kind =
        call.may_have_run ? retry_kind::kRerun : retry_kind::kRejected;
    if (!TryAcquireRetry(call, kind)) {
      return Refuse(call, reason);
    }
  } else if (!IsRetryable(reason) || call.attempts >= kMaxAttempts) {
    return Refuse(call, reason);
  }
  StartAttempt(call, reason);
}

// Ends an attempt that the instance may have run and that counts as failed.
void sender_internals::EndAttemptThatMayHaveRun(pending_call& call,
                                                std::string_view event,
                                                refusal_reason reason) {
  ReleaseTarget(call);
  placement_.OnOutcome(call.target_host, true);
  call.may_have_run = true;
  ++call.reached_instances;
  call.life_cycle.Process(call_event::kAttemptEnded);
  ReportEvent(call, event, reason);
}

// Handles an attempt that may have run. Only an idempotent call may be retried.
void sender_internals::OnUnknownOutcome(pending_call& call,
                                        refusal_reason reason) {
  EndAttemptThatMayHaveRun(call, "outcome unknown", reason);
  if (call.plan.never_repeat || !TryAcquireRetry(call, retry_kind::kRerun)) {
    return Refuse(call, reason);
  }
  StartAttempt(call, reason);
}

// Handles an error response of the instance to an idempotent call. Keeps it as
// the result in case no further attempt succeeds.
void sender_internals::OnInstanceFailure(pending_call& call,
                                         call_result result) {
  call.failed_result = std::move(result);
  EndAttemptThatMayHaveRun(call, "error response from instance",
                           refusal_reason::kNone);
  if (!TryAcquireRetry(call, retry_kind::kRerun)) {
    return Finish(call, std::move(*call.failed_result));
  }
  StartAttempt(call, refusal_reason::kNoUpstream);
}

// Returns the delay after which a refused caller may retry: by then, a call
// that runs now should have ended. The random part keeps refused callers from
// retrying at the same time.
duration sender_internals::DrawRetryAfter(const pending_call& call) {
  const duration min_delay =
      std::max(kMinRetryAfter, call.plan.objective * kRetryAfterPercent / 100);
  return random_.Jitter(min_delay, 100);
}

// Ends a call that got no answer. The outcome is "not run" only if no attempt
// may have run. An error response of an instance is passed on instead, if there
// is one.
void sender_internals::Refuse(pending_call& call, refusal_reason reason) {
  if (call.failed_result) {
    return Finish(call, std::move(*call.failed_result));
  }
  const call_outcome outcome =
      call.may_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  Finish(call, {.outcome = outcome,
                .reason = reason,
                .retry_after = DrawRetryAfter(call)});
}

void sender_internals::Finish(pending_call& call, call_result result) {
  call.life_cycle.Process(call_event::kFinished);
  result.attempts = call.attempts;
  result.instance = call.instance;
  const std::uint64_t handle = call.handle;
  calls_.Remove(handle);
  sink_.OnResult(handle, std::move(result));
}

void sender_internals::CancelAttempt(const pending_call& call) {
  if (call.life_cycle.state() == call_state::kSent &&
      link_.PeerIncarnation(call.target_host)) {
    link_.SendCancel(call.target_host, {.id = {.origin = options_.incarnation,
                                               .sequence = call.sequence}});
  }
}

void sender_internals::Cancel(std::uint64_t handle) {
  pending_call* call = calls_.Find(handle);
  if (call == nullptr) {
    return;
  }
  ReportEvent(*call, "cancelled", refusal_reason::kCancelled);
  CancelAttempt(*call);
  ReleaseTarget(*call);
  calls_.Remove(handle);
}

void sender_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  for (const std::uint64_t handle : calls_.HandlesAt(peer)) {
    pending_call* found = calls_.Find(handle);
    if (found == nullptr) {
      continue;
    }
    pending_call& call = *found;
    if (call.life_cycle.state() == call_state::kConnecting) {
      SendAttempt(call, incarnation);
    } else if (call.life_cycle.state() == call_state::kAttaching &&
               incarnation == call.target_incarnation) {
      call.life_cycle.Process(call_event::kAttached);
      const duration left =
          std::max(call.deadline - clock_.Now(), duration::zero());
      link_.SendAttach(
          peer,
          {.id = {.origin = options_.incarnation, .sequence = call.sequence},
           .deadline_ms = static_cast<std::uint32_t>(left.count() / 1000)});
    } else if (call.life_cycle.state() == call_state::kAttaching) {
      OnUnknownOutcome(call, refusal_reason::kWrongIncarnation);
    }
  }
}

void sender_internals::OnLinkDown(const host_address& peer) {
  for (const std::uint64_t handle : calls_.HandlesAt(peer)) {
    pending_call* found = calls_.Find(handle);
    if (found == nullptr) {
      continue;
    }
    pending_call& call = *found;
    const call_state state = call.life_cycle.state();
    const bool resend_without_attach =
        state == call_state::kSent && !options_.attach;
    if (state == call_state::kConnecting || resend_without_attach) {
      OnNotRun(call, refusal_reason::kLinkLost, false);
    } else if (state == call_state::kSent && !call.plan.never_repeat) {
      OnUnknownOutcome(call, refusal_reason::kLinkLost);
    } else {
      call.life_cycle.Process(call_event::kLinkLost);
      call.next_reconnect = clock_.Now() + options_.reconnect_delay;
    }
  }
}

void sender_internals::OnAnswer(const host_address& from, call_answer message) {
  pending_call* found = message.id.origin == options_.incarnation
                            ? calls_.FindBySequence(message.id.sequence)
                            : nullptr;
  if (found == nullptr) {
    placement_.OnLoad(from, message.load, "", clock_.Now());
    return;
  }
  pending_call& call = *found;
  placement_.OnLoad(from, message.load, call.plan.route, clock_.Now());
  if (call.target_host != from) {
    return;
  }
  if (message.outcome == call_outcome::kNotRun) {
    return OnNotRun(call, message.reason, message.reached_instance);
  }
  if (message.outcome == call_outcome::kUnknown) {
    return OnUnknownOutcome(call, message.reason);
  }
  call_result result{.outcome = call_outcome::kAnswer,
                     .status = message.status,
                     .headers = std::move(message.headers),
                     .body = std::move(message.body)};
  if (IsInstanceFailure(message.status) && !call.plan.never_repeat) {
    return OnInstanceFailure(call, std::move(result));
  }
  placement_.OnOutcome(call.target_host, IsInstanceFailure(message.status));
  ReleaseTarget(call);
  Finish(call, std::move(result));
}

// Moves an idempotent call whose attempt takes far longer than the mean service
// time to another instance, if enough time is left for that. Otherwise the
// attempt continues.
void sender_internals::OnSilentAttempt(pending_call& call) {
  const instant now = clock_.Now();
  call.silence_deadline = call.deadline;
  const auto view = view_.Current();
  const duration mean_service_time =
      placement_.MeanServiceTime(*view, call.plan);
  const duration left = call.deadline - now;
  const bool has_time = left >= mean_service_time * kSilenceFactor / 2;
  const bool has_target =
      placement_
          .Choose(*view, call.plan, {.objective = left, .deadline = left},
                  call.tried_hosts, now)
          .has_value();
  const bool may_retry = call.reached_instances + 1 < call.plan.max_attempts &&
                         call.attempts < kMaxAttempts;
  if (draining_ || !has_time || !has_target || !may_retry ||
      !budget_.TryAcquire(call.plan.service, retry_kind::kRerun, DaemonCount(),
                          now)) {
    return;
  }
  CancelAttempt(call);
  EndAttemptThatMayHaveRun(call, "no answer in time, trying another instance",
                           refusal_reason::kTimeout);
  StartAttempt(call, refusal_reason::kTimeout);
}

void sender_internals::OnDeadline(pending_call& call) {
  const call_state state = call.life_cycle.state();
  const bool never_sent =
      state == call_state::kConnecting || state == call_state::kChoosing;
  CancelAttempt(call);
  ReleaseTarget(call);
  call.may_have_run |= !never_sent;
  ReportEvent(call, "deadline passed", refusal_reason::kTimeout);
  Refuse(call, refusal_reason::kTimeout);
}

void sender_internals::Tick() {
  const instant now = clock_.Now();
  for (const std::uint64_t handle : calls_.Handles()) {
    pending_call* found = calls_.Find(handle);
    if (found == nullptr) {
      continue;
    }
    pending_call& call = *found;
    const call_state state = call.life_cycle.state();
    if (now >= call.deadline) {
      OnDeadline(call);
    } else if (state == call_state::kConnecting &&
               now >= call.connect_deadline) {
      OnNotRun(call, refusal_reason::kLinkLost, false);
    } else if (state == call_state::kAttaching && now >= call.next_reconnect) {
      call.next_reconnect = now + options_.reconnect_delay;
      link_.Open(call.target_host);
    } else if (state == call_state::kSent && !call.plan.never_repeat &&
               now >= call.silence_deadline) {
      OnSilentAttempt(call);
    }
  }
}

call_sender::call_sender(sender_options options,
                         const clock_source& clock,
                         random_source& random,
                         const view_source& view,
                         call_link& link,
                         call_sink& sink,
                         call_listener& listener)
    : internals_(std::make_unique<sender_internals>(std::move(options),
                                                    clock,
                                                    random,
                                                    view,
                                                    link,
                                                    sink,
                                                    listener)) {}
call_sender::~call_sender() = default;
void call_sender::Begin(std::uint64_t call,
                        const call_plan& plan,
                        call_request message) {
  internals_->Begin(call, plan, std::move(message));
}
void call_sender::Cancel(std::uint64_t call) {
  internals_->Cancel(call);
}
void call_sender::Tick() {
  internals_->Tick();
}
void call_sender::OnLinkUp(const host_address& peer,
                           std::uint64_t incarnation) {
  internals_->OnLinkUp(peer, incarnation);
}
void call_sender::OnLinkDown(const host_address& peer) {
  internals_->OnLinkDown(peer);
}
void call_sender::OnAnswer(const host_address& from, call_answer message) {
  internals_->OnAnswer(from, std::move(message));
}
void call_sender::SetRetryLimits(const retry_limits& limits) {
  internals_->SetRetryLimits(limits);
}
void call_sender::BeginDrain() {
  internals_->BeginDrain();
}
std::size_t call_sender::in_flight() const {
  return internals_->size();
}

}  // namespace parsleyyard
