// One connection of the HTTP server. Serves its requests one at a time.

#include "net/http_server_internals.h"
#include "net/read_body.h"
#include "net/socket_peek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <mutex>
#include <unordered_set>

namespace parsleyyard {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);

// Turns a target in absolute form, which names the host too, into path and
// query. That host replaces the one of the field.
void ConvertToOriginForm(http_request& head) {
  constexpr std::string_view kScheme = "http://";
  const std::string_view target = head.target;
  if (!beast::iequals(target.substr(0, kScheme.size()), kScheme)) {
    return;
  }
  const std::string_view rest = target.substr(kScheme.size());
  const std::size_t host_size = std::min(rest.find_first_of("/?"), rest.size());
  const std::string host(rest.substr(0, host_size));
  std::string path(rest.substr(host_size));
  if (!path.starts_with('/')) {
    const bool whole_server = path.empty() && head.method == "OPTIONS";
    path = (whole_server ? '*' : '/') + path;
  }
  head.target = std::move(path);
  SetHeader(head.headers, "Host", host);
}

http_request CopyHead(const request_parser& parser) {
  http_request head{.method = std::string(parser.get().method_string()),
                    .target = std::string(parser.get().target())};
  for (const auto& field : parser.get()) {
    head.headers.push_back({.name = std::string(field.name_string()),
                            .value = std::string(field.value())});
  }
  ConvertToOriginForm(head);
  return head;
}

// A response for a request that was not run. Closes the connection.
http_response BuildNotRunResponse(std::uint16_t status, std::string text) {
  return {.status = status,
          .headers = {{.name = "content-type", .value = "text/plain"},
                      {.name = "x-parsleyyard-outcome", .value = "not_run"}},
          .body = std::move(text) + "\n",
          .close = true};
}

// Why a request is rejected whose reading ended with `error`.
http_rejection ClassifyReadError(const beast::error_code& error,
                                 bool timed_out) {
  http_rejection rejection{.status = 400,
                           .cause = rejection_cause::kMalformed,
                           .detail = error.message()};
  if (timed_out) {
    rejection.status = 408;
    rejection.cause = rejection_cause::kTooSlow;
  } else if (error == http::error::header_limit) {
    rejection.status = 431;
    rejection.cause = rejection_cause::kHeadTooLarge;
  } else if (error == http::error::body_limit) {
    rejection.status = 413;
    rejection.cause = rejection_cause::kBodyTooLarge;
  } else if (error == http::error::buffer_overflow) {
    rejection.status = 503;
    rejection.cause = rejection_cause::kFramingTooLarge;
  }
  return rejection;
}

std::string RejectionText(const http_rejection& rejection) {
  switch (rejection.cause) {
    case rejection_cause::kHeadTooLarge:
      return "The request head is too large.";
    case rejection_cause::kTooManyFields:
      return "The request has too many header fields.";
    case rejection_cause::kBodyTooLarge:
      return "The request body is too large.";
    case rejection_cause::kFramingTooLarge:
      return "The framing of the request body is too large.";
    case rejection_cause::kTooSlow:
      return "The request did not arrive in time.";
    case rejection_cause::kMalformed:
      break;
  }
  return "The request is malformed: " + rejection.detail + ".";
}

bool IsDisconnect(const beast::error_code& error) {
  return error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::operation_aborted;
}

}  // namespace

asio::awaitable<void> http_session::Run() {
  while (co_await ServeRequest()) {
  }
  beast::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  co_await DiscardInput();
}

void http_session::CloseIfIdle() {
  asio::post(stream_.get_executor(), [weak = weak_from_this()] {
    const std::shared_ptr<http_session> self = weak.lock();
    if (self != nullptr && self->awaiting_request_) {
      self->wakeup_.cancel();
    }
  });
}

// Starts a timeout that cancels the pending operations of the socket after
// `limit`. It replaces an earlier one. The timeout of beast::tcp_stream would
// close the socket, so that no 408 could be sent.
void http_session::StartTimeout(duration limit) {
  timed_out_ = false;
  timeout_timer_.expires_after(limit);
  timeout_timer_.async_wait(
      [self = shared_from_this(),
       generation = ++timeout_generation_](const beast::error_code& error) {
        if (!error && generation == self->timeout_generation_) {
          self->timed_out_ = true;
          beast::error_code ignored;
          self->stream_.socket().cancel(ignored);
        }
      });
}

void http_session::CancelTimeout() {
  ++timeout_generation_;
  timeout_timer_.cancel();
}

// Waits for the first byte of a request. False if the connection must be closed
// instead, after the idle timeout or at a graceful stop.
asio::awaitable<bool> http_session::AwaitRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  readable_ = false;
  awaiting_request_ = true;
  wakeup_.expires_after(limits_.idle_timeout);
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        if (!error && self->awaiting_request_) {
          self->readable_ = true;
          self->wakeup_.cancel();
        }
      });
  if (!server_->closing_idle_) {
    co_await wakeup_.async_wait(kNothrowAwaitable);
  }
  awaiting_request_ = false;
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return readable_ || Peek(stream_.socket()) != peek_result::kNoData;
}

// Serves the next request. False if the connection must be closed.
asio::awaitable<bool> http_session::ServeRequest() {
  const http_server_options& options = server_->options_;
  limits_ = options.limits();
  if (!co_await AwaitRequest()) {
    // At a graceful stop the caller may send a request before it notices the
    // close. The 408 states that the request was not run.
    if (server_->closing_idle_) {
      co_await Write(BuildNotRunResponse(408, "The server is stopping."), 11,
                     false, false);
    }
    co_return false;
  }
  limits_ = options.limits();
  // The buffer may hold pipelined requests that arrived under larger limits.
  buffer_.max_size(
      std::max({kMaxBufferedBytes, limits_.max_header_bytes, buffer_.size()}));
  request_parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser.body_limit(limits_.max_body_bytes);
  StartTimeout(limits_.header_timeout);
  auto [head_error, head_size] = co_await http::async_read_header(
      stream_, buffer_, parser, kNothrowAwaitable);
  const bool no_request =
      head_error && (!parser.got_some() || IsDisconnect(head_error));
  if (no_request && !timed_out_) {
    co_return false;
  }
  if (head_error) {
    http_rejection rejection = ClassifyReadError(head_error, timed_out_);
    rejection.head = CopyHead(parser);
    co_return co_await Reject(std::move(rejection), 11, false);
  }
  const unsigned version = parser.get().version();
  http_request request = CopyHead(parser);
  const bool head_only = request.method == "HEAD";
  if (request.headers.size() > options.max_header_fields) {
    http_rejection too_many{.status = 431,
                            .cause = rejection_cause::kTooManyFields,
                            .head = std::move(request)};
    co_return co_await Reject(std::move(too_many), version, head_only);
  }
  std::optional<http_response> rejection = server_->handler_.OnHead(request);
  if (rejection) {
    rejection->close = true;
    co_return co_await Write(std::move(*rejection), version, false, head_only);
  }
  if (!co_await ReadRequestBody(parser)) {
    co_return false;
  }
  // A caller may have closed the connection while this process was paused. Its
  // request is not run.
  if (buffer_.size() == 0 && Peek(stream_.socket()) == peek_result::kClosed) {
    co_return false;
  }
  const bool keep_alive = parser.get().keep_alive();
  request.body = std::move(parser.get().body());
  CancelTimeout();
  std::optional<http_response> response =
      co_await CallHandler(std::move(request));
  if (!response) {
    co_return false;
  }
  co_return co_await Write(std::move(*response), version, keep_alive,
                           head_only);
}

// False if the body did not arrive whole. A response has been sent then, unless
// the caller closed the connection.
asio::awaitable<bool> http_session::ReadRequestBody(request_parser& parser) {
  if (parser.is_done()) {
    co_return true;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_,
                                             parser.get().version());
    auto [error, size] =
        co_await http::async_write(stream_, proceed, kNothrowAwaitable);
    if (error) {
      co_return false;
    }
  }
  StartTimeout(limits_.idle_timeout);
  const beast::error_code error = co_await ReadBody(
      stream_, buffer_, parser, limits_.max_body_bytes, nullptr);
  if (error && (timed_out_ || !IsDisconnect(error))) {
    http_rejection rejection = ClassifyReadError(error, timed_out_);
    rejection.head = CopyHead(parser);
    co_await Reject(std::move(rejection), parser.get().version(), false);
  }
  co_return !error;
}

// Ends a request without the handler's decision. Always false: the connection
// is closed.
asio::awaitable<bool> http_session::Reject(http_rejection rejection,
                                           unsigned version,
                                           bool head_only) {
  rejection.limits = limits_;
  std::optional<http_response> response =
      server_->handler_.OnRejected(rejection);
  if (!response) {
    response = BuildNotRunResponse(rejection.status, RejectionText(rejection));
  }
  response->close = true;
  co_return co_await Write(std::move(*response), version, false, head_only);
}

// Passes a request to the handler and waits for the response. Empty if the
// caller closes the connection first.
asio::awaitable<std::optional<http_response>> http_session::CallHandler(
    http_request request) {
  response_.reset();
  wakeup_.expires_at(asio::steady_timer::time_point::max());
  auto self = shared_from_this();
  response_callback reply = [self](http_response response) {
    asio::post(self->stream_.get_executor(),
               [self, response = std::move(response)]() mutable {
                 self->response_ = std::move(response);
                 self->wakeup_.cancel();
               });
  };
  const std::function<void()> abort_request =
      server_->handler_.OnRequest(std::move(request), std::move(reply));
  WatchForClose();
  while (!response_ && !caller_closed_) {
    co_await wakeup_.async_wait(kNothrowAwaitable);
  }
  if (!response_ && abort_request) {
    abort_request();
  }
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return std::move(response_);
}

// Detects that the caller closes the connection before the response is there.
void http_session::WatchForClose() {
  if (buffer_.size() > 0) {
    return;
  }
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        if (error || self->response_) {
          return;
        }
        const peek_result peeked = Peek(self->stream_.socket());
        if (peeked == peek_result::kNoData) {
          self->WatchForClose();
        } else if (peeked == peek_result::kClosed) {
          self->caller_closed_ = true;
          self->wakeup_.cancel();
        }
      });
}

// Writes a response, without its body if `head_only`. True if the connection
// may carry another request.
asio::awaitable<bool> http_session::Write(http_response response,
                                          unsigned version,
                                          bool keep_alive,
                                          bool head_only) {
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), version);
  for (const call_header& header : response.headers) {
    message.insert(header.name, header.value);
  }
  const bool keep = keep_alive && !response.close && !server_->stopping_;
  message.keep_alive(keep);
  message.body() = std::move(response.body);
  message.prepare_payload();
  if (head_only) {
    message.body().clear();
  }
  http::response_serializer<http::string_body> serializer(message);
  serializer.split(head_only);
  StartTimeout(limits_.idle_timeout);
  if (head_only) {
    auto [error, size] = co_await http::async_write_header(stream_, serializer,
                                                           kNothrowAwaitable);
    co_return !error && keep;
  }
  auto [error, size] =
      co_await http::async_write(stream_, serializer, kNothrowAwaitable);
  co_return !error && keep;
}

// Reads and discards what the caller still sends. Closing a socket with unread
// data resets the connection, possibly before the caller has read the response.
asio::awaitable<void> http_session::DiscardInput() {
  constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
  constexpr auto kDiscardTimeout = std::chrono::seconds(1);
  StartTimeout(kDiscardTimeout);
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardedBytes) {
    buffer_.clear();
    auto [error, size] = co_await stream_.async_read_some(
        buffer_.prepare(16384), kNothrowAwaitable);
    if (error) {
      break;
    }
    discarded += size;
  }
  CancelTimeout();
}

}  // namespace parsleyyard
