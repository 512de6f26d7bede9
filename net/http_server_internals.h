// The HTTP server's listener and its connections. Internal to net/.

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
        close_timer_(acceptor_.get_executor()) {}

  leaf::result<void> Listen();
  void StopAccepting();
  void CloseIdle();
  void AddSession(http_session* session);
  void RemoveSession(http_session* session);

  asio::io_context& context_;
  const http_server_options options_;
  http_handler& handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::size_t> connections_{0};
  // Each connection is closed after its next response.
  std::atomic<bool> stopping_{false};
  // Connections that wait for a request are closed as well.
  std::atomic<bool> closing_idle_{false};
  std::atomic<bool> listening_{false};  // the acceptor is open

 private:
  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> PauseAfterError();

  asio::steady_timer close_timer_;  // closes the acceptor at a graceful stop
  std::mutex mutex_;                // guards sessions_; last in the lock order
  std::unordered_set<http_session*> sessions_;
};

// Serves one connection, one request at a time.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(asio::ip::tcp::socket socket,
               std::shared_ptr<http_server_internals> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        wakeup_(stream_.get_executor()),
        timeout_timer_(stream_.get_executor()) {
    server_->AddSession(this);
  }
  ~http_session() { server_->RemoveSession(this); }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  asio::awaitable<void> Run();

  // Ends the wait for a request, if the session waits for one. Thread-safe.
  void CloseIfIdle();

 private:
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<bool> ServeRequest();
  void StartTimeout(duration limit);
  void CancelTimeout();
  asio::awaitable<bool> ReadRequestBody(request_parser& parser);
  asio::awaitable<bool> Reject(http_rejection rejection,
                               unsigned version,
                               bool head_only);
  asio::awaitable<bool> Write(http_response response,
                              unsigned version,
                              bool keep_alive,
                              bool head_only);
  asio::awaitable<void> DiscardInput();
  asio::awaitable<std::optional<http_response>> CallHandler(
      http_request request);
  void WatchForClose();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<http_server_internals> server_;
  http_limits limits_;  // limits for the current request
  boost::beast::flat_buffer buffer_;
  // Cancelled to resume the session: a request begins, the response is there,
  // or the caller closed the connection.
  asio::steady_timer wakeup_;
  asio::steady_timer timeout_timer_;       // see StartTimeout()
  std::uint64_t timeout_generation_ = 0;   // identifies the current timeout
  bool timed_out_ = false;                 // the current timeout expired
  bool readable_ = false;                  // the socket has data to read
  bool awaiting_request_ = false;          // no byte of a request arrived yet
  std::optional<http_response> response_;  // from the handler
  bool caller_closed_ = false;  // closed before the response was there
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_
