// What follows when an attempt of a call has ended: a retry, a refusal or the
// response.

#include "calls/sender_internals.h"

#include <algorithm>
#include <utility>

namespace parsleyyard {

namespace {

// Daemons that one call is sent to. More attempts would only keep the caller
// waiting.
constexpr std::uint32_t kMaxAttempts = 6;
// Targets that may refuse one call for lack of room, if they state the speed of
// their instances: then they also push their load, so that a third one is
// hardly less full than two that were chosen by it. Without pushes, a further
// target is worth its time, since the sender knows little of it.
constexpr std::uint32_t kMaxOverloadRefusals = 2;
// Time for which calls avoid a host whose instance leaves. By then, the view
// lists the instance as draining, or another one in its place.
constexpr duration kInstanceLeavingAvoidTime = std::chrono::milliseconds(1500);
// Time for which calls avoid a host after an attempt there that has not run,
// for any other reason than draining or overload.
constexpr duration kFailureAvoidTime = std::chrono::milliseconds(400);
// Retry-after of a refused call, in percent of its objective: short enough that
// the caller's next request can still be answered in time.
constexpr unsigned kRetryAfterPercent = 10;
// Shortest retry-after of a refused call.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
// Longest time until expected capacity that a retry-after states, before its
// random part. Callers don't wait longer than a third of their time.
constexpr duration kMaxRetryAfter = std::chrono::seconds(2);

bool IsRetryable(refusal_reason reason) {
  return reason != refusal_reason::kDeadlinePassed;
}

bool WasSent(const call_attempt& attempt) {
  const call_state state = attempt.life_cycle.state();
  return state == call_state::kSent || state == call_state::kAttaching;
}

// Number of instances that the call may have reached, but for its current
// attempt.
std::uint32_t ReachedInstances(const pending_call& call) {
  return call.reached_instances + (call.other ? 1 : 0);
}

}  // namespace

// Takes a retry from the budget, if the limits of the call allow one. The
// platform counts each request that reaches a further instance as a retry.
bool sender_internals::TryAcquireRetry(const pending_call& call,
                                       retry_kind kind) {
  return ReachedInstances(call) < call.plan.max_attempts &&
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
  const host_address host = call.current.target_host;
  const instant now = clock_.Now();
  ReleaseTarget(call, call.current);
  if (reason == refusal_reason::kLeaving && placement_.HasAnnouncedStop(host)) {
    placement_.OnDaemonStops(host);
  } else if (reason == refusal_reason::kLeaving) {
    placement_.Avoid(host, now + kInstanceLeavingAvoidTime);
  } else if (reason == refusal_reason::kOverloaded) {
    placement_.OnFull(host, call.plan.route, now);
    call.overload_refusals += placement_.StatesSpeed(host) ? 1 : 0;
  } else if (!call.recalled) {
    placement_.Avoid(host, now + kFailureAvoidTime);
  }
  placement_.OnOutcome(host, reached_instance);
  call.current.life_cycle.Process(call_event::kAttemptEnded);
  ReportEvent(call, "refused by target", reason);
  call.reached_instances += reached_instance ? 1 : 0;
  if (call.other && !call.other->slow) {
    return ContinueOther(call);
  }
  if (reached_instance) {
    const retry_kind kind = call.may_have_run || call.other
                                ? retry_kind::kRerun
                                : retry_kind::kRejected;
    if (!TryAcquireRetry(call, kind)) {
      return Refuse(call, reason);
    }
  } else if (!IsRetryable(reason) || call.attempts >= kMaxAttempts ||
             call.overload_refusals >= kMaxOverloadRefusals) {
    return Refuse(call, reason);
  }
  StartAttempt(call, reason);
}

// Ends an attempt that the instance may have run and that counts as failed.
void sender_internals::EndAttemptThatMayHaveRun(pending_call& call,
                                                std::string_view event,
                                                refusal_reason reason) {
  ReleaseTarget(call, call.current);
  placement_.OnOutcome(call.current.target_host, true);
  call.may_have_run = true;
  ++call.reached_instances;
  call.current.life_cycle.Process(call_event::kAttemptEnded);
  ReportEvent(call, event, reason);
}

// Handles an attempt that may have run. Only an idempotent call may be retried.
void sender_internals::OnUnknownOutcome(pending_call& call,
                                        refusal_reason reason) {
  EndAttemptThatMayHaveRun(call, "outcome unknown", reason);
  if (call.other && !call.other->slow) {
    return ContinueOther(call);
  }
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
  if (call.other && !call.other->slow) {
    return ContinueOther(call);
  }
  if (!TryAcquireRetry(call, retry_kind::kRerun)) {
    return Refuse(call, refusal_reason::kNone);
  }
  StartAttempt(call, refusal_reason::kNoUpstream);
}

// Returns the delay after which a refused caller may retry: by then, a call
// that runs now should have ended, and instances that were full are expected to
// have room. The random part keeps refused callers from retrying at the same
// time.
duration sender_internals::DrawRetryAfter(const pending_call& call,
                                          refusal_reason reason) {
  duration min_delay =
      std::max(kMinRetryAfter, call.plan.objective * kRetryAfterPercent / 100);
  if (reason == refusal_reason::kOverloaded) {
    const duration until_room =
        placement_.TimeUntilRoom(*view_.Current(), call.plan, clock_.Now());
    min_delay = std::max(min_delay, std::min(until_room, kMaxRetryAfter));
  }
  return random_.Jitter(min_delay, 100);
}

// Waits for the other attempt alone, after the current one has ended.
void sender_internals::ContinueOther(pending_call& call) {
  call.current = std::move(*call.other);
  call.other.reset();
}

// Ends a call that got no answer, unless another attempt is in progress. The
// outcome is "not run" only if no attempt may have run. An error response of an
// instance is passed on instead, if there is one.
void sender_internals::Refuse(pending_call& call, refusal_reason reason) {
  if (call.other) {
    return ContinueOther(call);
  }
  if (call.failed_result) {
    return Finish(call, std::move(*call.failed_result));
  }
  const call_outcome outcome =
      call.may_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  Finish(call, {.outcome = outcome,
                .reason = reason,
                .retry_after = DrawRetryAfter(call, reason)});
}

void sender_internals::Finish(pending_call& call, call_result result) {
  call.current.life_cycle.Process(call_event::kFinished);
  result.attempts = call.attempts;
  result.instance = call.current.instance;
  const std::uint64_t handle = call.handle;
  calls_.Remove(handle);
  sink_.OnResult(handle, std::move(result));
}

// Begins another attempt of an idempotent call beside the current one, which
// goes on: the other instance may refuse or be slower. Does nothing if the call
// has two attempts already, or if its limits or the retry budget don't allow
// another one.
void sender_internals::TryStartBeside(pending_call& call,
                                      std::string_view event,
                                      refusal_reason reason) {
  const instant now = clock_.Now();
  const duration left = call.deadline - now;
  const bool may_retry =
      !call.other && call.reached_instances + 1 < call.plan.max_attempts &&
      call.attempts < kMaxAttempts &&
      call.overload_refusals < kMaxOverloadRefusals && !call.recalled &&
      left > kMinAttemptTime && now < call.recall_at;
  if (!may_retry ||
      !placement_.Choose(*view_.Current(), call.plan,
                         {.objective = left, .deadline = left},
                         call.tried_hosts, now) ||
      !budget_.TryAcquire(call.plan.service, retry_kind::kRerun, DaemonCount(),
                          now)) {
    return;
  }
  placement_.OnOutcome(call.current.target_host, true);
  ReportEvent(call, event, reason);
  call.current.slow = true;
  call.current.silence_deadline = call.deadline;
  call.other = std::exchange(call.current, call_attempt());
  StartAttempt(call, reason);
}

// Tries another instance for an idempotent call whose attempt takes far longer
// than the mean service time, if enough time is left for that.
void sender_internals::OnSlowAttempt(pending_call& call) {
  call.current.silence_deadline = call.deadline;
  const duration mean_service_time =
      placement_.MeanServiceTime(*view_.Current(), call.plan);
  if (call.deadline - clock_.Now() >= mean_service_time * kSilenceFactor / 2) {
    TryStartBeside(call, "no answer in time, trying another instance too",
                   refusal_reason::kTimeout);
  }
}

// Attaches to the attempt over a new link, since its instance may be at work,
// unless its daemon has ended.
// An idempotent call does not wait long for that, and tries another instance
// meanwhile.
void sender_internals::OnLostLink(pending_call& call) {
  const instant now = clock_.Now();
  call_attempt& attempt = call.current;
  attempt.next_reconnect = now + options_.reconnect_delay;
  if (closing_peers_.contains(attempt.target_host)) {
    return OnUnknownOutcome(call, refusal_reason::kLinkLost);
  }
  if (!attempt.life_cycle.Process(call_event::kLinkLost)) {
    return;
  }
  attempt.attach_deadline =
      call.plan.never_repeat ? call.deadline : now + kConnectTimeout;
  if (!call.plan.never_repeat) {
    TryStartBeside(call, "link lost, trying another instance too",
                   refusal_reason::kLinkLost);
  }
}

void sender_internals::OnDeadline(pending_call& call) {
  call.may_have_run |=
      WasSent(call.current) || (call.other && WasSent(*call.other));
  const bool ended_by_stop = call.recall_at != instant::max();
  const refusal_reason reason =
      ended_by_stop ? refusal_reason::kLeaving : refusal_reason::kTimeout;
  ReportEvent(call, ended_by_stop ? "daemon stops" : "deadline passed", reason);
  EndOther(call);
  CancelAttempt(call, call.current);
  ReleaseTarget(call, call.current);
  Refuse(call, reason);
}

}  // namespace parsleyyard
