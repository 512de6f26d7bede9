#include "net/net.h"
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

namespace parsleyyard {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

using parser_type = http::request_parser<http::string_body>;

http_request HeadOf(const parser_type& parser) {
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
  if (error == beast::error::timeout) {
    return Plain(408, "The request did not arrive in time.");
  }
  return Plain(400, "The request is malformed: " + error.message() + ".");
}

bool IsPeerGone(const beast::error_code& error) {
  return error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::operation_aborted;
}

}  // namespace

const std::string* http_request::Find(std::string_view name) const {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const call_header& header) {
                                    return beast::iequals(header.name, name);
                                  });
  return found == headers.end() ? nullptr : &found->value;
}

class http_server_internals
    : public std::enable_shared_from_this<http_server_internals> {
 public:
  http_server_internals(asio::io_context& context,
                        http_server_options options,
                        http_handler& handler)
      : context_(context),
        options_(std::move(options)),
        handler_(handler),
        acceptor_(asio::make_strand(context)) {}

  leaf::result<void> Listen();
  void StopAccepting();

  asio::io_context& context_;
  const http_server_options options_;
  http_handler& handler_;
  tcp::acceptor acceptor_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<bool> stopping_{false};

 private:
  asio::awaitable<void> Accept();
};

namespace {

// Serves one connection, one request at a time.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(tcp::socket socket,
               std::shared_ptr<http_server_internals> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        answered_(stream_.get_executor()) {
    ++server_->connections_;
  }
  ~http_session() { --server_->connections_; }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  asio::awaitable<void> Run() {
    while (co_await ServeOne()) {
    }
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    co_await Linger();
  }

 private:
  asio::awaitable<bool> ServeOne();
  asio::awaitable<bool> ReadBody(parser_type& parser);
  asio::awaitable<bool> Write(http_response response,
                              unsigned version,
                              bool keep_alive,
                              bool head_only);
  asio::awaitable<void> Linger();
  asio::awaitable<std::optional<http_response>> Ask(http_request request);
  void WatchForClose();

  beast::tcp_stream stream_;
  std::shared_ptr<http_server_internals> server_;
  beast::flat_buffer buffer_;
  asio::steady_timer answered_;            // cancelled when the answer is there
  std::optional<http_response> response_;  // the answer
  bool gone_ = false;                      // the caller closed the connection
};

asio::awaitable<bool> http_session::ServeOne() {
  const http_server_options& options = server_->options_;
  parser_type parser;
  parser.header_limit(static_cast<std::uint32_t>(options.max_head));
  parser.body_limit(options.max_body);
  stream_.expires_after(options.idle_timeout);
  auto [head_error, head_size] =
      co_await http::async_read_header(stream_, buffer_, parser, kTuple);
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
  if (request.headers.size() > options.max_headers) {
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
  const bool keep_alive = parser.get().keep_alive();
  request.body = std::move(parser.get().body());
  stream_.expires_never();
  std::optional<http_response> response = co_await Ask(std::move(request));
  if (!response) {
    co_return false;
  }
  co_return co_await Write(std::move(*response), version, keep_alive,
                           head_only);
}

asio::awaitable<bool> http_session::ReadBody(parser_type& parser) {
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
  stream_.expires_after(server_->options_.idle_timeout);
  auto [error, size] =
      co_await http::async_read(stream_, buffer_, parser, kTuple);
  if (error && !IsPeerGone(error)) {
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
  http_reply reply = [self](http_response response) {
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
  stream_.expires_after(server_->options_.idle_timeout);
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
  stream_.expires_after(kLongest);
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
}

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

void http_server_internals::StopAccepting() {
  stopping_ = true;
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
  });
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
std::size_t http_server::connections() const {
  return internals_->connections_;
}

}  // namespace parsleyyard
