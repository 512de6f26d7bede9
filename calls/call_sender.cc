// Sender side of a call: places it, retries it and reports its result.

#include "calls/sender_internals.h"

#include <algorithm>
#include <set>

namespace parsleyyard {

namespace {

// Returns true if the status counts as a failure of the instance, after which
// an idempotent call may be retried.
bool IsInstanceFailure(std::uint16_t status) {
  return status == 500 || status == 502 || status == 503;
}

// Returns true for the status of a final HTTP response.
bool IsFinalStatus(std::uint16_t status) {
  return status >= 200 && status < 600;
}

}  // namespace

void sender_internals::Begin(std::uint64_t handle,
                             const call_plan& plan,
                             call_request message) {
  const instant now = clock_.Now();
  pending_call& call = calls_.Add(handle);
  call.plan = plan;
  call.message = std::move(message);
  call.deadline = now + plan.deadline;
  call.objective = now + plan.objective;
  LimitToEnd(call);
  call.recall_waiting_at =
      call.deadline - std::min(kRecallLead, (call.deadline - now) / 4);
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
                         .instance = call.current.instance,
                         .reason = reason,
                         .attempts = call.attempts,
                         .left = call.deadline - clock_.Now()});
}

// Chooses an instance, and sends the call to it once the link is up. Ends the
// call with `last_refusal` if no instance is left.
void sender_internals::StartAttempt(pending_call& call,
                                    refusal_reason last_refusal) {
  const instant now = clock_.Now();
  if (now >= call.recall_at) {
    return Refuse(call, refusal_reason::kLeaving);
  }
  if (call.recalled || now + kMinAttemptTime >= call.deadline) {
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
  call_attempt& attempt = call.current;
  calls_.SetTarget(call, chosen->host);
  attempt.instance = chosen->instance;
  attempt.leaves_region = chosen->leaves_region;
  call.tried_hosts.insert(chosen->host);
  ++call.attempts;
  attempt.connect_deadline = now + kConnectTimeout;
  placement_.OnSent(attempt.target_host);
  attempt.life_cycle.Process(call_event::kTargetChosen);
  const auto incarnation = link_.PeerIncarnation(attempt.target_host);
  if (incarnation) {
    SendAttempt(call, *incarnation);
  } else {
    link_.Open(attempt.target_host);
  }
}

// Passes the attempt to the link. From then on it may have been sent.
void sender_internals::SendAttempt(pending_call& call,
                                   std::uint64_t incarnation) {
  const instant now = clock_.Now();
  if (now + kMinAttemptTime >= call.deadline) {
    return OnNotRun(call, refusal_reason::kDeadlinePassed, false);
  }
  call_attempt& attempt = call.current;
  if (!placement_.IsAllowed(*view_.Current(), call.plan, attempt.target_host)) {
    return OnNotRun(call, refusal_reason::kNoUpstream, false);
  }
  calls_.AssignSequence(call);
  attempt.target_incarnation = incarnation;
  attempt.sent_at = now;
  attempt.silence_deadline =
      now +
      kSilenceFactor * placement_.MeanServiceTime(*view_.Current(), call.plan);
  attempt.life_cycle.Process(call_event::kAttemptSent);
  ReportEvent(call, "sent");
  link_.SendCall(attempt.target_host,
                 std::make_shared<const call_request>(
                     BuildAttempt(call, options_.incarnation, now)));
}

void sender_internals::ReleaseTarget(const pending_call& call,
                                     const call_attempt& attempt) {
  placement_.OnEnded(attempt.target_host);
  calls_.ReleaseTarget(call, attempt);
}

void sender_internals::CancelAttempt(const pending_call& call,
                                     const call_attempt& attempt) {
  const call_state state = attempt.life_cycle.state();
  if (state == call_state::kSent &&
      link_.PeerIncarnation(attempt.target_host)) {
    link_.SendCancel(
        attempt.target_host,
        {.id = {.origin = options_.incarnation, .sequence = attempt.sequence}});
  } else if (state == call_state::kAttaching) {
    owed_cancels_.push_back({.host = attempt.target_host,
                             .incarnation = attempt.target_incarnation,
                             .sequence = attempt.sequence,
                             .deadline = call.deadline});
  }
}

// Cancels the attempts that were given up while the link to the peer was lost.
void sender_internals::SendOwedCancels(const host_address& peer,
                                       std::uint64_t incarnation) {
  for (const owed_cancel& owed : owed_cancels_) {
    if (owed.host == peer && owed.incarnation == incarnation) {
      link_.SendCancel(peer, {.id = {.origin = options_.incarnation,
                                     .sequence = owed.sequence}});
    }
  }
  std::erase_if(owed_cancels_,
                [&](const owed_cancel& owed) { return owed.host == peer; });
}

// Cancels the second attempt in progress, if there is one.
void sender_internals::EndOther(pending_call& call) {
  if (call.other) {
    CancelAttempt(call, *call.other);
    ReleaseTarget(call, *call.other);
    call.other.reset();
  }
}

void sender_internals::Cancel(std::uint64_t handle) {
  pending_call* call = calls_.Find(handle);
  if (call == nullptr) {
    return;
  }
  ReportEvent(*call, "cancelled", refusal_reason::kCancelled);
  EndOther(*call);
  CancelAttempt(*call, call->current);
  ReleaseTarget(*call, call->current);
  calls_.Remove(handle);
}

// ---------------------------------------------------------------------------
// Stop of the daemon
// ---------------------------------------------------------------------------

void sender_internals::EndBy(instant end) {
  if (end == end_at_) {
    return;
  }
  end_at_ = end;
  for (const std::uint64_t handle : calls_.Handles()) {
    LimitToEnd(*calls_.Find(handle));
  }
}

// Makes the end of the daemon the deadline of a call that has a later one, and
// sets the time from which it could not run before that end.
void sender_internals::LimitToEnd(pending_call& call) {
  if (call.deadline <= end_at_) {
    return;
  }
  call.deadline = end_at_;
  call.objective = std::min(call.objective, end_at_);
  call.recall_at =
      end_at_ - std::max(kMinRecallTime, placement_.MeanServiceTime(
                                             *view_.Current(), call.plan));
}

// Asks the targets to refuse the attempts that have not started. Their answers
// end the call, or its deadline does if one is lost.
void sender_internals::Recall(pending_call& call) {
  call.recalled = true;
  ReportEvent(call, "recalled",
              clock_.Now() >= call.recall_at ? refusal_reason::kLeaving
                                             : refusal_reason::kDeadlinePassed);
  RecallAttempt(call.current);
  if (call.other) {
    RecallAttempt(*call.other);
  }
}

void sender_internals::RecallAttempt(const call_attempt& attempt) {
  if (attempt.life_cycle.state() == call_state::kSent &&
      link_.PeerIncarnation(attempt.target_host)) {
    link_.SendCancel(
        attempt.target_host,
        {.id = {.origin = options_.incarnation, .sequence = attempt.sequence},
         .unless_written = true});
  }
}

// ---------------------------------------------------------------------------
// Events
// ---------------------------------------------------------------------------

void sender_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  SendOwedCancels(peer, incarnation);
  for (const std::uint64_t handle : calls_.HandlesAt(peer)) {
    pending_call* found = calls_.Find(handle);
    if (found == nullptr || !SelectAttempt(*found, peer)) {
      continue;
    }
    pending_call& call = *found;
    call_attempt& attempt = call.current;
    if (attempt.life_cycle.state() == call_state::kConnecting) {
      SendAttempt(call, incarnation);
    } else if (attempt.life_cycle.state() == call_state::kAttaching &&
               incarnation == attempt.target_incarnation) {
      attempt.life_cycle.Process(call_event::kAttached);
      const duration left =
          std::max(call.deadline - clock_.Now(), duration::zero());
      link_.SendAttach(
          peer,
          {.id = {.origin = options_.incarnation, .sequence = attempt.sequence},
           .deadline_ms = static_cast<std::uint32_t>(left.count() / 1000)});
      if (call.recalled) {
        RecallAttempt(attempt);
      }
    } else if (attempt.life_cycle.state() == call_state::kAttaching) {
      OnUnknownOutcome(call, refusal_reason::kWrongIncarnation);
    }
  }
}

void sender_internals::OnPeerStops(const host_address& peer) {
  placement_.OnDaemonStops(peer);
  closing_peers_.insert(peer);
  for (const std::uint64_t handle : calls_.HandlesAt(peer)) {
    pending_call* call = calls_.Find(handle);
    if (call != nullptr && SelectAttempt(*call, peer) &&
        call->current.life_cycle.state() == call_state::kConnecting) {
      OnNotRun(*call, refusal_reason::kLeaving, false);
    }
  }
}

void sender_internals::OnLinkDown(const host_address& peer) {
  placement_.OnLinkDown(peer);
  for (const std::uint64_t handle : calls_.HandlesAt(peer)) {
    pending_call* found = calls_.Find(handle);
    if (found == nullptr || !SelectAttempt(*found, peer)) {
      continue;
    }
    const call_state state = found->current.life_cycle.state();
    const bool resend_without_attach =
        state == call_state::kSent && !options_.attach;
    if (state == call_state::kConnecting || resend_without_attach) {
      OnNotRun(*found, refusal_reason::kLinkLost, false);
    } else {
      OnLostLink(*found);
    }
  }
  closing_peers_.erase(peer);
}

void sender_internals::OnUndelivered(const host_address& to,
                                     const call_id& id) {
  pending_call* call = calls_.FindBySequence(id.sequence);
  if (call == nullptr || !SelectAttempt(*call, id.sequence) ||
      call->current.target_host != to) {
    return;
  }
  ReleaseTarget(*call, call->current);
  call->current.life_cycle.Process(call_event::kAttemptEnded);
  ReportEvent(*call, "not sent: over a limit of messages",
              refusal_reason::kOverBound);
  Refuse(*call, refusal_reason::kOverBound);
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
  if (!SelectAttempt(call, message.id.sequence) ||
      call.current.target_host != from) {
    return;
  }
  if (call.current.leaves_region && message.held_us > 0) {
    placement_.OnRegionRoundTrip(
        clock_.Now() - call.current.sent_at - duration(message.held_us),
        clock_.Now());
  }
  if (message.outcome == call_outcome::kNotRun) {
    return OnNotRun(call, message.reason, message.reached_instance);
  }
  if (message.outcome == call_outcome::kUnknown) {
    return OnUnknownOutcome(call, message.reason);
  }
  if (!IsFinalStatus(message.status)) {
    return OnUnknownOutcome(call, refusal_reason::kBadAnswer);
  }
  call_result result{.outcome = call_outcome::kAnswer,
                     .status = message.status,
                     .headers = std::move(message.headers),
                     .body = std::move(message.body)};
  if (IsInstanceFailure(message.status) && !call.plan.never_repeat) {
    return OnInstanceFailure(call, std::move(result));
  }
  placement_.OnOutcome(from, IsInstanceFailure(message.status));
  ReleaseTarget(call, call.current);
  EndOther(call);
  Finish(call, std::move(result));
}

void sender_internals::OnLoadUpdate(const host_address& from,
                                    const load_update& message) {
  placement_.OnLoadUpdate(from, message.load, clock_.Now());
}

void sender_internals::TickAttempt(pending_call& call, instant now) {
  call_attempt& attempt = call.current;
  const call_state state = attempt.life_cycle.state();
  if (state == call_state::kConnecting &&
      (call.recalled ||
       now >= std::min(attempt.connect_deadline, call.recall_at))) {
    OnNotRun(call, refusal_reason::kLinkLost, false);
  } else if (state == call_state::kAttaching &&
             now >= attempt.attach_deadline) {
    OnUnknownOutcome(call, refusal_reason::kLinkLost);
  } else if (state == call_state::kAttaching && now >= attempt.next_reconnect) {
    attempt.next_reconnect = now + options_.reconnect_delay;
    link_.Open(attempt.target_host);
  } else if (state == call_state::kSent && !call.plan.never_repeat &&
             !call.other && now >= attempt.silence_deadline) {
    OnSlowAttempt(call);
  }
}

void sender_internals::Tick() {
  const instant now = clock_.Now();
  std::erase_if(owed_cancels_, [now](const owed_cancel& owed) {
    return now >= owed.deadline;
  });
  for (const std::uint64_t handle : calls_.Handles()) {
    pending_call* call = calls_.Find(handle);
    if (call != nullptr && now >= call->deadline) {
      OnDeadline(*call);
      continue;
    }
    if (call != nullptr && !call->recalled &&
        now >= std::min(call->recall_at, call->recall_waiting_at)) {
      Recall(*call);
    }
    if (call != nullptr) {
      TickAttempt(*call, now);
      call = calls_.Find(handle);
    }
    if (call != nullptr && call->other) {
      std::swap(call->current, *call->other);
      TickAttempt(*call, now);
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
void call_sender::EndBy(instant end) {
  internals_->EndBy(end);
}
void call_sender::Tick() {
  internals_->Tick();
}
void call_sender::OnLinkUp(const host_address& peer,
                           std::uint64_t incarnation) {
  internals_->OnLinkUp(peer, incarnation);
}
void call_sender::OnPeerStops(const host_address& peer) {
  internals_->OnPeerStops(peer);
}
void call_sender::OnLinkDown(const host_address& peer) {
  internals_->OnLinkDown(peer);
}
void call_sender::OnUndelivered(const host_address& to, const call_id& id) {
  internals_->OnUndelivered(to, id);
}
void call_sender::OnAnswer(const host_address& from, call_answer message) {
  internals_->OnAnswer(from, std::move(message));
}
void call_sender::OnLoadUpdate(const host_address& from,
                               const load_update& message) {
  internals_->OnLoadUpdate(from, message);
}
void call_sender::SetRetryLimits(const retry_limits& limits) {
  internals_->SetRetryLimits(limits);
}
std::size_t call_sender::in_flight() const {
  return internals_->size();
}

}  // namespace parsleyyard
