#include "daemon/upstream_runner.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Time past the deadline for which the response is awaited. The instance itself
// responds at the deadline, and receiving that response keeps the connection
// reusable.
constexpr duration kResponseGracePeriod = std::chrono::milliseconds(60);
constexpr duration kProbeTimeout = std::chrono::milliseconds(500);
// Each header field of a response takes four bytes at least, so that the head
// of any response fits a call_answer.
static_assert(kMaxResponseHeadBytes / 4 <= kMaxCallAnswerHeaders);
static_assert(kMaxResponseHeadBytes <= kMaxCallHeaderName);
static_assert(kMaxResponseHeadBytes <= kMaxCallHeaderValue);

http_client_options WithinMessageLimits(http_client_options options) {
  options.max_body_bytes = std::min(options.max_body_bytes, kMaxCallAnswerBody);
  return options;
}

upstream_result ToUpstreamResult(http_exchange exchange,
                                 const response_info& info) {
  http_response& response = exchange.response;
  upstream_result result{.sent = exchange.sent,
                         .not_run = exchange.complete && info.not_run,
                         .wrong_instance = info.wrong_instance,
                         .cancelled = exchange.aborted,
                         .timed_out = exchange.timed_out,
                         .status = response.status};
  result.headers = CopyEndToEndHeaders(response.headers);
  result.complete = exchange.complete && info.authentic;
  result.body = std::move(response.body);
  if (exchange.complete && info.authentic) {
    result.load = info.load;
  }
  return result;
}

}  // namespace

upstream_runner::upstream_runner(asio::io_context& context,
                                 const http_client_options& options,
                                 const http_dialect& dialect)
    : dialect_(dialect), client_(context, WithinMessageLimits(options)) {}

void upstream_runner::SetCallbacks(write_function may_write,
                                   result_function on_result,
                                   health_report_function on_health_report,
                                   health_path_function health_path) {
  may_write_ = std::move(may_write);
  on_result_ = std::move(on_result);
  on_health_report_ = std::move(on_health_report);
  health_path_ = std::move(health_path);
}

void upstream_runner::OnDone(const call_id& id, http_exchange exchange) {
  {
    const std::lock_guard lock(mutex_);
    running_.erase({id.origin, id.sequence});
  }
  const response_info info = exchange.complete
                                 ? dialect_.ParseResponse(exchange.response)
                                 : response_info();
  on_result_(id, ToUpstreamResult(std::move(exchange), info));
}

void upstream_runner::Run(const call_id& id,
                          std::shared_ptr<const call_request> message,
                          duration time_left) {
  http_request request{.method = message->method,
                       .target = message->target,
                       .headers = message->headers,
                       .body = message->body};
  dialect_.SetTarget(request.headers, message->instance, time_left);
  exchange_options options{
      .timeout = time_left + kResponseGracePeriod,
      .matches_request =
          [this,
           request_id = message->request_id](const http_response& response) {
            return dialect_.MatchesRequest(response, request_id);
          },
      .may_send = [this, id] { return may_write_(id); }};
  const std::lock_guard lock(mutex_);
  running_[{id.origin, id.sequence}] = client_.Request(
      std::move(request), std::move(options),
      [this, id](http_exchange exchange) { OnDone(id, std::move(exchange)); });
}

void upstream_runner::Cancel(const call_id& id) {
  const std::lock_guard lock(mutex_);
  const auto found = running_.find({id.origin, id.sequence});
  if (found != running_.end()) {
    found->second();
  }
}

void upstream_runner::Probe() {
  http_request request{.method = "GET", .target = health_path_()};
  client_.Request(std::move(request), {.timeout = kProbeTimeout},
                  [this](const http_exchange& exchange) {
                    if (!exchange.complete) {
                      return on_health_report_({});
                    }
                    const health_info info =
                        dialect_.ParseHealthResponse(exchange.response);
                    on_health_report_({.reachable = true,
                                       .healthy = info.healthy,
                                       .instance = info.instance,
                                       .cold_left = info.cold_left,
                                       .load = info.load});
                  });
}

}  // namespace parsleyyard
