#include "daemon/upstream_runner.h"

#include "daemon/headers.h"

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxHeaderName = 256;    // as in schema/messages.toml
constexpr std::size_t kMaxHeaderValue = 8192;  // as in schema/messages.toml
constexpr std::size_t kMaxHeaders = 100;       // as in schema/messages.toml

bool FitsMessage(const std::vector<call_header>& headers) {
  const bool each = std::all_of(headers.begin(), headers.end(),
                                [](const call_header& header) {
                                  return header.name.size() <= kMaxHeaderName &&
                                         header.value.size() <= kMaxHeaderValue;
                                });
  return each && headers.size() <= kMaxHeaders;
}

std::string ValueOf(const http_response& response, std::string_view name) {
  const http_request as_request{.headers = response.headers};
  const std::string* found = as_request.Find(name);
  return found ? *found : "";
}

// True if the upstream says that it did not run the call: it sheds load, or
// it was closing an idle connection when the call arrived on it.
bool SaysNotRun(const http_response& response) {
  constexpr std::uint16_t kRequestTimeout = 408;
  return ValueOf(response, kShedHeader) == "not-run" ||
         (response.status == kRequestTimeout &&
          ValueOf(response, kOutcomeHeader) == NameOf(call_outcome::kNotRun));
}

upstream_result ToResult(http_exchange exchange) {
  http_response& response = exchange.response;
  upstream_result result{.sent = exchange.sent,
                         .complete = exchange.complete,
                         .reset = exchange.reset,
                         .shed = SaysNotRun(response),
                         .status = response.status,
                         .instance_id = ValueOf(response, kInstanceHeader),
                         .draining = ValueOf(response, kDrainHeader) == "1"};
  result.headers = EndToEnd(response.headers);
  result.complete = result.complete && FitsMessage(result.headers);
  result.body = std::move(response.body);
  return result;
}

}  // namespace

void upstream_runner::Connect(done_function done, probe_function probed) {
  done_ = std::move(done);
  probed_ = std::move(probed);
}

// The connection of the load endpoint is in steady use, so that only the end of
// the upstream's process closes it while it is idle.
http_client_options upstream_runner::WithWatch(http_client_options options) {
  options.may_send = nullptr;
  options.on_idle_closed = [this] { probed_({.sent = true, .reset = true}); };
  return options;
}

void upstream_runner::Run(const call_id& id,
                          std::shared_ptr<const call_request> message,
                          duration time_left) {
  http_request request{.method = message->method,
                       .target = message->path,
                       .headers = message->headers};
  request.body = message->body;
  SetHeader(request.headers, kDepthHeader, std::to_string(message->depth + 1));
  SetHeader(request.headers, kDeadlineHeader,
            std::to_string(time_left.count() / 1000));
  const std::lock_guard lock(mutex_);
  running_[{id.origin, id.sequence}] = client_.Request(
      std::move(request), time_left, [this, id](http_exchange exchange) {
        {
          const std::lock_guard inner(mutex_);
          running_.erase({id.origin, id.sequence});
        }
        done_(id, ToResult(std::move(exchange)));
      });
}

void upstream_runner::Cancel(const call_id& id) {
  const std::lock_guard lock(mutex_);
  const auto found = running_.find({id.origin, id.sequence});
  if (found != running_.end()) {
    found->second();
  }
}

void upstream_runner::Probe() {
  if (probing_.exchange(true)) {
    return;
  }
  http_request request{.method = "GET", .target = "/upstream/load"};
  probe_client_.Request(std::move(request), kProbeTimeout,
                        [this](http_exchange exchange) {
                          probing_ = false;
                          probed_(ToResult(std::move(exchange)));
                        });
}

}  // namespace parsleyyard
