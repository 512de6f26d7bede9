// The side of a call that routes it, retries it and reports its outcome.

#include "calls/call_life_cycle.h"
#include "calls/placement.h"
#include "calls/retry_budget.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Daemons that one call is offered to; more would keep its caller waiting.
constexpr std::uint32_t kMaxTries = 6;
constexpr duration kAvoidLeaving = std::chrono::milliseconds(1500);
constexpr duration kAvoidBroken = std::chrono::milliseconds(400);
// A call whose link takes longer to come up is offered to another daemon.
constexpr duration kLongestConnect = std::chrono::milliseconds(150);
// Times the usual service time after which a try counts as silent.
constexpr int kSilentUsual = 4;
// Shortest time in which a try can be answered.
constexpr duration kShortestTry = std::chrono::milliseconds(20);
// A refused caller is asked to come back after this part of the objective, so
// that its next try can still be answered in time.
constexpr unsigned kComeBackPercent = 10;
constexpr duration kSoonestReturn = std::chrono::milliseconds(50);

bool IsRetryable(refusal_reason reason) {
  return reason != refusal_reason::kDeadlinePassed;
}

bool IsFailure(std::uint16_t status) {
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
        choice_(options_, random),
        budget_(options_.retries) {}

  void Begin(std::uint64_t handle, const call_plan& plan, call_request message);
  void Cancel(std::uint64_t handle);
  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnLinkDown(const host_address& peer);
  void OnAnswer(const host_address& from, call_answer message);
  void SetRetryLimits(const retry_limits& limits) { budget_.SetLimits(limits); }
  std::size_t size() const { return calls_.size(); }

 private:
  struct pending_call {
    std::uint64_t handle = 0;
    call_plan plan;
    call_request message;
    call_life_cycle life;
    instant deadline{};
    instant objective{};
    std::set<host_address> tried;
    std::uint32_t attempts = 0;  // daemons that it was offered to
    std::uint32_t arrivals = 0;  // instances that it may have reached
    host_address target;
    std::string instance;
    std::uint64_t target_incarnation = 0;
    std::uint64_t sequence = 0;  // of the current try; 0 before the first
    instant connect_by{};        // another daemon is tried then
    instant silent_at{};         // a repeatable call moves on then
    instant next_open{};         // next reconnect while attaching
    bool may_have_run = false;   // some try ended uncertain
    std::optional<call_result> failure;  // the instance's own, kept
  };

  void TryNext(pending_call& call, refusal_reason last_refusal);
  void HandOver(pending_call& call, std::uint64_t incarnation);
  call_request MakeTry(const pending_call& call, instant now) const;
  void LeaveTarget(pending_call& call);
  void OnNotRun(pending_call& call, refusal_reason reason, bool arrived);
  void OnUncertain(pending_call& call, refusal_reason reason);
  void OnFailureOfInstance(pending_call& call, call_result failed);
  void OnSilence(pending_call& call);
  void OnDeadline(pending_call& call);
  bool MayRepeat(const pending_call& call, retry_kind kind);
  void CancelTry(const pending_call& call);
  void Finish(pending_call& call, call_result result);
  void Refuse(pending_call& call, refusal_reason reason);
  duration ComeBack(const pending_call& call);
  std::size_t Daemons() const;
  void Report(const pending_call& call,
              std::string_view what,
              refusal_reason reason = refusal_reason::kNone) const;
  std::vector<std::uint64_t> CallsTo(const host_address& peer) const;

  sender_options options_;
  const clock_source& clock_;
  random_source& random_;
  const view_source& view_;
  call_link& link_;
  call_sink& sink_;
  call_listener& listener_;
  placement choice_;
  retry_budget budget_;
  std::unordered_map<std::uint64_t, pending_call> calls_;  // by handle
  std::unordered_map<std::uint64_t, std::uint64_t>
      by_sequence_;  // try to handle
  std::unordered_map<host_address, std::set<std::uint64_t>> by_target_;
  std::uint64_t last_sequence_ = 0;
};

void sender_internals::Begin(std::uint64_t handle,
                             const call_plan& plan,
                             call_request message) {
  const instant now = clock_.Now();
  pending_call& call = calls_[handle];
  call.handle = handle;
  call.plan = plan;
  call.message = std::move(message);
  call.deadline = now + plan.deadline;
  call.objective = now + plan.objective;
  budget_.OnRequest(plan.service, now);
  TryNext(call, refusal_reason::kNoUpstream);
}

std::size_t sender_internals::Daemons() const {
  std::set<host_address> hosts{options_.address};
  for (const auto& [id, known] : view_.Current()->instances) {
    hosts.insert(known.registration.host);
  }
  return hosts.size();
}

void sender_internals::Report(const pending_call& call,
                              std::string_view what,
                              refusal_reason reason) const {
  listener_.OnCallEvent({.event = what,
                         .request = call.message.request_id,
                         .instance = call.instance,
                         .reason = reason,
                         .attempts = call.attempts,
                         .left = call.deadline - clock_.Now()});
}

// Chooses an instance for a call that may be sent.
void sender_internals::TryNext(pending_call& call,
                               refusal_reason last_refusal) {
  const instant now = clock_.Now();
  if (now + kShortestTry >= call.deadline) {
    return Refuse(call, refusal_reason::kDeadlinePassed);
  }
  const auto target = choice_.Choose(*view_.Current(), call.plan,
                                     call.objective - now, call.tried, now);
  if (!target) {
    return Refuse(call, last_refusal);
  }
  call.target = target->host;
  call.instance = target->instance;
  call.tried.insert(target->host);
  ++call.attempts;
  call.connect_by = now + kLongestConnect;
  by_target_[call.target].insert(call.handle);
  choice_.OnSent(call.target);
  call.life.Process(call_event::kTargetChosen);
  const auto incarnation = link_.PeerIncarnation(call.target);
  if (incarnation) {
    HandOver(call, *incarnation);
  } else {
    link_.Open(call.target);
  }
}

call_request sender_internals::MakeTry(const pending_call& call,
                                       instant now) const {
  call_request message = call.message;
  message.id = {.origin = options_.incarnation, .sequence = call.sequence};
  message.target_incarnation = call.target_incarnation;
  message.instance = call.instance;
  message.service = call.plan.service;
  message.route = call.plan.route;
  message.priority = call.plan.priority;
  message.never_repeat = call.plan.never_repeat;
  message.deadline_ms =
      static_cast<std::uint32_t>((call.deadline - now).count() / 1000);
  message.objective_ms = static_cast<std::uint32_t>(
      std::max<duration::rep>(0, (call.objective - now).count() / 1000));
  return message;
}

// Gives the try to the link. From here on it may have been sent.
void sender_internals::HandOver(pending_call& call, std::uint64_t incarnation) {
  const instant now = clock_.Now();
  if (now + kShortestTry >= call.deadline) {
    return OnNotRun(call, refusal_reason::kDeadlinePassed, false);
  }
  if (!choice_.IsAllowed(*view_.Current(), call.plan, call.target)) {
    return OnNotRun(call, refusal_reason::kNoUpstream, false);
  }
  call.sequence = ++last_sequence_;
  call.target_incarnation = incarnation;
  call.silent_at =
      now + kSilentUsual * choice_.MeanServiceTime(*view_.Current(), call.plan);
  by_sequence_[call.sequence] = call.handle;
  call.life.Process(call_event::kAttemptSent);
  Report(call, "sent");
  link_.SendCall(call.target,
                 std::make_shared<const call_request>(MakeTry(call, now)));
}

void sender_internals::LeaveTarget(pending_call& call) {
  choice_.OnEnded(call.target);
  by_target_[call.target].erase(call.handle);
  by_sequence_.erase(call.sequence);
}

// The platform counts what reaches a second instance.
bool sender_internals::MayRepeat(const pending_call& call, retry_kind kind) {
  return call.arrivals < call.plan.max_attempts && call.attempts < kMaxTries &&
         clock_.Now() + kShortestTry < call.deadline &&
         budget_.TryAcquire(call.plan.service, kind, Daemons(), clock_.Now());
}

// The try is proved not run. `arrived`: the instance itself turned it away.
void sender_internals::OnNotRun(pending_call& call,
                                refusal_reason reason,
                                bool arrived) {
  LeaveTarget(call);
  const instant now = clock_.Now();
  if (reason == refusal_reason::kLeaving) {
    choice_.Avoid(call.target, now + kAvoidLeaving);
  } else if (reason != refusal_reason::kOverloaded) {
    choice_.Avoid(call.target, now + kAvoidBroken);
  }
  choice_.OnOutcome(call.target, arrived);
  call.life.Process(call_event::kAttemptEnded);
  Report(call, "refused by target", reason);
  if (arrived) {
    ++call.arrivals;
    const retry_kind kind =
        call.may_have_run ? retry_kind::kRerun : retry_kind::kRejected;
    if (!MayRepeat(call, kind)) {
      return Refuse(call, reason);
    }
  } else if (!IsRetryable(reason) || call.attempts >= kMaxTries) {
    return Refuse(call, reason);
  }
  TryNext(call, reason);
}

// The try may have run. Only a repeatable call may be tried again.
void sender_internals::OnUncertain(pending_call& call, refusal_reason reason) {
  LeaveTarget(call);
  choice_.OnOutcome(call.target, true);
  call.may_have_run = true;
  ++call.arrivals;
  call.life.Process(call_event::kAttemptEnded);
  Report(call, "outcome not known", reason);
  if (call.plan.never_repeat || !MayRepeat(call, retry_kind::kRerun)) {
    return Refuse(call, reason);
  }
  TryNext(call, reason);
}

// The instance ran the call and failed. Another may do better.
void sender_internals::OnFailureOfInstance(pending_call& call,
                                           call_result failed) {
  LeaveTarget(call);
  choice_.OnOutcome(call.target, true);
  call.may_have_run = true;
  ++call.arrivals;
  call.failure = std::move(failed);
  call.life.Process(call_event::kAttemptEnded);
  Report(call, "failed by instance");
  if (!MayRepeat(call, retry_kind::kRerun)) {
    return Finish(call, std::move(*call.failure));
  }
  TryNext(call, refusal_reason::kNoUpstream);
}

// A refused caller returns when a call that runs now has ended, at random so
// that the refused ones do not return together.
duration sender_internals::ComeBack(const pending_call& call) {
  const duration soon =
      std::max(kSoonestReturn, call.plan.objective * kComeBackPercent / 100);
  return random_.Jitter(soon, 100);
}

// Ends a call without an answer. "Not run" is said only if no try is uncertain.
void sender_internals::Refuse(pending_call& call, refusal_reason reason) {
  if (call.failure) {
    return Finish(call, std::move(*call.failure));
  }
  const call_outcome outcome =
      call.may_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  Finish(call,
         {.outcome = outcome, .reason = reason, .retry_after = ComeBack(call)});
}

void sender_internals::Finish(pending_call& call, call_result result) {
  call.life.Process(call_event::kFinished);
  result.attempts = call.attempts;
  result.instance = call.instance;
  const std::uint64_t handle = call.handle;
  calls_.erase(handle);
  sink_.OnResult(handle, std::move(result));
}

void sender_internals::CancelTry(const pending_call& call) {
  if (call.life.state() == call_state::kSent &&
      link_.PeerIncarnation(call.target)) {
    link_.SendCancel(call.target, {.id = {.origin = options_.incarnation,
                                          .sequence = call.sequence}});
  }
}

void sender_internals::Cancel(std::uint64_t handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    return;
  }
  pending_call& call = found->second;
  Report(call, "cancelled", refusal_reason::kCancelled);
  CancelTry(call);
  LeaveTarget(call);
  calls_.erase(found);
}

std::vector<std::uint64_t> sender_internals::CallsTo(
    const host_address& peer) const {
  const auto handles = by_target_.find(peer);
  if (handles == by_target_.end()) {
    return {};
  }
  return {handles->second.begin(), handles->second.end()};
}

void sender_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  for (const std::uint64_t handle : CallsTo(peer)) {
    const auto found = calls_.find(handle);
    if (found == calls_.end()) {
      continue;
    }
    pending_call& call = found->second;
    if (call.life.state() == call_state::kConnecting) {
      HandOver(call, incarnation);
    } else if (call.life.state() == call_state::kAttaching &&
               incarnation == call.target_incarnation) {
      call.life.Process(call_event::kAttached);
      const duration left =
          std::max(call.deadline - clock_.Now(), duration::zero());
      link_.SendAttach(
          peer,
          {.id = {.origin = options_.incarnation, .sequence = call.sequence},
           .deadline_ms = static_cast<std::uint32_t>(left.count() / 1000)});
    } else if (call.life.state() == call_state::kAttaching) {
      OnUncertain(call, refusal_reason::kWrongIncarnation);
    }
  }
}

void sender_internals::OnLinkDown(const host_address& peer) {
  for (const std::uint64_t handle : CallsTo(peer)) {
    const auto found = calls_.find(handle);
    if (found == calls_.end()) {
      continue;
    }
    pending_call& call = found->second;
    const call_state state = call.life.state();
    const bool plain_resend = state == call_state::kSent && !options_.attach;
    if (state == call_state::kConnecting || plain_resend) {
      OnNotRun(call, refusal_reason::kLinkLost, false);
    } else if (state == call_state::kSent && !call.plan.never_repeat) {
      OnUncertain(call, refusal_reason::kLinkLost);
    } else {
      call.life.Process(call_event::kLinkLost);
      call.next_open = clock_.Now() + options_.reconnect_delay;
    }
  }
}

void sender_internals::OnAnswer(const host_address& from, call_answer message) {
  const auto handle = by_sequence_.find(message.id.sequence);
  if (message.id.origin != options_.incarnation ||
      handle == by_sequence_.end()) {
    choice_.OnLoad(from, message.load, "", clock_.Now());
    return;
  }
  pending_call& call = calls_.at(handle->second);
  choice_.OnLoad(from, message.load, call.plan.route, clock_.Now());
  if (call.target != from) {
    return;
  }
  if (message.outcome == call_outcome::kNotRun) {
    return OnNotRun(call, message.reason, message.reached_instance);
  }
  if (message.outcome == call_outcome::kUnknown) {
    return OnUncertain(call, message.reason);
  }
  call_result result{.outcome = call_outcome::kAnswer,
                     .status = message.status,
                     .headers = std::move(message.headers),
                     .body = std::move(message.body)};
  if (IsFailure(message.status) && !call.plan.never_repeat) {
    return OnFailureOfInstance(call, std::move(result));
  }
  choice_.OnOutcome(call.target, IsFailure(message.status));
  LeaveTarget(call);
  Finish(call, std::move(result));
}

// A repeatable call that takes far longer than usual moves to another instance
// if that one has the time to answer. Otherwise it stays where it is.
void sender_internals::OnSilence(pending_call& call) {
  const instant now = clock_.Now();
  call.silent_at = call.deadline;
  const auto view = view_.Current();
  const duration usual = choice_.MeanServiceTime(*view, call.plan);
  const bool has_time = call.deadline - now >= usual * kSilentUsual / 2;
  const bool has_target =
      choice_.Choose(*view, call.plan, call.deadline - now, call.tried, now)
          .has_value();
  const bool may_go_on =
      call.arrivals + 1 < call.plan.max_attempts && call.attempts < kMaxTries;
  if (!has_time || !has_target || !may_go_on ||
      !budget_.TryAcquire(call.plan.service, retry_kind::kRerun, Daemons(),
                          now)) {
    return;
  }
  CancelTry(call);
  LeaveTarget(call);
  choice_.OnOutcome(call.target, true);
  call.may_have_run = true;
  ++call.arrivals;
  call.life.Process(call_event::kAttemptEnded);
  Report(call, "given up as silent", refusal_reason::kTimeout);
  TryNext(call, refusal_reason::kTimeout);
}

void sender_internals::OnDeadline(pending_call& call) {
  const call_state state = call.life.state();
  const bool never_sent =
      state == call_state::kConnecting || state == call_state::kChoosing;
  CancelTry(call);
  LeaveTarget(call);
  call.may_have_run |= !never_sent;
  Report(call, "deadline passed", refusal_reason::kTimeout);
  Refuse(call, refusal_reason::kTimeout);
}

void sender_internals::Tick() {
  const instant now = clock_.Now();
  std::vector<std::uint64_t> handles;
  handles.reserve(calls_.size());
  for (const auto& [handle, call] : calls_) {
    handles.push_back(handle);
  }
  std::sort(handles.begin(), handles.end());
  for (const std::uint64_t handle : handles) {
    const auto found = calls_.find(handle);
    if (found == calls_.end()) {
      continue;
    }
    pending_call& call = found->second;
    const call_state state = call.life.state();
    if (now >= call.deadline) {
      OnDeadline(call);
    } else if (state == call_state::kConnecting && now >= call.connect_by) {
      OnNotRun(call, refusal_reason::kLinkLost, false);
    } else if (state == call_state::kAttaching && now >= call.next_open) {
      call.next_open = now + options_.reconnect_delay;
      link_.Open(call.target);
    } else if (state == call_state::kSent && !call.plan.never_repeat &&
               now >= call.silent_at) {
      OnSilence(call);
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
std::size_t call_sender::in_flight() const {
  return internals_->size();
}

}  // namespace parsleyyard
