#include "net/body_buffer.h"
#include "net/net.h"
#include "net/socket_peek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <mutex>

namespace parsleyyard {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

struct connection {
  explicit connection(asio::any_io_executor executor)
      : stream(std::move(executor)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  instant idle_until{};  // it is not used again after that
  bool aborted = false;
};
using connection_ptr = std::shared_ptr<connection>;

// A request that is being written while its response is awaited: a server may
// answer before it has read a long body.
struct outgoing_request {
  http::request<http::string_body> message;
  bool written = false;
};

// Part of the server's stated idle time after which a connection is not used
// again: a request must not cross the server's close.
constexpr int kIdlePercent = 60;
// Bodies up to this fit into any socket's buffer and are written at once.
constexpr std::size_t kWrittenAtOnce = 2048;  // bytes

http::request<http::string_body> ToBeast(http_request request,
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

}  // namespace

class http_client_internals
    : public std::enable_shared_from_this<http_client_internals> {
 public:
  http_client_internals(asio::io_context& context, http_client_options options)
      : context_(context), options_(std::move(options)) {}

  std::function<void()> Request(http_request request,
                                exchange_options options,
                                std::function<void(http_exchange)> done);

 private:
  asio::awaitable<void> Exchange(connection_ptr used,
                                 http_request request,
                                 exchange_options options,
                                 http_exchange& exchange);
  asio::awaitable<bool> Connect(connection& used);
  asio::awaitable<bool> Send(connection_ptr used,
                             std::shared_ptr<outgoing_request> outgoing);
  asio::awaitable<bool> Receive(connection& used,
                                bool head_only,
                                const exchange_options& options,
                                http_exchange& exchange);
  connection_ptr TakeIdle();
  void PutIdle(connection_ptr used, duration idle_time);

  asio::io_context& context_;
  const http_client_options options_;
  const monotonic_clock clock_;
  std::mutex mutex_;  // guards idle_; last in the lock order
  std::vector<connection_ptr> idle_;
};

connection_ptr http_client_internals::TakeIdle() {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    connection_ptr found = std::move(idle_.back());
    idle_.pop_back();
    if (clock_.Now() < found->idle_until &&
        Peek(found->stream.socket()) == peek_result::kQuiet) {
      return found;
    }
  }
  return nullptr;
}

void http_client_internals::PutIdle(connection_ptr used, duration idle_time) {
  used->idle_until = clock_.Now() + idle_time;
  const std::lock_guard lock(mutex_);
  if (idle_.size() < options_.max_idle_connections) {
    idle_.push_back(std::move(used));
  }
}

asio::awaitable<bool> http_client_internals::Connect(connection& used) {
  const tcp::endpoint target(asio::ip::make_address_v4(options_.address),
                             options_.port);
  auto [error] = co_await used.stream.async_connect(target, kTuple);
  if (!error) {
    boost::system::error_code ignored;
    used.stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  co_return !error;
}

// False if the request could not be written. A long one is still being written
// when this returns.
asio::awaitable<bool> http_client_internals::Send(
    connection_ptr used,
    std::shared_ptr<outgoing_request> outgoing) {
  if (outgoing->message.body().size() <= kWrittenAtOnce) {
    auto [error, size] =
        co_await http::async_write(used->stream, outgoing->message, kTuple);
    outgoing->written = !error;
    co_return !error;
  }
  asio::co_spawn(
      used->stream.get_executor(),
      [used, outgoing]() -> asio::awaitable<void> {
        auto [error, size] =
            co_await http::async_write(used->stream, outgoing->message, kTuple);
        outgoing->written = !error;
      },
      asio::detached);
  co_return true;
}

// Reads responses until one belongs to the request. True if the connection may
// be used again.
asio::awaitable<bool> http_client_internals::Receive(
    connection& used,
    bool head_only,
    const exchange_options& options,
    http_exchange& exchange) {
  constexpr int kMostDropped = 3;  // informational or late responses
  for (int dropped = 0; dropped <= kMostDropped; ++dropped) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_body);
    parser.skip(head_only);
    auto [error, head_size] = co_await http::async_read_header(
        used.stream, used.buffer, parser, kTuple);
    if (!error && !parser.is_done()) {
      ReserveForBody(used.buffer, parser.content_length());
      auto [body_error, body_size] =
          co_await http::async_read(used.stream, used.buffer, parser, kTuple);
      ReleaseBody(used.buffer);
      error = body_error;
    }
    if (error) {
      exchange.timed_out = error == beast::error::timeout;
      co_return false;
    }
    if (parser.get().result_int() < 200) {
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
      continue;
    }
    exchange.complete = true;
    exchange.response = std::move(response);
    co_return parser.get().keep_alive() && dropped == 0 &&
        used.buffer.size() == 0;
  }
  co_return false;
}

// Idle time that the server states in whole seconds, less a margin.
std::optional<duration> StatedIdleTime(const http_response& response) {
  const http_request as_request{.headers = response.headers};
  const std::string* stated = as_request.Find("keep-alive");
  const std::size_t at = stated ? stated->find("timeout=") : std::string::npos;
  if (at == std::string::npos) {
    return std::nullopt;
  }
  constexpr std::size_t kNameLength = 8;
  const long whole =
      std::strtol(stated->c_str() + at + kNameLength, nullptr, 10);
  return duration(std::chrono::seconds(whole)) * kIdlePercent / 100;
}

asio::awaitable<void> http_client_internals::Exchange(connection_ptr used,
                                                      http_request request,
                                                      exchange_options options,
                                                      http_exchange& exchange) {
  const bool head_only = request.method == "HEAD";
  auto outgoing = std::make_shared<outgoing_request>();
  outgoing->message = ToBeast(std::move(request), options_.address);
  used->stream.expires_after(options.timeout);
  if (!used->stream.socket().is_open()) {
    const bool connected = co_await Connect(*used);
    if (!connected) {
      co_return;
    }
  }
  if (used->aborted || (options.may_send && !options.may_send())) {
    co_return;
  }
  exchange.sent = true;
  const bool sending = co_await Send(used, outgoing);
  if (!sending) {
    co_return;
  }
  const bool reusable = co_await Receive(*used, head_only, options, exchange);
  if (reusable && outgoing->written && !used->aborted) {
    used->stream.expires_never();
    PutIdle(std::move(used),
            StatedIdleTime(exchange.response).value_or(options_.idle_timeout));
  } else {
    beast::error_code ignored;
    used->stream.socket().close(ignored);
  }
}

std::function<void()> http_client_internals::Request(
    http_request request,
    exchange_options options,
    std::function<void(http_exchange)> done) {
  connection_ptr used = TakeIdle();
  if (used == nullptr) {
    used = std::make_shared<connection>(asio::make_strand(context_));
  }
  const auto executor = used->stream.get_executor();
  const auto running = std::make_shared<bool>(true);
  const std::weak_ptr<connection> weak = used;
  // Posted, since co_spawn may run the exchange, and even end it, before it
  // returns, and the caller may hold a lock that `done` takes.
  asio::post(executor,
             [self = shared_from_this(), executor, used,
              request = std::move(request), options = std::move(options),
              done = std::move(done), running]() mutable {
               asio::co_spawn(
                   executor,
                   [self, used = std::move(used), request = std::move(request),
                    options = std::move(options), done = std::move(done),
                    running]() mutable -> asio::awaitable<void> {
                     http_exchange exchange;
                     co_await self->Exchange(used, std::move(request),
                                             std::move(options), exchange);
                     exchange.aborted = used->aborted;
                     *running = false;
                     used.reset();
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
