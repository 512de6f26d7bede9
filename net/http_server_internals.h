// The HTTP server's listener and its connections. Internal to net/.

#ifndef PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_
#define PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_

#include "net/memory_budget.h"
#include "net/net.h"
#include "net/response_queue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <mutex>
#include <unordered_set>

namespace parsleyyard {

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

// How far a message is read.
enum class message_part : std::uint8_t { kHead, kBody };

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
  // Each connection is closed after the responses to the requests that were
  // read.
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

// Serves one connection. A caller may pipeline requests: those that the handler
// allows run at the same time, any other one runs alone. A request counts as
// read when the handler gets it; behind a response that closes the connection,
// no request was read.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(asio::ip::tcp::socket socket,
               std::shared_ptr<http_server_internals> server)
      : socket_(std::move(socket)),
        server_(std::move(server)),
        input_account_(server_->options_.memory),
        queue_account_(server_->options_.memory),
        reader_wakeup_(socket_.get_executor()),
        write_timeout_(socket_.get_executor()) {
    server_->AddSession(this);
  }
  ~http_session() { server_->RemoveSession(this); }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  asio::awaitable<void> Run();

  // Ends the wait for a request, if the session waits for one at a graceful
  // stop. Thread-safe.
  void CloseIfIdle();

 private:
  using clock = std::chrono::steady_clock;
  using time_point = clock::time_point;

  // A request that is being read.
  struct incoming_request {
    time_point arrived_at{};
    request_parser parser;
    http_request request;           // set when the head was read
    bool runs_alone = false;        // waits for the responses before it
    bool expects_continue = false;  // the body waits for an interim response
  };

  // A response that is being written.
  struct outgoing_response {
    outgoing_response(
        boost::beast::http::response<boost::beast::http::string_body> built,
        bool head_only)
        : message(std::move(built)), serializer(message) {
      serializer.split(head_only);
    }
    boost::beast::http::response<boost::beast::http::string_body> message;
    boost::beast::http::response_serializer<boost::beast::http::string_body>
        serializer;
  };

  asio::awaitable<void> Receive(time_point deadline);
  void WatchForInput();
  void SetOnShed();
  memory_grant TryHoldInput(std::size_t room);
  bool EndRefusedInput();
  void OnInputShed();
  void OnQueueShed();
  void HoldBuffer();
  asio::awaitable<boost::beast::error_code> HoldCopies(std::size_t body_bytes,
                                                       time_point deadline);
  bool HoldResponse();
  void Abandon();
  void OnCallerClosed();
  asio::awaitable<boost::beast::error_code> Read(request_parser& parser,
                                                 message_part until,
                                                 time_point deadline,
                                                 std::size_t max_received);

  asio::awaitable<void> ReadRequests();
  asio::awaitable<bool> ReadRequest();
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<void> AwaitTurn();
  asio::awaitable<bool> ReadHead(incoming_request& incoming);
  asio::awaitable<bool> ReadRequestBody(incoming_request& incoming);
  asio::awaitable<void> WriteContinue(unsigned version);
  bool IsClosing() const;
  bool HasUnwritten() const;
  bool HasRoom() const;
  bool RefuseHead(const incoming_request& incoming);
  void RejectUnlessClosed(http_rejection rejection,
                          const incoming_request& incoming);
  void Respond(const incoming_request& incoming, http_response response);
  bool StartRequest(incoming_request& incoming);

  void WriteNext();
  void OnWritten(const boost::beast::error_code& error);
  void StartWriteTimeout();
  asio::awaitable<void> DiscardInput();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<http_server_internals> server_;
  http_limits limits_;  // limits for the current request
  boost::beast::flat_buffer buffer_;
  // Bytes of the request that is being read, apart from buffer_.
  std::size_t reading_bytes_ = 0;
  // buffer_ and reading_bytes_; gives way while a request is being read.
  memory_account input_account_;
  // The requests and responses in queue_; gives way while a response is being
  // written.
  memory_account queue_account_;
  response_queue queue_;
  std::optional<outgoing_response> outgoing_;  // the first one of the queue
  // Cancelled to resume the reader: input arrived, a response was written, or a
  // graceful stop closes idle connections.
  asio::steady_timer reader_wakeup_;
  asio::steady_timer write_timeout_;      // see StartWriteTimeout()
  time_point received_at_{};              // time of the last input
  time_point idle_since_ = clock::now();  // time of the last response
  bool readable_ = true;                  // the socket may have input
  bool watches_input_ = false;            // an operation waits for input
  bool writing_ = false;                  // a response is being written
  bool reading_request_ = false;          // the reader is within a request
  bool reading_ended_ = false;            // no further request is read
  bool last_runs_alone_ = false;          // the last request runs alone
  bool closing_ = false;                  // a response asked for the close
  bool response_closed_ = false;          // a response announced the close
  bool input_refused_ = false;            // the request that is read gives way
  bool abandoned_ = false;      // the response that is written gives way
  bool caller_closed_ = false;  // the caller takes no further responses
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_HTTP_SERVER_INTERNALS_H_
