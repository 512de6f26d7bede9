// HTTP client: keep-alive connections to one server.

#include "net/net.h"
#include "net/read_body.h"
#include "net/socket_peek.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
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
#include <charconv>
#include <mutex>

namespace parsleyyard {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);

struct connection {
  explicit connection(asio::any_io_executor executor)
      : stream(std::move(executor)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  instant reusable_until{};  // valid while the connection is idle
  bool aborted = false;
};
using connection_ptr = std::shared_ptr<connection>;

// A request that is written while the client already reads the response: a
// server may respond before it has read a long body.
struct outgoing_request {
  explicit outgoing_request(const asio::any_io_executor& executor)
      : write_ended(executor, asio::steady_timer::time_point::max()) {}
  http::request<http::string_body> message;
  bool written = false;  // the whole request was written without an error
  bool writing = false;  // the request is being written beside the response
  asio::steady_timer write_ended;  // cancelled when `writing` becomes false
};

// Percentage of the server's keep-alive timeout for which an idle connection
// may be reused. The margin keeps a request from crossing the server's close.
constexpr int kReusePercent = 60;
// A longer keep-alive timeout of a server counts as this.
constexpr duration kMaxKeepAlive = std::chrono::hours(1);
// A request with a body up to this size fits into any socket buffer. It is
// written whole before the response is read.
constexpr std::size_t kMaxAwaitedBodyBytes = 2048;

// Returns true for the status of a final response. 101 is none here, as the
// client never asks for another protocol.
bool IsFinalStatus(unsigned status) {
  return status >= 200 && status < 600;
}

bool IsInterimStatus(unsigned status) {
  return status >= 100 && status < 200 &&
         status != static_cast<unsigned>(http::status::switching_protocols);
}

// Returns true if Beast can tell the body of the response: it ignores any
// transfer encoding but chunked.
template <class Parser>
bool HasKnownFraming(const Parser& parser) {
  return parser.chunked() ||
         parser.get().count(http::field::transfer_encoding) == 0;
}

http::request<http::string_body> ToBeastRequest(http_request request,
                                                const host_address& host) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const call_header& header : request.headers) {
    message.insert(header.name, header.value);
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, host);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

// Parses a number of whole seconds, as a keep-alive field states its timeout.
// A longer time than kMaxKeepAlive counts as that. Empty if it is no number.
std::optional<duration> ParseKeepAliveTimeout(std::string_view text) {
  const char* end = text.data() + text.size();
  std::uint64_t timeout_s = 0;
  const auto [parsed_end, error] = std::from_chars(text.data(), end, timeout_s);
  if (error == std::errc::result_out_of_range) {
    return kMaxKeepAlive;
  }
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(kMaxKeepAlive).count();
  return std::chrono::seconds(std::min(timeout_s, kMaxSeconds));
}

// Returns the time for which an idle connection may be reused: kReusePercent of
// the timeout that the response's keep-alive field states in whole seconds.
// Empty if the field or its timeout is absent or not valid.
std::optional<duration> ParseReuseTime(const http_response& response) {
  const std::string* field = FindHeader(response.headers, "keep-alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> parameters;
  boost::split(parameters, *field, boost::is_any_of(","));
  for (const std::string& parameter : parameters) {
    const std::size_t equals = parameter.find('=');
    const std::string name = boost::trim_copy(parameter.substr(0, equals));
    if (equals == std::string::npos || !beast::iequals(name, "timeout")) {
      continue;
    }
    const auto timeout =
        ParseKeepAliveTimeout(boost::trim_copy(parameter.substr(equals + 1)));
    return timeout ? std::optional(*timeout * kReusePercent / 100)
                   : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

class http_client_internals
    : public std::enable_shared_from_this<http_client_internals> {
 public:
  http_client_internals(asio::io_context& context, http_client_options options)
      : context_(context),
        options_(std::move(options)),
        body_budget_(options_.max_receiving_bytes) {}

  std::function<void()> Request(http_request request,
                                exchange_options options,
                                std::function<void(http_exchange)> done);

 private:
  asio::awaitable<void> RunExchange(connection_ptr conn,
                                    http_request request,
                                    exchange_options options,
                                    http_exchange& exchange);
  asio::awaitable<bool> Connect(connection& conn, http_exchange& exchange);
  asio::awaitable<bool> Send(connection_ptr conn,
                             std::shared_ptr<outgoing_request> outgoing,
                             http_exchange& exchange);
  asio::awaitable<bool> Receive(connection& conn,
                                outgoing_request& outgoing,
                                bool head_only,
                                const exchange_options& options,
                                http_exchange& exchange);
  connection_ptr TakeIdleConnection();
  void KeepIdleConnection(connection_ptr conn, duration reuse_time);

  asio::io_context& context_;
  const http_client_options options_;
  byte_budget body_budget_;
  const monotonic_clock clock_;
  std::mutex mutex_;  // guards idle_; last in the lock order
  std::vector<connection_ptr> idle_;
};

connection_ptr http_client_internals::TakeIdleConnection() {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    connection_ptr candidate = std::move(idle_.back());
    idle_.pop_back();
    if (clock_.Now() < candidate->reusable_until &&
        Peek(candidate->stream.socket()) == peek_result::kNoData) {
      return candidate;
    }
  }
  return nullptr;
}

void http_client_internals::KeepIdleConnection(connection_ptr conn,
                                               duration reuse_time) {
  conn->reusable_until = clock_.Now() + reuse_time;
  const std::lock_guard lock(mutex_);
  if (idle_.size() < options_.max_idle_connections) {
    idle_.push_back(std::move(conn));
  }
}

asio::awaitable<bool> http_client_internals::Connect(connection& conn,
                                                     http_exchange& exchange) {
  boost::system::error_code address_error;
  const auto address =
      asio::ip::make_address_v4(options_.address, address_error);
  if (address_error) {
    exchange.error =
        "can't connect to " + options_.address + ": " + address_error.message();
    co_return false;
  }
  auto [error] = co_await conn.stream.async_connect(
      tcp::endpoint(address, options_.port), kNothrowAwaitable);
  exchange.timed_out = error == beast::error::timeout;
  if (!error) {
    boost::system::error_code ignored;
    conn.stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  co_return !error;
}

// Writes a request. False if a short one could not be written; a long one is
// still being written when this returns.
asio::awaitable<bool> http_client_internals::Send(
    connection_ptr conn,
    std::shared_ptr<outgoing_request> outgoing,
    http_exchange& exchange) {
  if (outgoing->message.body().size() <= kMaxAwaitedBodyBytes) {
    auto [error, size] = co_await http::async_write(
        conn->stream, outgoing->message, kNothrowAwaitable);
    outgoing->written = !error;
    exchange.timed_out = error == beast::error::timeout;
    co_return !error;
  }
  outgoing->writing = true;
  asio::co_spawn(
      conn->stream.get_executor(),
      [conn, outgoing]() -> asio::awaitable<void> {
        auto [error, size] = co_await http::async_write(
            conn->stream, outgoing->message, kNothrowAwaitable);
        outgoing->written = !error;
        outgoing->writing = false;
        outgoing->write_ended.cancel();
      },
      asio::detached);
  co_return true;
}

// Returns true if the end of the connection was orderly, so that a response
// without a length is complete. A reset during the write of the request fails
// only the write: the read then sees an orderly end. The wait ends with the
// timeout of the exchange, which also fails the write.
asio::awaitable<bool> EndedOrderly(outgoing_request& outgoing) {
  while (outgoing.writing) {
    co_await outgoing.write_ended.async_wait(kNothrowAwaitable);
  }
  co_return outgoing.written;
}

// Reads responses until one matches the request. True if the connection may be
// reused.
asio::awaitable<bool> http_client_internals::Receive(
    connection& conn,
    outgoing_request& outgoing,
    bool head_only,
    const exchange_options& options,
    http_exchange& exchange) {
  constexpr int kMaxSkipped = 3;  // informational and late responses
  for (int skipped = 0; skipped <= kMaxSkipped; ++skipped) {
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxResponseHeadBytes);
    parser.body_limit(options_.max_body_bytes);
    parser.skip(head_only);
    auto [error, head_size] = co_await http::async_read_header(
        conn.stream, conn.buffer, parser, kNothrowAwaitable);
    exchange.begun |= !error;
    if (!error && !HasKnownFraming(parser)) {
      error = http::error::bad_transfer_encoding;
    }
    if (!error && !IsFinalStatus(parser.get().result_int()) &&
        !IsInterimStatus(parser.get().result_int())) {
      error = http::error::bad_status;
    }
    if (!error && !parser.is_done()) {
      error = co_await ReadBody(conn.stream, conn.buffer, parser,
                                options_.max_body_bytes, &body_budget_);
    }
    if (error) {
      exchange.timed_out = error == beast::error::timeout;
      co_return false;
    }
    // A message without a length ends with the connection. Another read would
    // wait until the timeout.
    const bool ended = !head_only && parser.get().need_eof();
    if (IsInterimStatus(parser.get().result_int())) {
      if (ended) {
        co_return false;
      }
      continue;
    }
    http_response response{
        .status = static_cast<std::uint16_t>(parser.get().result_int())};
    for (const auto& field : parser.get()) {
      response.headers.push_back({.name = std::string(field.name_string()),
                                  .value = std::string(field.value())});
    }
    response.body = std::move(parser.get().body());
    if (options.matches_request && !options.matches_request(response)) {
      if (ended) {
        co_return false;
      }
      continue;
    }
    const bool orderly = !ended || co_await EndedOrderly(outgoing);
    if (!orderly) {
      co_return false;
    }
    exchange.complete = true;
    exchange.response = std::move(response);
    co_return parser.get().keep_alive() && skipped == 0 &&
        conn.buffer.size() == 0;
  }
  co_return false;
}

asio::awaitable<void> http_client_internals::RunExchange(
    connection_ptr conn,
    http_request request,
    exchange_options options,
    http_exchange& exchange) {
  const bool head_only = request.method == "HEAD";
  auto outgoing =
      std::make_shared<outgoing_request>(conn->stream.get_executor());
  outgoing->message = ToBeastRequest(std::move(request), options_.address);
  conn->stream.expires_after(options.timeout);
  if (!conn->stream.socket().is_open()) {
    const bool connected = co_await Connect(*conn, exchange);
    if (!connected) {
      co_return;
    }
  }
  if (conn->aborted || (options.may_send && !options.may_send())) {
    co_return;
  }
  exchange.sent = true;
  const bool sending = co_await Send(conn, outgoing, exchange);
  if (!sending) {
    co_return;
  }
  const bool reusable =
      co_await Receive(*conn, *outgoing, head_only, options, exchange);
  if (reusable && outgoing->written && !conn->aborted) {
    conn->stream.expires_never();
    KeepIdleConnection(
        std::move(conn),
        ParseReuseTime(exchange.response).value_or(options_.idle_timeout));
  } else {
    beast::error_code ignored;
    conn->stream.socket().close(ignored);
  }
}

std::function<void()> http_client_internals::Request(
    http_request request,
    exchange_options options,
    std::function<void(http_exchange)> done) {
  connection_ptr conn = TakeIdleConnection();
  if (conn == nullptr) {
    conn = std::make_shared<connection>(asio::make_strand(context_));
  }
  const auto executor = conn->stream.get_executor();
  const auto running = std::make_shared<bool>(true);
  const std::weak_ptr<connection> weak = conn;
  // Posted, because co_spawn may run the whole exchange before it returns, and
  // the caller may hold a lock that `done` takes.
  asio::post(executor,
             [self = shared_from_this(), executor, conn,
              request = std::move(request), options = std::move(options),
              done = std::move(done), running]() mutable {
               asio::co_spawn(
                   executor,
                   [self, conn = std::move(conn), request = std::move(request),
                    options = std::move(options), done = std::move(done),
                    running]() mutable -> asio::awaitable<void> {
                     http_exchange exchange;
                     co_await self->RunExchange(conn, std::move(request),
                                                std::move(options), exchange);
                     exchange.aborted = conn->aborted;
                     *running = false;
                     conn.reset();
                     done(std::move(exchange));
                   },
                   asio::detached);
             });
  return [weak, executor, running] {
    asio::post(executor, [weak, running] {
      const connection_ptr alive = weak.lock();
      if (alive != nullptr && *running) {
        alive->aborted = true;
        beast::error_code ignored;
        alive->stream.socket().close(ignored);
      }
    });
  };
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : internals_(std::make_shared<http_client_internals>(context,
                                                         std::move(options))) {}
http_client::~http_client() = default;
std::function<void()> http_client::Request(
    http_request request,
    exchange_options options,
    std::function<void(http_exchange)> done) {
  return internals_->Request(std::move(request), std::move(options),
                             std::move(done));
}

}  // namespace parsleyyard
