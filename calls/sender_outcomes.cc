// What follows when an attempt of a call has ended: a retry, a refusal or the
// response.

#include "calls/sender_internals.h"

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
// Retry-after of a refused call, in percent of its objective: short enough that
// the caller's next request can still be answered in time.
constexpr unsigned kRetryAfterPercent = 10;
// Shortest retry-after of a refused call.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);

bool IsRetryable(refusal_reason reason) {
  return reason != refusal_reason::kDeadlinePassed;
}

}  // namespace

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

}  // namespace parsleyyard
