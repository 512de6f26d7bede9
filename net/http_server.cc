// The HTTP server's listener and its stop.

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
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Longest time in which a handshake that has begun may still end.
constexpr auto kLastHandshakes = std::chrono::milliseconds(100);

}  // namespace

leaf::result<void> http_server_internals::Listen() {
  const tcp::endpoint endpoint(asio::ip::make_address_v4(options_.address),
                               options_.port);
  boost::system::error_code error;
  acceptor_.open(tcp::v4(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
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
        co_await self->Accept();
      },
      asio::detached);
  return {};
}

asio::awaitable<void> http_server_internals::Accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] =
        co_await acceptor_.async_accept(asio::make_strand(context_), kTuple);
    if (error) {
      co_await PauseAfterError();
      continue;
    }
    if (connections_ >= options_.max_connections) {
      boost::system::error_code ignored;
      static constexpr std::string_view kFull =
          "HTTP/1.1 503 Service Unavailable\r\nx-parsleyyard-outcome: "
          "not_run\r\n"
          "content-length: 0\r\nconnection: close\r\n\r\n";
      socket.non_blocking(true, ignored);
      socket.write_some(asio::buffer(kFull), ignored);
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

// Out of descriptors, accept fails at once again.
asio::awaitable<void> http_server_internals::PauseAfterError() {
  constexpr auto kPause = std::chrono::milliseconds(10);
  asio::steady_timer pause(acceptor_.get_executor(), kPause);
  co_await pause.async_wait(kTuple);
}

void http_server_internals::StopAccepting() {
  if (stopping_.exchange(true)) {
    return;
  }
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    DropNewConnections(self->acceptor_.native_handle());
    self->last_accept_.expires_after(kLastHandshakes);
    self->last_accept_.async_wait([self](const boost::system::error_code&) {
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

void http_server_internals::Add(http_session* session) {
  const std::lock_guard lock(mutex_);
  sessions_.insert(session);
  ++connections_;
}

void http_server_internals::Remove(http_session* session) {
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
