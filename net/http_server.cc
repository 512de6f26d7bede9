// The HTTP server's listener and its graceful stop.

#include "net/http_server_internals.h"
#include "net/listener_filter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace parsleyyard {

namespace {

using tcp = asio::ip::tcp;
constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);
// Time from dropping new connections to closing the listener, in which the
// handshakes that have begun may finish.
constexpr auto kHandshakeDrainTime = std::chrono::milliseconds(100);

}  // namespace

leaf::result<void> http_server_internals::Listen() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(options_.address, error);
  if (!error) {
    acceptor_.open(tcp::v4(), error);
  }
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(tcp::endpoint(address, options_.port), error);
  }
  if (!error && options_.memory != nullptr) {
    // The accepted sockets inherit both.
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(kCallerSocketBytes), error);
    acceptor_.set_option(
        asio::socket_base::send_buffer_size(kCallerSocketBytes), error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return leaf::new_error(net_error{"can't listen on " + options_.address +
                                     ":" + std::to_string(options_.port) +
                                     ": " + error.message()});
  }
  listening_ = true;
  asio::co_spawn(
      acceptor_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->AcceptConnections();
      },
      asio::detached);
  return {};
}

asio::awaitable<void> http_server_internals::AcceptConnections() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(
        asio::make_strand(context_), kNothrowAwaitable);
    if (error) {
      co_await PauseAfterError();
      continue;
    }
    if (connections_ >= options_.max_connections) {
      boost::system::error_code ignored;
      static constexpr std::string_view kTooManyConnections =
          "HTTP/1.1 503 Service Unavailable\r\nx-parsleyyard-outcome: "
          "not_run\r\n"
          "content-length: 0\r\nconnection: close\r\n\r\n";
      socket.non_blocking(true, ignored);
      socket.write_some(asio::buffer(kTooManyConnections), ignored);
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    const auto executor = socket.get_executor();
    const auto session =
        std::make_shared<http_session>(std::move(socket), shared_from_this());
    asio::co_spawn(
        executor,
        [session]() -> asio::awaitable<void> { co_await session->Run(); },
        asio::detached);
  }
}

// When the process has no free file descriptor, each accept fails at once; the
// pause prevents a busy loop.
asio::awaitable<void> http_server_internals::PauseAfterError() {
  constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(10);
  asio::steady_timer timer(acceptor_.get_executor(), kAcceptRetryDelay);
  co_await timer.async_wait(kNothrowAwaitable);
}

void http_server_internals::StopAccepting() {
  if (stopping_.exchange(true)) {
    return;
  }
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    DropNewConnections(self->acceptor_.native_handle());
    self->close_timer_.expires_after(kHandshakeDrainTime);
    self->close_timer_.async_wait([self](const boost::system::error_code&) {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
      self->listening_ = false;
    });
  });
}

void http_server_internals::CloseIdle() {
  if (closing_idle_.exchange(true)) {
    return;
  }
  const std::lock_guard lock(mutex_);
  for (http_session* session : sessions_) {
    session->CloseIfIdle();
  }
}

void http_server_internals::AddSession(http_session* session) {
  const std::lock_guard lock(mutex_);
  sessions_.insert(session);
  ++connections_;
}

void http_server_internals::RemoveSession(http_session* session) {
  const std::lock_guard lock(mutex_);
  sessions_.erase(session);
  --connections_;
}

http_server::http_server(asio::io_context& context,
                         http_server_options options,
                         http_handler& handler)
    : internals_(std::make_shared<http_server_internals>(context,
                                                         std::move(options),
                                                         handler)) {}
http_server::~http_server() = default;
leaf::result<void> http_server::Listen() {
  return internals_->Listen();
}
void http_server::StopAccepting() {
  internals_->StopAccepting();
}
void http_server::CloseIdle() {
  internals_->CloseIdle();
}
bool http_server::IsClosed() const {
  return !internals_->listening_ && internals_->connections_ == 0;
}
std::size_t http_server::connections() const {
  return internals_->connections_;
}

}  // namespace parsleyyard
