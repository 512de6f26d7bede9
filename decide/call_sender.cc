// The side of a call that routes it, retries it and reports its outcome.

#include "decide/life_cycles.h"
#include "decide/target_choice.h"

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr double kRetryBurst = 50;  // retries that a service may spend at once
constexpr std::uint32_t kMaxTries = 4;
constexpr duration kAvoidRefusing = std::chrono::milliseconds(100);
constexpr duration kShortestTry = std::chrono::milliseconds(50);
constexpr int kTriesPerDeadline = 3;
constexpr int kTargetDeadlinePercent =
    90;  // lets the target's refusal arrive in time

bool IsRetryable(refusal_reason reason) {
  return reason != refusal_reason::kNotInHomeRegion &&
         reason != refusal_reason::kDeadlinePassed;
}

}  // namespace

class sender_internals {
 public:
  sender_internals(sender_options options,
                   const clock_source& clock,
                   random_source& random,
                   const admission_view& admission,
                   call_link& link,
                   call_sink& sink)
      : options_(std::move(options)),
        clock_(clock),
        admission_(admission),
        link_(link),
        sink_(sink),
        choice_(options_, random) {}

  void Begin(std::uint64_t handle, const call_plan& plan, call_request message);
  void Cancel(std::uint64_t handle);
  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnLinkDown(const host_address& peer);
  void OnAnswer(const host_address& from, call_answer message);
  std::size_t size() const { return calls_.size(); }

 private:
  struct pending_call {
    std::uint64_t handle = 0;
    call_plan plan;
    call_request message;
    call_life_cycle life;
    instant deadline{};
    std::set<host_address> tried;
    std::uint32_t tries = 0;
    host_address target;
    std::uint64_t target_incarnation = 0;
    std::uint64_t sequence = 0;  // of the current try; 0 before the first
    instant try_deadline{};      // idempotent calls move on then
    instant next_open{};         // next reconnect while attaching
    bool may_have_run = false;   // some try ended uncertain
  };

  void TryNext(pending_call& call, refusal_reason last_refusal);
  void HandOver(pending_call& call, std::uint64_t incarnation);
  void LeaveTarget(pending_call& call);
  void OnNotRun(pending_call& call, refusal_reason reason);
  void OnUncertain(pending_call& call, refusal_reason reason);
  void OnDeadline(pending_call& call);
  void Finish(pending_call& call, call_result result);
  void Refuse(pending_call& call, refusal_reason reason);
  bool TakeRetry(const std::string& service);
  std::vector<pending_call*> CallsTo(const host_address& peer);

  sender_options options_;
  const clock_source& clock_;
  const admission_view& admission_;
  call_link& link_;
  call_sink& sink_;
  target_choice choice_;
  std::unordered_map<std::uint64_t, pending_call> calls_;  // by handle
  std::unordered_map<std::uint64_t, std::uint64_t>
      by_sequence_;  // try to handle
  std::unordered_map<host_address, std::set<std::uint64_t>> by_target_;
  std::unordered_map<std::string, double> retry_tokens_;  // by service
  std::uint64_t last_sequence_ = 0;
};

void sender_internals::Begin(std::uint64_t handle,
                             const call_plan& plan,
                             call_request message) {
  pending_call& call = calls_[handle];
  call.handle = handle;
  call.plan = plan;
  call.message = std::move(message);
  call.deadline = clock_.Now() + plan.deadline;
  double& tokens =
      retry_tokens_.try_emplace(plan.service, kRetryBurst).first->second;
  tokens = std::min(kRetryBurst, tokens + options_.retry_percent / 100.0);
  TryNext(call, refusal_reason::kNoUpstream);
}

bool sender_internals::TakeRetry(const std::string& service) {
  double& tokens = retry_tokens_[service];
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

// Chooses an instance for a call that is proved not run so far.
void sender_internals::TryNext(pending_call& call,
                               refusal_reason last_refusal) {
  const instant now = clock_.Now();
  const refusal_reason closed = admission_.MayAdmit(now);
  if (closed != refusal_reason::kNone) {
    return Refuse(call, closed);
  }
  if (now >= call.deadline) {
    return Refuse(call, refusal_reason::kDeadlinePassed);
  }
  const auto target =
      choice_.Choose(*admission_.Current(), call.plan, call.tried, now);
  if (!target) {
    return Refuse(call, last_refusal);
  }
  call.target = *target;
  call.tried.insert(*target);
  ++call.tries;
  by_target_[*target].insert(call.handle);
  choice_.OnSent(*target);
  call.life.Process(call_event::kTargetChosen);
  const auto incarnation = link_.PeerIncarnation(*target);
  if (incarnation) {
    HandOver(call, *incarnation);
  } else {
    link_.Open(*target);
  }
}

// Gives the try to the link. From here on it may have been sent.
void sender_internals::HandOver(pending_call& call, std::uint64_t incarnation) {
  const instant now = clock_.Now();
  const refusal_reason closed = admission_.MayAdmit(now);
  if (closed != refusal_reason::kNone) {
    return OnNotRun(call, closed);
  }
  if (now >= call.deadline) {
    return OnNotRun(call, refusal_reason::kDeadlinePassed);
  }
  const auto view = admission_.Current();
  if (!choice_.IsAllowed(*view, call.plan, call.target)) {
    return OnNotRun(call, refusal_reason::kFailureDomainOut);
  }
  const duration left = call.deadline - now;
  call.sequence = ++last_sequence_;
  call.target_incarnation = incarnation;
  call.try_deadline = now + std::max(kShortestTry, left / kTriesPerDeadline);
  by_sequence_[call.sequence] = call.handle;
  auto message = std::make_shared<call_request>(call.message);
  message->id = {.origin = options_.incarnation, .sequence = call.sequence};
  message->target_incarnation = incarnation;
  message->service = call.plan.service;
  message->route = call.plan.route;
  message->workspace = call.plan.workspace;
  message->priority = call.plan.priority;
  message->never_repeat = call.plan.never_repeat;
  message->depth = call.plan.depth;
  message->deadline_ms = static_cast<std::uint32_t>(
      left.count() * kTargetDeadlinePercent / 100 / 1000);
  message->manifest = view->manifest_in_force->version();
  call.life.Process(call_event::kHandedOver);
  link_.SendCall(call.target, std::move(message));
}

void sender_internals::LeaveTarget(pending_call& call) {
  choice_.OnEnded(call.target);
  by_target_[call.target].erase(call.handle);
  by_sequence_.erase(call.sequence);
}

void sender_internals::OnNotRun(pending_call& call, refusal_reason reason) {
  LeaveTarget(call);
  choice_.Avoid(call.target, call.plan.priority, clock_.Now() + kAvoidRefusing);
  call.life.Process(call_event::kTryAgain);
  if (!IsRetryable(reason) || call.tries >= kMaxTries ||
      !TakeRetry(call.plan.service)) {
    return Refuse(call, reason);
  }
  TryNext(call, reason);
}

// The try may have run. Only an idempotent call may be tried again.
void sender_internals::OnUncertain(pending_call& call, refusal_reason reason) {
  LeaveTarget(call);
  call.may_have_run = true;
  call.life.Process(call_event::kTryAgain);
  if (call.plan.never_repeat || call.tries >= kMaxTries ||
      !TakeRetry(call.plan.service)) {
    return Refuse(call, reason);
  }
  TryNext(call, reason);
}

// Ends a call without an answer. "Not run" is said only if no try is uncertain.
void sender_internals::Refuse(pending_call& call, refusal_reason reason) {
  const call_outcome outcome =
      call.may_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  Finish(call, {.outcome = outcome, .reason = reason});
}

void sender_internals::Finish(pending_call& call, call_result result) {
  call.life.Process(call_event::kFinished);
  result.tries = call.tries;
  const std::uint64_t handle = call.handle;
  calls_.erase(handle);
  sink_.OnResult(handle, std::move(result));
}

void sender_internals::Cancel(std::uint64_t handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) {
    return;
  }
  pending_call& call = found->second;
  if (call.life.state() == call_state::kSent &&
      link_.PeerIncarnation(call.target)) {
    link_.SendCancel(call.target, {.id = {.origin = options_.incarnation,
                                          .sequence = call.sequence}});
  }
  LeaveTarget(call);
  calls_.erase(found);
}

std::vector<sender_internals::pending_call*> sender_internals::CallsTo(
    const host_address& peer) {
  std::vector<pending_call*> found;
  const auto handles = by_target_.find(peer);
  if (handles != by_target_.end()) {
    for (const std::uint64_t handle : handles->second) {
      found.push_back(&calls_.at(handle));
    }
  }
  return found;
}

void sender_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  for (pending_call* call : CallsTo(peer)) {
    if (call->life.state() == call_state::kConnecting) {
      HandOver(*call, incarnation);
    } else if (call->life.state() == call_state::kAttaching &&
               incarnation == call->target_incarnation) {
      call->life.Process(call_event::kAttached);
      const duration left =
          std::max(call->deadline - clock_.Now(), duration::zero());
      link_.SendAttach(
          peer,
          {.id = {.origin = options_.incarnation, .sequence = call->sequence},
           .deadline_ms = static_cast<std::uint32_t>(left.count() / 1000)});
    } else if (call->life.state() == call_state::kAttaching) {
      OnUncertain(*call, refusal_reason::kWrongIncarnation);
    }
  }
}

void sender_internals::OnLinkDown(const host_address& peer) {
  for (pending_call* call : CallsTo(peer)) {
    const call_state state = call->life.state();
    if (state == call_state::kConnecting) {
      OnNotRun(*call, refusal_reason::kNoUpstream);
    } else if (state == call_state::kSent && !options_.attach) {
      OnNotRun(*call, refusal_reason::kLinkLost);
    } else if (state == call_state::kSent && !call->plan.never_repeat) {
      OnUncertain(*call, refusal_reason::kLinkLost);
    } else {
      call->life.Process(call_event::kLinkLost);
      call->next_open = clock_.Now() + options_.reconnect_delay;
    }
  }
}

void sender_internals::OnAnswer(const host_address& from, call_answer message) {
  choice_.OnLoad(from, message.load, clock_.Now());
  const auto handle = by_sequence_.find(message.id.sequence);
  if (message.id.origin != options_.incarnation ||
      handle == by_sequence_.end()) {
    return;
  }
  pending_call& call = calls_.at(handle->second);
  if (call.target != from) {
    return;
  }
  if (message.outcome == call_outcome::kNotRun) {
    return OnNotRun(call, message.reason);
  }
  if (message.outcome == call_outcome::kUnknown) {
    return OnUncertain(call, message.reason);
  }
  LeaveTarget(call);
  Finish(call, {.outcome = call_outcome::kAnswer,
                .status = message.status,
                .headers = std::move(message.headers),
                .body = std::move(message.body)});
}

void sender_internals::OnDeadline(pending_call& call) {
  const call_state state = call.life.state();
  const bool never_sent =
      state == call_state::kConnecting || state == call_state::kChoosing;
  if (state == call_state::kSent && link_.PeerIncarnation(call.target)) {
    link_.SendCancel(call.target, {.id = {.origin = options_.incarnation,
                                          .sequence = call.sequence}});
  }
  LeaveTarget(call);
  call.may_have_run |= !never_sent;
  Refuse(call, never_sent ? refusal_reason::kDeadlinePassed
                          : refusal_reason::kTimeout);
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
    } else if (state == call_state::kAttaching && now >= call.next_open) {
      call.next_open = now + options_.reconnect_delay;
      link_.Open(call.target);
    } else if (state == call_state::kSent && !call.plan.never_repeat &&
               now >= call.try_deadline) {
      call.try_deadline = call.deadline;
      OnUncertain(call, refusal_reason::kTimeout);
    }
  }
}

call_sender::call_sender(sender_options options,
                         const clock_source& clock,
                         random_source& random,
                         const admission_view& admission,
                         call_link& link,
                         call_sink& sink)
    : internals_(std::make_unique<sender_internals>(std::move(options),
                                                    clock,
                                                    random,
                                                    admission,
                                                    link,
                                                    sink)) {}
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
std::size_t call_sender::in_flight() const {
  return internals_->size();
}

}  // namespace parsleyyard
