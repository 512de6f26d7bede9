// One connection of the HTTP server: its requests, one at a time.

#include "net/body_buffer.h"
#include "net/http_server_internals.h"
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
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr const char* kLateRequest = "The request did not arrive in time.";

http_request HeadOf(const request_parser& parser) {
  http_request head{.method = std::string(parser.get().method_string()),
                    .target = std::string(parser.get().target())};
  for (const auto& field : parser.get()) {
    head.headers.push_back({.name = std::string(field.name_string()),
                            .value = std::string(field.value())});
  }
  return head;
}

http_response Plain(std::uint16_t status, std::string text) {
  return {.status = status,
          .headers = {{.name = "content-type", .value = "text/plain"},
                      {.name = "x-parsleyyard-outcome", .value = "not_run"}},
          .body = std::move(text) + "\n",
          .close = true};
}

// The status for a request that the parser refused.
http_response ParseFailure(const beast::error_code& error) {
  if (error == http::error::header_limit) {
    return Plain(431, "The request head is too large.");
  }
  if (error == http::error::body_limit) {
    return Plain(413, "The request body is too large.");
  }
  return Plain(400, "The request is malformed: " + error.message() + ".");
}

bool IsPeerGone(const beast::error_code& error) {
  return error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::operation_aborted;
}

}  // namespace

asio::awaitable<void> http_session::Run() {
  while (co_await ServeOne()) {
  }
  beast::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  co_await Linger();
}

void http_session::CloseIfIdle() {
  asio::post(stream_.get_executor(), [weak = weak_from_this()] {
    const std::shared_ptr<http_session> self = weak.lock();
    if (self != nullptr && self->awaits_request_) {
      self->answered_.cancel();
    }
  });
}

// Cancels the current operation of the stream when the time is over. The
// stream's own limit would close the socket, so that no 408 could be sent.
void http_session::LimitTo(duration longest) {
  timed_out_ = false;
  watchdog_.expires_after(longest);
  watchdog_.async_wait([self = shared_from_this(),
                        limit = ++limit_](const beast::error_code& error) {
    if (!error && limit == self->limit_) {
      self->timed_out_ = true;
      beast::error_code ignored;
      self->stream_.socket().cancel(ignored);
    }
  });
}

void http_session::Unlimit() {
  ++limit_;
  watchdog_.cancel();
}

// True once something of a request is there; false if the connection is to be
// closed first, after a long wait or a planned stop.
asio::awaitable<bool> http_session::AwaitRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  readable_ = false;
  awaits_request_ = true;
  answered_.expires_after(limits_.idle_timeout);
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        if (!error && self->awaits_request_) {
          self->readable_ = true;
          self->answered_.cancel();
        }
      });
  if (!server_->closing_idle_) {
    co_await answered_.async_wait(kTuple);
  }
  awaits_request_ = false;
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return readable_ || Peek(stream_.socket()) != peek_result::kQuiet;
}

asio::awaitable<bool> http_session::ServeOne() {
  const http_server_options& options = server_->options_;
  limits_ = options.limits();
  if (!co_await AwaitRequest()) {
    // At a planned stop a request may cross the end of the connection.
    if (server_->closing_idle_) {
      co_await Write(Plain(408, "The server is stopping."), 11, false, false);
    }
    co_return false;
  }
  limits_ = options.limits();
  request_parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.max_head));
  parser.body_limit(limits_.max_body);
  LimitTo(limits_.head_timeout);
  auto [head_error, head_size] =
      co_await http::async_read_header(stream_, buffer_, parser, kTuple);
  if (head_error && timed_out_) {
    co_return co_await Write(Plain(408, kLateRequest), 11, false, false);
  }
  const bool nothing_sent = head_error && !parser.got_some();
  if (nothing_sent || (head_error && IsPeerGone(head_error))) {
    co_return false;
  }
  if (head_error) {
    co_return co_await Write(ParseFailure(head_error), 11, false, false);
  }
  const unsigned version = parser.get().version();
  http_request request = HeadOf(parser);
  const bool head_only = request.method == "HEAD";
  if (request.headers.size() > options.max_header_fields) {
    co_return co_await Write(
        Plain(431, "The request has too many header fields."), version, false,
        head_only);
  }
  std::optional<http_response> early = server_->handler_.OnHead(request);
  if (early) {
    early->close = true;
    co_return co_await Write(std::move(*early), version, false, head_only);
  }
  if (!co_await ReadBody(parser)) {
    co_return false;
  }
  // A caller that gave up while this process was paused wants no work done.
  if (buffer_.size() == 0 && Peek(stream_.socket()) == peek_result::kClosed) {
    co_return false;
  }
  const bool keep_alive = parser.get().keep_alive();
  request.body = std::move(parser.get().body());
  Unlimit();
  std::optional<http_response> response = co_await Ask(std::move(request));
  if (!response) {
    co_return false;
  }
  co_return co_await Write(std::move(*response), version, keep_alive,
                           head_only);
}

asio::awaitable<bool> http_session::ReadBody(request_parser& parser) {
  if (parser.is_done()) {
    co_return true;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_,
                                             parser.get().version());
    auto [error, size] = co_await http::async_write(stream_, proceed, kTuple);
    if (error) {
      co_return false;
    }
  }
  LimitTo(limits_.idle_timeout);
  ReserveForBody(buffer_, parser.content_length());
  auto [error, size] =
      co_await http::async_read(stream_, buffer_, parser, kTuple);
  ReleaseBody(buffer_);
  if (error && timed_out_) {
    co_await Write(Plain(408, kLateRequest), parser.get().version(), false,
                   false);
  } else if (error && !IsPeerGone(error)) {
    co_await Write(ParseFailure(error), parser.get().version(), false, false);
  }
  co_return !error;
}

// Waits for the handler's answer; nothing if the caller goes away first.
asio::awaitable<std::optional<http_response>> http_session::Ask(
    http_request request) {
  response_.reset();
  answered_.expires_at(asio::steady_timer::time_point::max());
  auto self = shared_from_this();
  response_callback reply = [self](http_response response) {
    asio::post(self->stream_.get_executor(),
               [self, response = std::move(response)]() mutable {
                 self->response_ = std::move(response);
                 self->answered_.cancel();
               });
  };
  const std::function<void()> give_up =
      server_->handler_.OnRequest(std::move(request), std::move(reply));
  WatchForClose();
  while (!response_ && !gone_) {
    co_await answered_.async_wait(kTuple);
  }
  if (!response_ && give_up) {
    give_up();
  }
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return std::move(response_);
}

// Notices that the caller closes the connection before its answer is there.
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
        const peek_result seen = Peek(self->stream_.socket());
        if (seen == peek_result::kQuiet) {
          self->WatchForClose();
        } else if (seen == peek_result::kClosed) {
          self->gone_ = true;
          self->answered_.cancel();
        }
      });
}

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
  LimitTo(limits_.idle_timeout);
  if (head_only) {
    auto [error, size] =
        co_await http::async_write_header(stream_, serializer, kTuple);
    co_return !error && keep;
  }
  auto [error, size] = co_await http::async_write(stream_, serializer, kTuple);
  co_return !error && keep;
}

// Drops what the caller still sends, so that closing does not reset the
// connection before the caller has read the answer.
asio::awaitable<void> http_session::Linger() {
  constexpr std::size_t kMostDropped = std::size_t{256} * 1024;
  constexpr auto kLongest = std::chrono::seconds(1);
  LimitTo(kLongest);
  std::size_t dropped = 0;
  while (dropped < kMostDropped) {
    buffer_.clear();
    auto [error, size] =
        co_await stream_.async_read_some(buffer_.prepare(16384), kTuple);
    if (error) {
      break;
    }
    dropped += size;
  }
  Unlimit();
}

}  // namespace parsleyyard
