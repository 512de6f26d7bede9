#include "daemon/caller_gate.h"

namespace parsleyyard {

namespace {

// Header fields that this daemon adds to a request: the caller's service, the
// workspace, the instance and the deadline.
constexpr std::size_t kMaxAddedHeaders = 4;
// Retry-after for a request that gave way for lack of memory. Requests that are
// slower or larger leave within this time.
constexpr duration kMemoryRetryAfter = std::chrono::seconds(1);
// Retry-after for a request that is refused by its head, for example while
// the daemon has no configuration yet.
constexpr duration kHeadRefusalRetryAfter = std::chrono::milliseconds(200);

// Longest time for which a request waits for the answer of the owner of its
// quota. Between regions, the answer takes 24 ms and the processing on two busy
// hosts.
constexpr duration kMaxQuotaWait = std::chrono::milliseconds(80);
// Share of the time until the deadline that this wait may take.
constexpr int kQuotaWaitDivisor = 4;

constexpr std::string_view kOutcomeHeader =
    "x-parsleyyard-outcome";  // not_run or unknown; set if there is no answer
constexpr std::string_view kReasonHeader =
    "x-parsleyyard-reason";  // a refusal_reason; set if there is no answer

// Returns the HTTP status for the result of a call without an answer. A call
// that has not run gets 503, whatever the reason, which tells the caller that
// it may retry: another daemon's reason is no proof of the configuration in
// force here.
std::uint16_t StatusFor(const call_result& result) {
  if (result.outcome == call_outcome::kNotRun) {
    return 503;
  }
  return result.reason == refusal_reason::kTimeout ? 504 : 502;
}

// Returns the reason for which a request that the HTTP server rejected may be
// sent again, or kNone if the rejection is right as it is.
refusal_reason CheckRejection(const http_rejection& rejection,
                              const snapshot& view,
                              duration view_age) {
  switch (rejection.cause) {
    case rejection_cause::kHeadTooLarge:
      return CheckLimit(view, view_age,
                        {.configured = &caller_limits::max_header_bytes,
                         .applied = rejection.limits.max_header_bytes});
    case rejection_cause::kBodyTooLarge:
      return CheckLimit(view, view_age,
                        {.configured = &caller_limits::max_body_bytes,
                         .applied = rejection.limits.max_body_bytes});
    case rejection_cause::kNoMemory:
      return refusal_reason::kOverloaded;
    case rejection_cause::kTooManyFields:
    case rejection_cause::kFramingTooLarge:
      return refusal_reason::kOverBound;
    case rejection_cause::kMalformed:
    case rejection_cause::kTooSlow:
      break;
  }
  return refusal_reason::kNone;
}

// The HTTP status for a request that this daemon refuses by its head.
std::uint16_t StatusForHead(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoRoute:
      return 404;
    case refusal_reason::kMissingKey:
    case refusal_reason::kUnknownKey:
      return 401;
    default:
      return 503;
  }
}

// Empty if there is no workspace.
std::string NameOf(const workspace* owner) {
  return owner ? owner->name : "";
}

// Requests without a workspace keep the fields that they had before there were
// any.
void AddWorkspaceField(boost::json::object& fields,
                       const std::string& workspace) {
  if (!workspace.empty()) {
    fields["workspace"] = workspace;
  }
}

std::string PathWithoutQuery(const http_request& head) {
  return head.target.substr(0, head.target.find('?'));
}

}  // namespace

boost::json::object LogFieldsFor(const call_event_line& line) {
  boost::json::object fields{{"request", line.request},
                             {"instance", line.instance},
                             {"reason", NameOf(line.reason)},
                             {"left_ms", line.left.count() / 1000}};
  if (line.attempts > 0) {
    fields["tries"] = line.attempts;
  }
  if (line.waiting > 0 || line.estimate > duration::zero()) {
    fields["waiting"] = line.waiting;
    fields["expected_wait_ms"] = line.estimate.count() / 1000;
  }
  return fields;
}

void caller_gate::SetCallbacks(begin_call_function begin,
                               cancel_call_function cancel) {
  begin_call_ = std::move(begin);
  cancel_call_ = std::move(cancel);
}

std::size_t caller_gate::in_flight() const {
  const std::lock_guard lock(mutex_);
  return pending_calls_.size();
}

std::string caller_gate::RequestIdFor(const http_request& head) {
  std::string id = dialect_.RequestId(head);
  if (id.empty()) {
    id = std::to_string(incarnation_) + "-" + std::to_string(++last_call_);
  }
  return id;
}

// Returns the reason for a refusal if the head exceeds the field limits of the
// messages between daemons.
std::optional<refusal_reason> caller_gate::CheckMessageLimits(
    const http_request& head) const {
  bool fits = head.target.size() <= kMaxCallRequestTarget &&
              head.method.size() <= kMaxCallRequestMethod &&
              dialect_.RequestId(head).size() <= kMaxCallRequestRequestId &&
              head.headers.size() + kMaxAddedHeaders <= kMaxCallRequestHeaders;
  for (const call_header& header : head.headers) {
    fits = fits && header.name.size() <= kMaxCallHeaderName &&
           header.value.size() <= kMaxCallHeaderValue;
  }
  return fits ? std::nullopt : std::optional(refusal_reason::kOverBound);
}

request_facts caller_gate::ExtractFacts(const http_request& head) const {
  const std::string* host = head.Find("host");
  return {.virtual_host = host ? *host : "",
          .path = PathWithoutQuery(head),
          .deadline = dialect_.Deadline(head),
          .waited = head.waited};
}

http_response caller_gate::BuildRefusal(const call_result& result,
                                        const std::string& request) const {
  http_response response{
      .status = result.status,
      .headers = {{.name = "content-type", .value = "text/plain"},
                  {.name = std::string(kOutcomeHeader),
                   .value = std::string(NameOf(result.outcome))},
                  {.name = std::string(kReasonHeader),
                   .value = std::string(NameOf(result.reason))}},
      .body = "request " + request + ": " +
              std::string(NameOf(result.outcome)) + ", " +
              std::string(NameOf(result.reason)) + "\n",
      .close = draining_};
  if (response.status == 503 || response.status == 429) {
    dialect_.SetRetryAfter(response, result.retry_after);
  }
  return response;
}

http_response caller_gate::RefuseHead(const http_request& head,
                                      refusal_reason reason,
                                      const observed_view& observed,
                                      const std::string& workspace) {
  const std::string request = RequestIdFor(head);
  const call_result result{.outcome = call_outcome::kNotRun,
                           .reason = reason,
                           .status = StatusForHead(reason),
                           .retry_after = kHeadRefusalRetryAfter};
  metrics_.OnCall({.request = request,
                   .workspace = workspace,
                   .outcome = call_outcome::kNotRun,
                   .reason = reason});
  boost::json::object fields{{"request", request},
                             {"status", result.status},
                             {"reason", NameOf(reason)},
                             {"path", PathWithoutQuery(head)}};
  AddWorkspaceField(fields, workspace);
  AddViewFields(fields, observed);
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "call", "refused at head",
             std::move(fields));
  return BuildRefusal(result, request);
}

// The time of the confirmation is read first, so that it never belongs to a
// newer view than the one returned.
caller_gate::observed_view caller_gate::Observe() const {
  const instant confirmed_at = view_.ConfirmedAt();
  auto view = view_.Current();
  return {.view = std::move(view), .age = clock_.Now() - confirmed_at};
}

// Adds the state of the view that a refusal was decided with. The age is null
// before anything of the store is known.
void caller_gate::AddViewFields(boost::json::object& fields,
                                const observed_view& observed) {
  const snapshot& view = *observed.view;
  fields["version"] = view.config ? view.config->version() : 0;
  fields["era"] = view.position.era;
  fields["revision"] = view.position.revision;
  fields["age_ms"] = nullptr;
  if (view.position.revision != 0) {
    fields["age_ms"] = observed.age.count() / 1000;
  }
}

std::optional<http_response> caller_gate::OnRejected(
    const http_rejection& rejection) {
  const observed_view observed = Observe();
  const refusal_reason reason =
      CheckRejection(rejection, *observed.view, observed.age);
  const bool replaced = reason != refusal_reason::kNone;
  const std::uint16_t status =
      replaced ? StatusForHead(reason) : rejection.status;
  metrics_.OnRejected(status, NameOf(rejection.cause));
  boost::json::object fields{{"request", dialect_.RequestId(rejection.head)},
                             {"status", status},
                             {"reason", NameOf(rejection.cause)},
                             {"because", NameOf(reason)},
                             {"detail", rejection.detail},
                             {"path", PathWithoutQuery(rejection.head)}};
  AddViewFields(fields, observed);
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "call",
             "rejected by server", std::move(fields));
  if (!replaced) {
    return std::nullopt;
  }
  return BuildRefusal(
      {.outcome = call_outcome::kNotRun,
       .reason = reason,
       .status = status,
       .retry_after = rejection.cause == rejection_cause::kNoMemory
                          ? kMemoryRetryAfter
                          : kHeadRefusalRetryAfter},
      RequestIdFor(rejection.head));
}

bool caller_gate::MayPipeline(const http_request& head) {
  return IsIdempotent(*view_.Current(), ExtractFacts(head));
}

std::optional<http_response> caller_gate::OnHead(const http_request& head) {
  const observed_view observed = Observe();
  if (const auto problem = CheckMessageLimits(head)) {
    return RefuseHead(head, *problem, observed);
  }
  const key_decision decision = CheckHeadAndKey(head, observed);
  if (decision.refusal != refusal_reason::kNone) {
    return RefuseHead(head, decision.refusal, observed, NameOf(decision.owner));
  }
  return std::nullopt;
}

// Checks that a route matches the request, and its key.
key_decision caller_gate::CheckHeadAndKey(const http_request& head,
                                          const observed_view& observed) const {
  const snapshot& view = *observed.view;
  const request_facts facts = ExtractFacts(head);
  const refusal_reason refusal = CheckHead(view, observed.age, facts);
  if (refusal != refusal_reason::kNone || !view.config->has_workspaces()) {
    return {.refusal = refusal};
  }
  return DecideKey(view, observed.age,
                   *view.config->FindRoute(facts.virtual_host, facts.path),
                   dialect_.Keys(head), max_key_view_age_);
}

head_decision caller_gate::DecideRequest(const http_request& request,
                                         const observed_view& observed) {
  const key_decision key = CheckHeadAndKey(request, observed);
  if (key.refusal != refusal_reason::kNone) {
    return {.refusal = key.refusal, .plan = {.workspace = NameOf(key.owner)}};
  }
  head_decision decision;
  {
    const std::lock_guard lock(mutex_);
    decision = DecideHead(*observed.view, observed.age, ExtractFacts(request),
                          splitter_);
  }
  ApplyWorkspace(key, decision.plan);
  const bool too_late =
      clock_.Now() + decision.plan.deadline > last_deadline_.load();
  if (decision.refusal == refusal_reason::kNone && too_late) {
    decision.refusal = refusal_reason::kLeaving;
  }
  return decision;
}

std::function<void()> caller_gate::OnRequest(http_request request,
                                             response_callback reply) {
  const observed_view observed = Observe();
  const head_decision decision = DecideRequest(request, observed);
  if (decision.refusal != refusal_reason::kNone) {
    reply(RefuseHead(request, decision.refusal, observed,
                     decision.plan.workspace));
    return nullptr;
  }
  call_request message =
      BuildMessage(std::move(request), decision.plan, *observed.view);
  return StartCall(decision.plan, std::move(message), std::move(reply));
}

// Builds the request for the instance. If the configuration has workspaces, the
// instance gets no key, and no workspace but the one that was found here.
call_request caller_gate::BuildMessage(http_request request,
                                       const call_plan& plan,
                                       const snapshot& view) {
  call_request message{.request_id = RequestIdFor(request),
                       .method = request.method,
                       .target = request.target,
                       .headers = CopyEndToEndHeaders(request.headers)};
  dialect_.SetCaller(message.headers, settings_.upstream.service);
  if (view.config->has_workspaces()) {
    dialect_.RemoveWorkspace(message.headers);
  }
  if (!plan.workspace.empty()) {
    dialect_.SetWorkspace(message.headers, plan.workspace);
  }
  message.body = std::move(request.body);
  return message;
}

// Begins the call, at once or when its quota admits it. Returns the function
// for OnRequest() to return.
std::function<void()> caller_gate::StartCall(const call_plan& plan,
                                             call_request message,
                                             response_callback reply) {
  const std::uint64_t call = ++last_call_;
  const std::string request_id = message.request_id;
  {
    const std::lock_guard lock(mutex_);
    pending_calls_[call] = {.reply = std::move(reply),
                            .record = {.request = request_id,
                                       .service = plan.service,
                                       .route = plan.route,
                                       .workspace = plan.workspace,
                                       .priority = plan.priority},
                            .started_at = clock_.Now()};
  }
  BeginOrHold(call, {.plan = plan, .message = std::move(message)});
  return [this, call] { OnDisconnect(call); };
}

// Begins the call, or holds it until the quota of its workspace admits it.
void caller_gate::BeginOrHold(std::uint64_t call, held_call held) {
  const std::string workspace = held.plan.workspace;
  if (quotas_ == nullptr || workspace.empty()) {
    begin_call_(call, held.plan, std::move(held.message));
    return;
  }
  const duration max_wait =
      std::min(kMaxQuotaWait, held.plan.deadline / kQuotaWaitDivisor);
  {
    // Held before the quota is asked, as its decision may come at any time.
    const std::lock_guard lock(mutex_);
    pending_calls_[call].held = std::move(held);
  }
  const quota_decision decision = quotas_->Admit(call, workspace, max_wait);
  if (decision.verdict != quota_verdict::kWaiting) {
    OnQuotaDecision(decision);
  }
}

void caller_gate::OnQuotaDecision(const quota_decision& decision) {
  const std::uint64_t call = decision.request;
  const bool admitted = decision.verdict == quota_verdict::kAdmitted;
  std::optional<held_call> held;
  instant started_at{};
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_calls_.find(call);
    if (found != pending_calls_.end()) {
      held = std::exchange(found->second.held, std::nullopt);
      started_at = found->second.started_at;
      found->second.token = decision.token;
    }
  }
  if (!held) {
    if (admitted) {  // its caller has disconnected
      quotas_->Return(decision.workspace, decision.token);
    }
    return;
  }
  if (!admitted) {
    RefuseByQuota(call, decision);
    return;
  }
  const duration waited = clock_.Now() - started_at;
  held->plan.deadline =
      std::max(held->plan.deadline - waited, duration::zero());
  held->plan.objective =
      std::max(held->plan.objective - waited, duration::zero());
  begin_call_(call, held->plan, std::move(held->message));
  // The caller may have disconnected before the call could be cancelled. The
  // result of a call that has ended already is not affected.
  bool disconnected = false;
  {
    const std::lock_guard lock(mutex_);
    disconnected = !pending_calls_.contains(call);
  }
  if (disconnected) {
    cancel_call_(call);
  }
}

void caller_gate::RefuseByQuota(std::uint64_t call,
                                const quota_decision& decision) {
  auto ended = TakePending(call);
  if (!ended) {
    return;
  }
  const bool used_up = decision.verdict == quota_verdict::kOverQuota;
  ended->token = {};
  EndCall(std::move(*ended),
          {.outcome = call_outcome::kNotRun,
           .reason = used_up ? refusal_reason::kOverQuota
                             : refusal_reason::kQuotaUnknown,
           .status = static_cast<std::uint16_t>(used_up ? 429 : 503),
           .retry_after = decision.retry_after});
}

// Ends a call whose caller has disconnected, and logs it as LogCallEnd() does.
void caller_gate::OnDisconnect(std::uint64_t call) {
  cancel_call_(call);
  const auto taken = TakePending(call);
  if (!taken) {
    return;
  }
  const pending_call& ended = *taken;
  if (ended.held && quotas_ != nullptr) {
    quotas_->Cancel(call, ended.record.workspace);
  }
  LogSteps(ended, TakeSteps(ended.record.request));
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "call",
             "caller disconnected",
             {{"request", ended.record.request},
              {"route", ended.record.route},
              {"service", ended.record.service},
              {"took_ms", (clock_.Now() - ended.started_at).count() / 1000}});
}

void caller_gate::OnCallEvent(const call_event_line& line) {
  const std::lock_guard lock(mutex_);
  steps_by_request_[line.request].push_back({.line = line, .at = clock_.Now()});
}

// Returns the steps of the request's call, and keeps them no longer.
std::vector<caller_gate::call_step> caller_gate::TakeSteps(
    const std::string& request) {
  const std::lock_guard lock(mutex_);
  const auto found = steps_by_request_.find(request);
  if (found == steps_by_request_.end()) {
    return {};
  }
  std::vector<call_step> steps = std::move(found->second);
  steps_by_request_.erase(found);
  return steps;
}

void caller_gate::LogSteps(const pending_call& ended,
                           const std::vector<call_step>& steps) {
  for (const call_step& step : steps) {
    boost::json::object fields = LogFieldsFor(step.line);
    fields["after_ms"] = (step.at - ended.started_at).count() / 1000;
    log_.Write(log_kind::kFailedCall, log_level::kInfo, "call", step.line.event,
               std::move(fields));
  }
}

// Logs the end of a call. A call that failed or took more than one step is
// logged with all its steps; of the other calls, only a sample is logged.
void caller_gate::LogCallEnd(const pending_call& ended) {
  const std::vector<call_step> steps = TakeSteps(ended.record.request);
  const bool succeeded_at_once =
      ended.record.outcome == call_outcome::kAnswer && steps.size() <= 1;
  const log_kind kind =
      succeeded_at_once ? log_kind::kGoodCall : log_kind::kFailedCall;
  if (!succeeded_at_once) {
    LogSteps(ended, steps);
  }
  boost::json::object fields{{"request", ended.record.request},
                             {"route", ended.record.route},
                             {"service", ended.record.service},
                             {"instance", ended.record.instance},
                             {"outcome", NameOf(ended.record.outcome)},
                             {"reason", NameOf(ended.record.reason)},
                             {"status", ended.record.status},
                             {"tries", ended.record.attempts},
                             {"took_ms", ended.record.took.count() / 1000}};
  AddWorkspaceField(fields, ended.record.workspace);
  log_.Write(kind, log_level::kInfo, "call", "ended", std::move(fields));
}

void caller_gate::LogUnfinishedCalls() {
  std::vector<pending_call> unfinished;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [handle, call] : pending_calls_) {
      unfinished.push_back(
          {.record = call.record, .started_at = call.started_at});
    }
  }
  for (const pending_call& call : unfinished) {
    LogSteps(call, TakeSteps(call.record.request));
    log_.Write(log_kind::kFailedCall, log_level::kWarning, "call",
               "cut off by stop",
               {{"request", call.record.request},
                {"route", call.record.route},
                {"service", call.record.service},
                {"took_ms", (clock_.Now() - call.started_at).count() / 1000}});
  }
}

void caller_gate::OnResult(std::uint64_t call, call_result result) {
  auto ended = TakePending(call);
  if (!ended) {
    return;
  }
  if (result.outcome != call_outcome::kAnswer) {
    result.status = StatusFor(result);
  }
  EndCall(std::move(*ended), std::move(result));
}

std::optional<caller_gate::pending_call> caller_gate::TakePending(
    std::uint64_t call) {
  const std::lock_guard lock(mutex_);
  const auto found = pending_calls_.find(call);
  if (found == pending_calls_.end()) {
    return std::nullopt;
  }
  pending_call taken = std::move(found->second);
  pending_calls_.erase(found);
  return taken;
}

// Records the result, which has its status, and responds to the caller.
void caller_gate::EndCall(pending_call ended, call_result result) {
  ended.record.outcome = result.outcome;
  ended.record.reason = result.reason;
  ended.record.attempts = result.attempts;
  ended.record.instance = result.instance;
  ended.record.took = clock_.Now() - ended.started_at;
  const bool answered = result.outcome == call_outcome::kAnswer;
  if (result.outcome == call_outcome::kNotRun && quotas_ != nullptr &&
      ended.token.kind != token_kind::kNone) {
    quotas_->Return(ended.record.workspace, ended.token);
  }
  if (result.outcome == call_outcome::kUnknown &&
      result.reason == refusal_reason::kLeaving) {
    ++cut_off_;
  }
  ended.record.status = result.status;
  metrics_.OnCall(ended.record);
  LogCallEnd(ended);
  if (!answered) {
    ended.reply(BuildRefusal(result, ended.record.request));
    return;
  }
  ended.reply({.status = result.status,
               .headers = std::move(result.headers),
               .body = std::move(result.body),
               .close = draining_});
}

}  // namespace parsleyyard
