// The side of a call that admits it, runs it at most once and keeps its answer.

#include "decide/concurrency_limit.h"
#include "decide/life_cycles.h"

#include <algorithm>
#include <deque>
#include <map>

namespace parsleyyard {

namespace {

enum class entry_state : std::uint8_t { kQueued, kRunning, kEnded, kFenced };

using entry_key = std::pair<std::uint64_t, std::uint64_t>;  // origin, sequence

entry_key KeyOf(const call_id& id) {
  return {id.origin, id.sequence};
}

}  // namespace

class target_internals {
 public:
  target_internals(target_options options,
                   const clock_source& clock,
                   const admission_view& admission,
                   upstream_port& upstream,
                   answer_link& link)
      : options_(std::move(options)),
        clock_(clock),
        admission_(admission),
        upstream_(upstream),
        link_(link) {}

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamProbe(const upstream_result& result);
  void BeginDrain() { draining_ = true; }
  bool idle() const { return running_ == 0 && queued_ == 0; }
  load_report Load() const;
  upstream_state state() const { return life_.state(); }

 private:
  struct entry {
    entry_state state = entry_state::kQueued;
    host_address from;
    std::shared_ptr<const call_request> message;
    std::shared_ptr<const call_answer> answer;
    instant arrived{};
    instant began{};
    instant deadline{};
    instant expiry{};
  };

  refusal_reason WhyNot(const call_request& message, instant now);
  refusal_reason WhyNotByView(const snapshot& view,
                              const call_request& message) const;
  void Configure(const snapshot& view);
  bool MakeRoom(call_class wanted);
  void Pump();
  bool StartNext(instant now);
  void End(const call_id& id, entry& call, call_answer answer);
  void Refuse(const call_id& id, entry& call, refusal_reason reason);
  void Reply(const host_address& to,
             const call_id& id,
             call_outcome outcome,
             refusal_reason reason);
  void WatchUpstream(const upstream_result& result, instant now);
  void WatchDeclarations(instant now);
  void RefuseLateInQueue(instant now);
  void Expire(instant now);

  target_options options_;
  const clock_source& clock_;
  const admission_view& admission_;
  upstream_port& upstream_;
  answer_link& link_;
  upstream_life_cycle life_;
  concurrency_limit limit_;
  std::uint64_t configured_manifest_ = 0;
  std::map<entry_key, entry> entries_;
  std::array<std::deque<call_id>, kCallClassNames.size()>
      queues_;                  // by class; may name ended calls
  std::deque<entry_key> kept_;  // answers by age
  std::uint64_t kept_bytes_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::string upstream_id_;
  bool draining_ = false;
  bool was_out_ = false;
};

load_report target_internals::Load() const {
  return {.in_flight = running_,
          .queued = queued_,
          .limit = limit_.Limit(clock_.Now())};
}

void target_internals::Configure(const snapshot& view) {
  if (view.manifest_in_force->version() == configured_manifest_) {
    return;
  }
  const bool first = configured_manifest_ == 0;
  configured_manifest_ = view.manifest_in_force->version();
  if (const service* own =
          view.manifest_in_force->FindServiceAt(options_.address)) {
    limit_.Configure(own->slots, own->warm_up);
  }
  if (first) {
    limit_.BeginRamp(clock_.Now());
    life_.Process(upstream_event::kStarted);
  }
}

refusal_reason target_internals::WhyNotByView(
    const snapshot& view,
    const call_request& message) const {
  if (view.out->IsOut(options_.address, options_.failure_domain)) {
    return refusal_reason::kFailureDomainOut;
  }
  if (view.IsLeaving(options_.address)) {
    return refusal_reason::kLeaving;
  }
  if (view.manifest_in_force->FindInstanceAt(options_.address,
                                             message.service) == nullptr) {
    return refusal_reason::kNoUpstream;
  }
  const std::string path = message.path.substr(0, message.path.find('?'));
  const request_facts facts{
      .method = message.method, .path = path, .workspace = message.workspace};
  const head_verdict verdict =
      DecideHead(view, facts, options_.region, UINT32_MAX);
  const bool behind = message.manifest > view.manifest_in_force->version();
  const bool unknown_here = verdict.refusal == refusal_reason::kNoRoute ||
                            verdict.refusal == refusal_reason::kBadRequest;
  return behind && unknown_here ? refusal_reason::kNone : verdict.refusal;
}

// Asked on arrival and again before the call is sent to the upstream.
refusal_reason target_internals::WhyNot(const call_request& message,
                                        instant now) {
  const refusal_reason closed = admission_.MayAdmit(now);
  if (closed != refusal_reason::kNone) {
    return closed;
  }
  if (draining_) {
    return refusal_reason::kLeaving;
  }
  const auto view = admission_.Current();
  Configure(*view);
  const refusal_reason refusal = WhyNotByView(*view, message);
  if (refusal != refusal_reason::kNone) {
    return refusal;
  }
  if (life_.state() == upstream_state::kDraining) {
    return refusal_reason::kLeaving;
  }
  return life_.state() == upstream_state::kGone
             ? refusal_reason::kUpstreamRefused
             : refusal_reason::kNone;
}

void target_internals::Reply(const host_address& to,
                             const call_id& id,
                             call_outcome outcome,
                             refusal_reason reason) {
  link_.SendAnswer(
      to, std::make_shared<const call_answer>(call_answer{
              .id = id, .outcome = outcome, .reason = reason, .load = Load()}));
}

void target_internals::OnCall(const host_address& from,
                              std::shared_ptr<const call_request> message) {
  const instant now = clock_.Now();
  const call_id id = message->id;
  if (message->target_incarnation != options_.incarnation) {
    return Reply(from, id, call_outcome::kNotRun,
                 refusal_reason::kWrongIncarnation);
  }
  const auto known = entries_.find(KeyOf(id));
  if (known != entries_.end()) {
    const bool fenced = known->second.state == entry_state::kFenced;
    return fenced
               ? Reply(from, id, call_outcome::kNotRun, refusal_reason::kFenced)
               : void();
  }
  const refusal_reason refusal = WhyNot(*message, now);
  if (refusal != refusal_reason::kNone) {
    return Reply(from, id, call_outcome::kNotRun, refusal);
  }
  const bool table_full = entries_.size() >= options_.table;
  const bool waits = running_ >= limit_.Limit(now) && options_.limit;
  if (table_full ||
      (waits && queued_ >= options_.queue && !MakeRoom(message->priority))) {
    return Reply(from, id, call_outcome::kNotRun, refusal_reason::kOverloaded);
  }
  const instant deadline =
      now + std::chrono::milliseconds(message->deadline_ms);
  queues_[static_cast<std::size_t>(message->priority)].push_back(id);
  ++queued_;
  entries_[KeyOf(id)] = {.from = from,
                         .message = std::move(message),
                         .arrived = now,
                         .deadline = deadline,
                         .expiry = deadline + options_.keep_margin};
  Pump();
}

// Displaces the newest waiting call of the lowest class below `wanted`.
bool target_internals::MakeRoom(call_class wanted) {
  for (std::size_t lower = 0; lower < static_cast<std::size_t>(wanted);
       ++lower) {
    while (!queues_[lower].empty()) {
      const call_id id = queues_[lower].back();
      queues_[lower].pop_back();
      const auto found = entries_.find(KeyOf(id));
      if (found != entries_.end() &&
          found->second.state == entry_state::kQueued) {
        --queued_;
        Refuse(id, found->second, refusal_reason::kOverloaded);
        return true;
      }
    }
  }
  return false;
}

void target_internals::Pump() {
  const instant now = clock_.Now();
  while (queued_ > 0 && (running_ < limit_.Limit(now) || !options_.limit)) {
    if (!StartNext(now)) {
      return;
    }
  }
}

// Starts or refuses the first waiting call of the highest class.
bool target_internals::StartNext(instant now) {
  for (auto queue = queues_.rbegin(); queue != queues_.rend(); ++queue) {
    if (queue->empty()) {
      continue;
    }
    const call_id id = queue->front();
    queue->pop_front();
    const auto found = entries_.find(KeyOf(id));
    if (found == entries_.end() ||
        found->second.state != entry_state::kQueued) {
      return true;
    }
    entry& call = found->second;
    --queued_;
    refusal_reason refusal = WhyNot(*call.message, now);
    if (refusal == refusal_reason::kNone && now >= call.deadline) {
      refusal = refusal_reason::kDeadlinePassed;
    }
    if (refusal != refusal_reason::kNone) {
      Refuse(id, call, refusal);
      return true;
    }
    call.state = entry_state::kRunning;
    call.began = now;
    ++running_;
    upstream_.Run(id, call.message, call.deadline - now);
    return true;
  }
  return false;
}

void target_internals::Refuse(const call_id& id,
                              entry& call,
                              refusal_reason reason) {
  End(id, call, {.id = id, .outcome = call_outcome::kNotRun, .reason = reason});
}

void target_internals::End(const call_id& id, entry& call, call_answer answer) {
  answer.load = Load();
  kept_bytes_ += answer.body.size();
  kept_.push_back(KeyOf(id));
  call.state = entry_state::kEnded;
  call.message.reset();
  call.answer = std::make_shared<const call_answer>(std::move(answer));
  link_.SendAnswer(call.from, call.answer);
  while (kept_bytes_ > options_.kept_bytes && !kept_.empty()) {
    const auto oldest = entries_.find(kept_.front());
    kept_.pop_front();
    if (oldest != entries_.end() && oldest->second.answer) {
      kept_bytes_ -= oldest->second.answer->body.size();
      oldest->second.answer.reset();
    }
  }
}

// Fences a call that is not known, so that "not run" stays true.
void target_internals::OnAttach(const host_address& from,
                                const call_attach& message) {
  const auto known = entries_.find(KeyOf(message.id));
  if (known == entries_.end()) {
    if (entries_.size() >= options_.table) {
      return Reply(from, message.id, call_outcome::kUnknown,
                   refusal_reason::kOverloaded);
    }
    const instant deadline =
        clock_.Now() + std::chrono::milliseconds(message.deadline_ms);
    entries_[KeyOf(message.id)] = {.state = entry_state::kFenced,
                                   .from = from,
                                   .deadline = deadline,
                                   .expiry = deadline + options_.keep_margin};
    return Reply(from, message.id, call_outcome::kNotRun,
                 refusal_reason::kFenced);
  }
  entry& call = known->second;
  call.from = from;
  if (call.state == entry_state::kFenced) {
    Reply(from, message.id, call_outcome::kNotRun, refusal_reason::kFenced);
  } else if (call.state == entry_state::kEnded && call.answer) {
    link_.SendAnswer(from, call.answer);
  } else if (call.state == entry_state::kEnded) {
    Reply(from, message.id, call_outcome::kUnknown, refusal_reason::kLinkLost);
  }
}

void target_internals::OnCancel(const call_cancel& message) {
  const auto known = entries_.find(KeyOf(message.id));
  if (known == entries_.end()) {
    return;
  }
  entry& call = known->second;
  if (call.state == entry_state::kQueued) {
    --queued_;
    Refuse(message.id, call, refusal_reason::kCancelled);
  } else if (call.state == entry_state::kRunning) {
    upstream_.Cancel(message.id);
  }
}

// Notices starts and stops of the upstream, announced or not.
void target_internals::WatchUpstream(const upstream_result& result,
                                     instant now) {
  const bool refused = !result.sent;
  const bool broken = result.sent && !result.complete;
  const bool another =
      !result.instance_id.empty() && result.instance_id != upstream_id_;
  if (refused) {
    life_.Process(upstream_event::kConnectionRefused);
    return;
  }
  const bool back = life_.state() == upstream_state::kGone && result.complete;
  if (another || back || result.reset) {
    upstream_id_ =
        result.instance_id.empty() ? upstream_id_ : result.instance_id;
    limit_.BeginRamp(now);
    life_.Process(upstream_event::kStarted);
  }
  if (broken || result.shed) {
    limit_.OnTrouble(now);
  }
  if (result.draining) {
    life_.Process(upstream_event::kDrainSeen);
  }
}

void target_internals::OnUpstreamProbe(const upstream_result& result) {
  WatchUpstream(result, clock_.Now());
  Pump();
}

void target_internals::OnUpstreamDone(const call_id& id,
                                      upstream_result result) {
  const instant now = clock_.Now();
  WatchUpstream(result, now);
  const auto found = entries_.find(KeyOf(id));
  if (found == entries_.end() || found->second.state != entry_state::kRunning) {
    return;
  }
  entry& call = found->second;
  --running_;
  call_answer answer{.id = id,
                     .outcome = call_outcome::kUnknown,
                     .reason = refusal_reason::kUpstreamLost};
  if (!result.sent || result.shed) {
    answer.outcome = call_outcome::kNotRun;
    answer.reason = refusal_reason::kUpstreamRefused;
  } else if (result.complete) {
    limit_.OnSuccess(now - call.began, now);
    answer = {.id = id,
              .outcome = call_outcome::kAnswer,
              .status = result.status,
              .headers = std::move(result.headers),
              .body = std::move(result.body)};
  }
  End(id, call, std::move(answer));
  Pump();
}

// A host that returns to service is ramped like a fresh one.
void target_internals::WatchDeclarations(instant now) {
  const auto view = admission_.Current();
  if (!view || !view->out || !view->manifest_in_force) {
    return;
  }
  Configure(*view);
  const bool out = view->out->IsOut(options_.address, options_.failure_domain);
  if (was_out_ && !out) {
    limit_.BeginRamp(now, std::max(options_.domain_ramp, limit_.warm_up()));
  }
  was_out_ = out;
  if (limit_.RampEnded(now)) {
    life_.Process(upstream_event::kRampEnded);
  }
}

void target_internals::RefuseLateInQueue(instant now) {
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      const auto found = entries_.find(KeyOf(queue.front()));
      const bool waiting = found != entries_.end() &&
                           found->second.state == entry_state::kQueued;
      const bool late =
          waiting && (now >= found->second.deadline ||
                      now - found->second.arrived >= options_.queue_wait);
      if (waiting && !late) {
        break;
      }
      const call_id id = queue.front();
      queue.pop_front();
      if (late) {
        --queued_;
        Refuse(id, found->second, refusal_reason::kOverloaded);
      }
    }
  }
}

void target_internals::Expire(instant now) {
  std::erase_if(entries_, [&](const auto& item) {
    const entry& call = item.second;
    const bool over =
        call.state == entry_state::kEnded || call.state == entry_state::kFenced;
    const bool expired = over && now >= call.expiry;
    if (expired && call.answer) {
      kept_bytes_ -= call.answer->body.size();
    }
    return expired;
  });
  while (!kept_.empty() && !entries_.contains(kept_.front())) {
    kept_.pop_front();
  }
}

void target_internals::Tick() {
  const instant now = clock_.Now();
  WatchDeclarations(now);
  RefuseLateInQueue(now);
  Expire(now);
  Pump();
}

call_target::call_target(target_options options,
                         const clock_source& clock,
                         const admission_view& admission,
                         upstream_port& upstream,
                         answer_link& link)
    : internals_(std::make_unique<target_internals>(std::move(options),
                                                    clock,
                                                    admission,
                                                    upstream,
                                                    link)) {}
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
void call_target::OnUpstreamProbe(const upstream_result& result) {
  internals_->OnUpstreamProbe(result);
}
void call_target::BeginDrain() {
  internals_->BeginDrain();
}
bool call_target::idle() const {
  return internals_->idle();
}
load_report call_target::Load() const {
  return internals_->Load();
}
std::string_view call_target::UpstreamState() const {
  return kUpstreamStateNames[static_cast<std::size_t>(internals_->state())];
}

}  // namespace parsleyyard
