#include "daemon/caller_gate.h"

namespace parsleyyard {

namespace {

// Limits on message fields; must match schema/messages.toml.
constexpr std::size_t kMaxHeadFieldBytes = 65536;
constexpr std::size_t kMaxRequestIdBytes = 200;
// Retry-after for a request that gave way for lack of memory. Requests that are
// slower or larger leave within this time.
constexpr duration kMemoryRetryAfter = std::chrono::seconds(1);
// Retry-after for a request that is refused by its head, for example while
// the daemon has no configuration yet.
constexpr duration kHeadRefusalRetryAfter = std::chrono::milliseconds(200);

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
  return reason == refusal_reason::kNoRoute ? 404 : 503;
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
  if (id.empty() || id.size() > kMaxRequestIdBytes) {
    id = std::to_string(incarnation_) + "-" + std::to_string(++last_call_);
  }
  return id;
}

// Returns the reason for a refusal if the head exceeds the field limits of the
// messages between daemons.
std::optional<refusal_reason> caller_gate::CheckMessageLimits(
    const http_request& head) const {
  bool fits = head.target.size() <= kMaxHeadFieldBytes &&
              head.method.size() <= kMaxHeadFieldBytes;
  for (const call_header& header : head.headers) {
    fits = fits && header.name.size() <= kMaxHeadFieldBytes &&
           header.value.size() <= kMaxHeadFieldBytes;
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
  if (response.status == 503) {
    dialect_.SetRetryAfter(response, result.retry_after);
  }
  return response;
}

http_response caller_gate::RefuseHead(const http_request& head,
                                      refusal_reason reason,
                                      const observed_view& observed) {
  const std::string request = RequestIdFor(head);
  const call_result result{.outcome = call_outcome::kNotRun,
                           .reason = reason,
                           .status = StatusForHead(reason),
                           .retry_after = kHeadRefusalRetryAfter};
  metrics_.OnCall(
      {.request = request, .outcome = call_outcome::kNotRun, .reason = reason});
  boost::json::object fields{{"request", request},
                             {"status", result.status},
                             {"reason", NameOf(reason)},
                             {"path", PathWithoutQuery(head)}};
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
  const refusal_reason refusal =
      CheckHead(*observed.view, observed.age, ExtractFacts(head));
  if (refusal != refusal_reason::kNone) {
    return RefuseHead(head, refusal, observed);
  }
  return std::nullopt;
}

head_decision caller_gate::DecideRequest(const http_request& request,
                                         const observed_view& observed) {
  head_decision decision;
  {
    const std::lock_guard lock(mutex_);
    decision = DecideHead(*observed.view, observed.age, ExtractFacts(request),
                          splitter_);
  }
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
    reply(RefuseHead(request, decision.refusal, observed));
    return nullptr;
  }
  call_request message{.request_id = RequestIdFor(request),
                       .method = request.method,
                       .target = request.target,
                       .headers = CopyEndToEndHeaders(request.headers)};
  dialect_.SetCaller(message.headers, settings_.upstream.service);
  message.body = std::move(request.body);
  const std::uint64_t call = ++last_call_;
  const std::string request_id = message.request_id;
  {
    const std::lock_guard lock(mutex_);
    pending_calls_[call] = {.reply = std::move(reply),
                            .record = {.request = request_id,
                                       .service = decision.plan.service,
                                       .route = decision.plan.route,
                                       .priority = decision.plan.priority},
                            .started_at = clock_.Now()};
  }
  begin_call_(call, decision.plan, std::move(message));
  return [this, call] { OnDisconnect(call); };
}

// Ends a call whose caller has disconnected, and logs it as LogCallEnd() does.
void caller_gate::OnDisconnect(std::uint64_t call) {
  cancel_call_(call);
  pending_call ended;
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_calls_.find(call);
    if (found == pending_calls_.end()) {
      return;
    }
    ended = std::move(found->second);
    pending_calls_.erase(found);
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
  log_.Write(kind, log_level::kInfo, "call", "ended",
             {{"request", ended.record.request},
              {"route", ended.record.route},
              {"service", ended.record.service},
              {"instance", ended.record.instance},
              {"outcome", NameOf(ended.record.outcome)},
              {"reason", NameOf(ended.record.reason)},
              {"status", ended.record.status},
              {"tries", ended.record.attempts},
              {"took_ms", ended.record.took.count() / 1000}});
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
  pending_call ended;
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_calls_.find(call);
    if (found == pending_calls_.end()) {
      return;
    }
    ended = std::move(found->second);
    pending_calls_.erase(found);
  }
  ended.record.outcome = result.outcome;
  ended.record.reason = result.reason;
  ended.record.attempts = result.attempts;
  ended.record.instance = result.instance;
  ended.record.took = clock_.Now() - ended.started_at;
  const bool answered = result.outcome == call_outcome::kAnswer;
  if (!answered) {
    result.status = StatusFor(result);
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
