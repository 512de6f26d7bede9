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
  instant last_used{};
  std::atomic<bool> idle{false};
};
using connection_ptr = std::shared_ptr<connection>;

// True unless this side ended the exchange by a timeout or by aborting it.
bool IsReset(const beast::error_code& error) {
  return error != beast::error::timeout &&
         error != asio::error::operation_aborted;
}

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
                                duration timeout,
                                std::function<void(http_exchange)> done);

 private:
  asio::awaitable<http_exchange> Exchange(connection_ptr used,
                                          http_request request,
                                          duration timeout);
  asio::awaitable<bool> Connect(connection& used);
  connection_ptr TakeIdle();
  void PutIdle(connection_ptr used);
  void WatchIdle(const connection_ptr& used);

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
    if (clock_.Now() - found->last_used < options_.idle_timeout &&
        Peek(found->stream.socket()) == peek_result::kQuiet) {
      found->idle = false;
      return found;
    }
  }
  return nullptr;
}

// Reports at once that the server closed an idle connection, as it does when
// its process ends. Waiting for the next request to fail would be too late.
void http_client_internals::WatchIdle(const connection_ptr& used) {
  if (!options_.on_idle_closed) {
    return;
  }
  used->stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(),
       weak = std::weak_ptr(used)](const boost::system::error_code& error) {
        const connection_ptr alive = weak.lock();
        if (error || alive == nullptr || !alive->idle) {
          return;
        }
        if (Peek(alive->stream.socket()) == peek_result::kQuiet) {
          self->WatchIdle(alive);
          return;
        }
        self->options_.on_idle_closed();
      });
}

void http_client_internals::PutIdle(connection_ptr used) {
  used->last_used = clock_.Now();
  used->idle = true;
  WatchIdle(used);
  const std::lock_guard lock(mutex_);
  if (idle_.size() < options_.max_idle) {
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

asio::awaitable<http_exchange> http_client_internals::Exchange(
    connection_ptr used,
    http_request request,
    duration timeout) {
  http_exchange exchange;
  const bool head_only = request.method == "HEAD";
  const auto message = ToBeast(std::move(request), options_.address);
  used->stream.expires_after(timeout);
  if (!used->stream.socket().is_open()) {
    if (!co_await Connect(*used)) {
      co_return exchange;
    }
  }
  // The process may have been paused since the request was made.
  if (options_.may_send && !options_.may_send()) {
    co_return exchange;
  }
  exchange.sent = true;
  auto [write_error, written] =
      co_await http::async_write(used->stream, message, kTuple);
  if (write_error) {
    exchange.reset = IsReset(write_error);
    co_return exchange;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(options_.max_body);
  parser.skip(head_only);
  auto [read_error, head_size] = co_await http::async_read_header(
      used->stream, used->buffer, parser, kTuple);
  if (!read_error && !parser.is_done()) {
    ReserveForBody(used->buffer, parser.content_length());
    auto [body_error, body_size] =
        co_await http::async_read(used->stream, used->buffer, parser, kTuple);
    ReleaseBody(used->buffer);
    read_error = body_error;
  }
  if (read_error) {
    exchange.reset = IsReset(read_error);
    co_return exchange;
  }
  exchange.complete = true;
  exchange.response.status =
      static_cast<std::uint16_t>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    exchange.response.headers.push_back(
        {.name = std::string(field.name_string()),
         .value = std::string(field.value())});
  }
  exchange.response.body = std::move(parser.get().body());
  if (parser.get().keep_alive()) {
    used->stream.expires_never();
    PutIdle(std::move(used));
  }
  co_return exchange;
}

std::function<void()> http_client_internals::Request(
    http_request request,
    duration timeout,
    std::function<void(http_exchange)> done) {
  connection_ptr used = TakeIdle();
  if (used == nullptr) {
    used = std::make_shared<connection>(asio::make_strand(context_));
  }
  const auto executor = used->stream.get_executor();
  const std::weak_ptr<connection> weak = used;
  const auto running = std::make_shared<std::atomic<bool>>(true);
  asio::co_spawn(
      executor,
      [self = shared_from_this(), used, request = std::move(request), timeout,
       done = std::move(done), running]() mutable -> asio::awaitable<void> {
        http_exchange exchange = co_await self->Exchange(
            std::move(used), std::move(request), timeout);
        running->store(false);
        done(std::move(exchange));
      },
      asio::detached);
  return [weak, executor, running] {
    asio::post(executor, [weak, running] {
      const connection_ptr alive = weak.lock();
      if (alive != nullptr && running->load()) {
        alive->stream.cancel();
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
    duration timeout,
    std::function<void(http_exchange)> done) {
  return internals_->Request(std::move(request), timeout, std::move(done));
}

}  // namespace parsleyyard
