#include "daemon/caller_gate.h"

#include "daemon/headers.h"

#include <charconv>

namespace parsleyyard {

namespace {

constexpr std::size_t kMaxPath = 8192;         // as in schema/messages.toml
constexpr std::size_t kMaxHeaderName = 256;    // as in schema/messages.toml
constexpr std::size_t kMaxHeaderValue = 8192;  // as in schema/messages.toml
constexpr std::size_t kMaxName = 64;           // as in schema/messages.toml
constexpr std::size_t kMaxMethod = 32;         // as in schema/messages.toml
constexpr std::size_t kMaxRequestId = 128;

std::uint16_t StatusOf(call_outcome outcome, refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoRoute:
      return 404;
    case refusal_reason::kNotInHomeRegion:
      return 421;
    case refusal_reason::kBadRequest:
      return 400;
    case refusal_reason::kTooDeep:
      return 508;
    case refusal_reason::kDeadlinePassed:
    case refusal_reason::kTimeout:
      return 504;
    default:
      return outcome == call_outcome::kUnknown ? 502 : 503;
  }
}

std::uint64_t NumberIn(const http_request& head, std::string_view name) {
  const std::string* text = head.Find(name);
  std::uint64_t number = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

std::string PathOf(const http_request& head) {
  return head.target.substr(0, head.target.find('?'));
}

}  // namespace

void caller_gate::Connect(begin_function begin, cancel_function cancel) {
  begin_ = std::move(begin);
  cancel_ = std::move(cancel);
}

std::size_t caller_gate::in_flight() const {
  const std::lock_guard lock(mutex_);
  return waiting_.size();
}

std::string caller_gate::NewRequestId() {
  return std::to_string(incarnation_) + "-" + std::to_string(++last_call_);
}

// The bounds of the messages between daemons, which the call must fit.
std::optional<refusal_reason> caller_gate::CheckBounds(
    const http_request& head) const {
  const bool path_fits =
      head.target.starts_with('/') && head.target.size() <= kMaxPath;
  bool fits = path_fits && head.method.size() <= kMaxMethod;
  for (const call_header& header : head.headers) {
    fits = fits && header.name.size() <= kMaxHeaderName &&
           header.value.size() <= kMaxHeaderValue;
  }
  const std::string* workspace_name = head.Find(kWorkspaceHeader);
  fits =
      fits && (workspace_name == nullptr || workspace_name->size() <= kMaxName);
  const std::string* id = head.Find(kRequestHeader);
  fits = fits && (id == nullptr || id->size() <= kMaxRequestId);
  return fits ? std::nullopt : std::optional(refusal_reason::kBadRequest);
}

head_verdict caller_gate::Decide(const http_request& head) const {
  const std::string* workspace_name = head.Find(kWorkspaceHeader);
  const request_facts facts{
      .method = head.method,
      .path = PathOf(head),
      .workspace = workspace_name ? *workspace_name : "",
      .depth = static_cast<std::uint32_t>(NumberIn(head, kDepthHeader)),
      .deadline = std::chrono::milliseconds(NumberIn(head, kDeadlineHeader))};
  return DecideHead(*view_.Current(), facts, settings_.host.region,
                    settings_.calls.max_depth);
}

http_response caller_gate::Refusal(call_outcome outcome,
                                   refusal_reason reason,
                                   const std::string& request) const {
  const std::uint16_t status = StatusOf(outcome, reason);
  http_response response{
      .status = status,
      .headers = {{.name = "content-type", .value = "text/plain"},
                  {.name = std::string(kOutcomeHeader),
                   .value = std::string(NameOf(outcome))},
                  {.name = std::string(kReasonHeader),
                   .value = std::string(NameOf(reason))},
                  {.name = std::string(kRequestHeader), .value = request}},
      .body = std::string(NameOf(outcome)) + ": " +
              std::string(NameOf(reason)) + "\n",
      .close = draining_};
  if (status == 503) {
    response.headers.push_back({.name = "retry-after", .value = "1"});
  }
  return response;
}

http_response caller_gate::RefuseHead(const http_request& head,
                                      refusal_reason reason,
                                      const head_verdict& verdict) {
  const std::string* own_id = head.Find(kRequestHeader);
  const std::string request =
      own_id && own_id->size() <= kMaxRequestId ? *own_id : NewRequestId();
  metrics_.OnCall({.request = request,
                   .service = verdict.plan.service,
                   .route = verdict.plan.route,
                   .outcome = call_outcome::kNotRun,
                   .reason = reason});
  http_response response = Refusal(call_outcome::kNotRun, reason, request);
  std::string homes;
  for (const host_address& host : verdict.home_hosts) {
    homes += (homes.empty() ? "" : ", ") + host;
  }
  if (!homes.empty()) {
    response.headers.push_back(
        {.name = std::string(kHomeHeader), .value = homes});
  }
  return response;
}

std::optional<http_response> caller_gate::OnHead(const http_request& head) {
  if (const auto problem = CheckBounds(head)) {
    return RefuseHead(head, *problem, {});
  }
  const refusal_reason closed =
      refusing_ ? refusal_reason::kLeaving : view_.MayAdmit(clock_.Now());
  if (closed != refusal_reason::kNone) {
    return RefuseHead(head, closed, {});
  }
  const head_verdict verdict = Decide(head);
  if (verdict.refusal != refusal_reason::kNone) {
    return RefuseHead(head, verdict.refusal, verdict);
  }
  return std::nullopt;
}

std::function<void()> caller_gate::OnRequest(http_request request,
                                             http_reply reply) {
  const head_verdict verdict = Decide(request);
  const std::string* own_id = request.Find(kRequestHeader);
  const std::string id = own_id ? *own_id : NewRequestId();
  if (verdict.refusal != refusal_reason::kNone) {
    reply(RefuseHead(request, verdict.refusal, verdict));
    return nullptr;
  }
  call_request message{.method = request.method,
                       .path = request.target,
                       .headers = EndToEnd(request.headers)};
  SetHeader(message.headers, kRequestHeader, id);
  message.body = std::move(request.body);
  const std::uint64_t call = ++last_call_;
  {
    const std::lock_guard lock(mutex_);
    waiting_[call] = {.reply = std::move(reply),
                      .record = {.request = id,
                                 .service = verdict.plan.service,
                                 .route = verdict.plan.route,
                                 .priority = verdict.plan.priority},
                      .began = clock_.Now()};
  }
  begin_(call, verdict.plan, std::move(message));
  return [this, call] {
    {
      const std::lock_guard lock(mutex_);
      waiting_.erase(call);
    }
    cancel_(call);
  };
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
  ended.record.tries = result.tries;
  ended.record.took = clock_.Now() - ended.began;
  metrics_.OnCall(ended.record);
  if (result.outcome != call_outcome::kAnswer) {
    ended.reply(Refusal(result.outcome, result.reason, ended.record.request));
    return;
  }
  http_response response{.status = result.status,
                         .headers = std::move(result.headers),
                         .body = std::move(result.body),
                         .close = draining_};
  SetHeader(response.headers, kOutcomeHeader, NameOf(call_outcome::kAnswer));
  SetHeader(response.headers, kRequestHeader, ended.record.request);
  ended.reply(std::move(response));
}

}  // namespace parsleyyard
