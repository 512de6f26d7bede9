// The HTTP server's connections. Internal to net/.

#ifndef PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_
#define PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_

#include "net/net.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <mutex>
#include <unordered_set>

namespace parsleyyard {

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

class http_session;

class http_server_internals
    : public std::enable_shared_from_this<http_server_internals> {
 public:
  http_server_internals(asio::io_context& context,
                        http_server_options options,
                        http_handler& handler)
      : context_(context),
        options_(std::move(options)),
        handler_(handler),
        acceptor_(asio::make_strand(context)),
        last_accept_(acceptor_.get_executor()) {}

  leaf::result<void> Listen();
  void StopAccepting();
  void CloseIdle();
  void Add(http_session* session);
  void Remove(http_session* session);

  asio::io_context& context_;
  const http_server_options options_;
  http_handler& handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<bool> stopping_{false};      // connections end after an answer
  std::atomic<bool> closing_idle_{false};  // and while they wait for a request
  std::atomic<bool> listening_{false};

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> PauseAfterError();

  asio::steady_timer last_accept_;
  std::mutex mutex_;  // guards sessions_; last in the lock order
  std::unordered_set<http_session*> sessions_;
};

// Serves one connection, one request at a time.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(asio::ip::tcp::socket socket,
               std::shared_ptr<http_server_internals> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        answered_(stream_.get_executor()),
        watchdog_(stream_.get_executor()) {
    server_->Add(this);
  }
  ~http_session() { server_->Remove(this); }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  asio::awaitable<void> Run();

  // Ends the wait for a request, if there is one. May be called from any
  // thread.
  void CloseIfIdle();

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<bool> ServeOne();
  void LimitTo(duration longest);
  void Unlimit();
  asio::awaitable<bool> ReadBody(request_parser& parser);
  asio::awaitable<bool> Write(http_response response,
                              unsigned version,
                              bool keep_alive,
                              bool head_only);
  asio::awaitable<void> Linger();
  asio::awaitable<std::optional<http_response>> Ask(http_request request);
  void WatchForClose();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<http_server_internals> server_;
  http_limits limits_;  // of the current request
  boost::beast::flat_buffer buffer_;
  asio::steady_timer answered_;            // cancelled when the answer is there
  asio::steady_timer watchdog_;            // see LimitTo()
  std::uint64_t limit_ = 0;                // counts the limits set
  bool timed_out_ = false;                 // the last limit was reached
  bool readable_ = false;                  // the socket has something to read
  bool awaits_request_ = false;            // nothing of a request is here yet
  std::optional<http_response> response_;  // the answer
  bool gone_ = false;                      // the caller closed the connection
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_
