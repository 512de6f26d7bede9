#include "daemon/caller_gate.h"

namespace parsleyyard {

namespace {

constexpr std::size_t kMaxTarget = 8192;       // as in schema/messages.toml
constexpr std::size_t kMaxHeaderName = 256;    // as in schema/messages.toml
constexpr std::size_t kMaxHeaderValue = 8192;  // as in schema/messages.toml
constexpr std::size_t kMaxMethod = 32;         // as in schema/messages.toml
constexpr std::size_t kMaxRequestId = 200;     // as in schema/messages.toml
// When a caller is asked to come back to a daemon that can't serve yet.
constexpr duration kSoon = std::chrono::milliseconds(200);

constexpr std::string_view kOutcomeHeader =
    "x-parsleyyard-outcome";  // not_run or unknown, in refusals
constexpr std::string_view kReasonHeader =
    "x-parsleyyard-reason";  // a refusal_reason

// A call that has not run is always told so, whatever the reason: the caller
// may try again.
std::uint16_t StatusOf(const call_result& result) {
  switch (result.reason) {
    case refusal_reason::kNoRoute:
      return 404;
    case refusal_reason::kBadRequest:
      return 400;
    default:
      break;
  }
  if (result.outcome == call_outcome::kNotRun) {
    return 503;
  }
  return result.reason == refusal_reason::kTimeout ? 504 : 502;
}

std::string PathOf(const http_request& head) {
  return head.target.substr(0, head.target.find('?'));
}

}  // namespace

boost::json::object FieldsOf(const call_event_line& line) {
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

void caller_gate::Connect(begin_function begin, cancel_function cancel) {
  begin_ = std::move(begin);
  cancel_ = std::move(cancel);
}

std::size_t caller_gate::in_flight() const {
  const std::lock_guard lock(mutex_);
  return waiting_.size();
}

std::string caller_gate::RequestIdOf(const http_request& head) {
  std::string id = dialect_.RequestId(head);
  if (id.empty() || id.size() > kMaxRequestId) {
    id = std::to_string(incarnation_) + "-" + std::to_string(++last_call_);
  }
  return id;
}

// The bounds of the messages between daemons, which the call must fit.
std::optional<refusal_reason> caller_gate::CheckBounds(
    const http_request& head) const {
  const bool target_fits =
      head.target.starts_with('/') && head.target.size() <= kMaxTarget;
  bool fits = target_fits && head.method.size() <= kMaxMethod;
  for (const call_header& header : head.headers) {
    fits = fits && header.name.size() <= kMaxHeaderName &&
           header.value.size() <= kMaxHeaderValue;
  }
  return fits ? std::nullopt : std::optional(refusal_reason::kBadRequest);
}

request_facts caller_gate::FactsOf(const http_request& head) const {
  const std::string* host = head.Find("host");
  return {.virtual_host = host ? *host : "",
          .path = PathOf(head),
          .deadline = dialect_.Deadline(head)};
}

http_response caller_gate::Refusal(const call_result& result,
                                   const std::string& request) const {
  http_response response{
      .status = StatusOf(result),
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
                                      refusal_reason reason) {
  const std::string request = RequestIdOf(head);
  const call_result result{
      .outcome = call_outcome::kNotRun, .reason = reason, .retry_after = kSoon};
  metrics_.OnCall(
      {.request = request, .outcome = call_outcome::kNotRun, .reason = reason});
  const auto view = view_.Current();
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "call", "refused at head",
             {{"request", request},
              {"reason", NameOf(reason)},
              {"path", PathOf(head)},
              {"version", view->config ? view->config->version() : 0}});
  return Refusal(result, request);
}

std::optional<http_response> caller_gate::OnHead(const http_request& head) {
  if (const auto problem = CheckBounds(head)) {
    return RefuseHead(head, *problem);
  }
  if (refusing_) {
    return RefuseHead(head, refusal_reason::kLeaving);
  }
  const auto view = view_.Current();
  if (view->config == nullptr) {
    return RefuseHead(head, refusal_reason::kStarting);
  }
  const request_facts facts = FactsOf(head);
  if (view->config->FindRoute(facts.virtual_host, facts.path) == nullptr) {
    return RefuseHead(head, refusal_reason::kNoRoute);
  }
  return std::nullopt;
}

std::function<void()> caller_gate::OnRequest(http_request request,
                                             response_callback reply) {
  head_decision verdict;
  {
    const std::lock_guard lock(mutex_);
    verdict = DecideHead(*view_.Current(), FactsOf(request), splitter_);
  }
  if (verdict.refusal != refusal_reason::kNone) {
    reply(RefuseHead(request, verdict.refusal));
    return nullptr;
  }
  call_request message{.request_id = RequestIdOf(request),
                       .method = request.method,
                       .target = request.target,
                       .headers = CopyEndToEndHeaders(request.headers)};
  dialect_.SetCaller(message.headers, settings_.upstream.service);
  message.body = std::move(request.body);
  const std::uint64_t call = ++last_call_;
  const std::string request_id = message.request_id;
  {
    const std::lock_guard lock(mutex_);
    waiting_[call] = {.reply = std::move(reply),
                      .record = {.request = request_id,
                                 .service = verdict.plan.service,
                                 .route = verdict.plan.route,
                                 .priority = verdict.plan.priority},
                      .began = clock_.Now()};
  }
  begin_(call, verdict.plan, std::move(message));
  return [this, call, request_id] {
    cancel_(call);
    const std::lock_guard lock(mutex_);
    waiting_.erase(call);
    steps_.erase(request_id);
  };
}

void caller_gate::OnCallEvent(const call_event_line& line) {
  const std::lock_guard lock(mutex_);
  steps_[line.request].push_back({.line = line, .at = clock_.Now()});
}

// All steps of a call that failed; a sample of the others.
void caller_gate::LogEnd(const waiting_call& ended) {
  std::vector<traced_step> steps;
  {
    const std::lock_guard lock(mutex_);
    const auto found = steps_.find(ended.record.request);
    if (found != steps_.end()) {
      steps = std::move(found->second);
      steps_.erase(found);
    }
  }
  const bool good =
      ended.record.outcome == call_outcome::kAnswer && steps.size() <= 1;
  const log_kind kind = good ? log_kind::kGoodCall : log_kind::kFailedCall;
  for (const traced_step& step : steps) {
    boost::json::object fields = FieldsOf(step.line);
    fields["after_ms"] = (step.at - ended.began).count() / 1000;
    if (!good) {
      log_.Write(kind, log_level::kInfo, "call", step.line.event,
                 std::move(fields));
    }
  }
  log_.Write(kind, log_level::kInfo, "call", "ended",
             {{"request", ended.record.request},
              {"route", ended.record.route},
              {"service", ended.record.service},
              {"instance", ended.record.instance},
              {"outcome", NameOf(ended.record.outcome)},
              {"reason", NameOf(ended.record.reason)},
              {"status", ended.record.status},
              {"tries", ended.record.tries},
              {"took_ms", ended.record.took.count() / 1000}});
}

void caller_gate::OnResult(std::uint64_t call, call_result result) {
  waiting_call ended;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(call);
    if (found == waiting_.end()) {
      return;
    }
    ended = std::move(found->second);
    waiting_.erase(found);
  }
  ended.record.outcome = result.outcome;
  ended.record.reason = result.reason;
  ended.record.tries = result.attempts;
  ended.record.instance = result.instance;
  ended.record.took = clock_.Now() - ended.began;
  const bool answered = result.outcome == call_outcome::kAnswer;
  ended.record.status = answered ? result.status : StatusOf(result);
  metrics_.OnCall(ended.record);
  LogEnd(ended);
  if (!answered) {
    ended.reply(Refusal(result, ended.record.request));
    return;
  }
  ended.reply({.status = result.status,
               .headers = std::move(result.headers),
               .body = std::move(result.body),
               .close = draining_});
}

}  // namespace parsleyyard
