// parsleyyard: sockets. Everything here runs on Boost.Asio and Boost.Beast.
//
// Index
//   1. Clock and randomness   the process's own, for the decision code
//   2. Peer mesh              streams between daemons
//   3. HTTP server            for callers and operators
//   4. HTTP client            for the instance and the store
//   5. Dialect                what header fields mean
//
// How to use it: make one io_context with a few threads, then the parts you
// need. Listener functions are called on the threads of the io_context, for
// one connection never at the same time, and without any lock of this library
// held. No exception leaves this library.

#ifndef PARSLEYYARD_NET_NET_H_
#define PARSLEYYARD_NET_NET_H_

#include "model/model.h"
#include "wire/wire.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyyard {

namespace asio = boost::asio;

// ---------------------------------------------------------------------------
// 1. Clock and randomness
// ---------------------------------------------------------------------------

// CLOCK_BOOTTIME: also counts the time for which the host was suspended.
class monotonic_clock : public clock_source {
 public:
  instant Now() const override;
};

// Mersenne Twister. Give a seed to get the same draws again.
class seeded_random : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed);
  ~seeded_random() override;
  std::uint64_t Next() override;

 private:
  struct engine;
  std::unique_ptr<engine> engine_;
};

// A seed from the operating system.
std::uint64_t SystemSeed();

// ---------------------------------------------------------------------------
// 2. Peer mesh
// ---------------------------------------------------------------------------

struct mesh_options {
  host_address address;           // own; bound
  std::uint16_t port = 8081;      // the same on every host
  std::uint64_t incarnation = 1;  // told in the hello of each stream
  std::size_t max_queued_bytes =
      64u << 20;  // per stream; beyond, the stream is closed
  duration idle_timeout = seconds(60);  // a stream without traffic is closed
  duration connect_timeout =
      seconds(1);  // from the first SYN to the peer's hello
  duration probe_delay =
      milliseconds(500);  // without a word after something was sent
  duration probe_timeout = milliseconds(800);  // then the stream is closed
  duration unreachable_period =
      seconds(2);  // a peer counts as down after a failure
  std::function<host_address(const host_address&)>
      resolve;  // address to connect to for a peer; empty: its own
};

// Hears what arrives. `from` is the peer's own address as its hello says.
class mesh_listener {
 public:
  virtual ~mesh_listener() = default;
  virtual void OnMessage(const host_address& from, any_message message) = 0;
  virtual void OnLinkUp(const host_address& peer,
                        std::uint64_t incarnation) = 0;
  virtual void OnLinkDown(const host_address& peer) = 0;
  virtual void OnUndelivered(const host_address& to,
                             const any_message& message) = 0;
};

struct mesh_counters {
  std::atomic<std::uint64_t> control_bytes_sent{0};  // updates of the view
  std::atomic<std::uint64_t> control_bytes_received{0};
  std::atomic<std::uint64_t> bad_frames{
      0};  // refused: damaged, too long, other version
};

// How an outgoing message is treated.
enum class send_mode : std::uint8_t {
  kIfConnected,   // dropped unless our stream to the peer is up
  kOpenIfNeeded,  // opens the stream if needed and waits for it
  kUrgent,        // as kOpenIfNeeded, ahead of what waits
  kReply,  // on the stream that the peer opened to us; dropped if there is none
};

class mesh_internals;

// One outgoing stream for each peer, opened on demand.
class peer_mesh {
 public:
  peer_mesh(asio::io_context& context,
            mesh_options options,
            mesh_listener& listener);
  ~peer_mesh();

  // Binds and listens. The error says which address and port could not be had.
  leaf::result<void> Listen();
  void Open(const host_address& peer);
  std::optional<std::uint64_t> PeerIncarnation(const host_address& peer) const;
  void Send(const host_address& peer,
            const any_message& message,
            send_mode mode);
  // False for a while after its stream failed or could not be opened.
  bool IsReachable(const host_address& peer) const;
  void Close();
  const mesh_counters& counters() const;

 private:
  std::shared_ptr<mesh_internals> internals_;
};

// ---------------------------------------------------------------------------
// 3. HTTP server
// ---------------------------------------------------------------------------

struct http_request {
  std::string method;
  std::string target;                // path and query
  std::vector<call_header> headers;  // in order, names as sent
  std::string body;
  const std::string* Find(
      std::string_view name) const;  // case-insensitive; null if absent
};

struct http_response {
  std::uint16_t status = 200;
  std::vector<call_header> headers;
  std::string body;
  bool close = false;  // close the connection after it
};

// Calls back once with the answer to one request.
using response_callback = std::function<void(http_response)>;

class http_handler {
 public:
  virtual ~http_handler() = default;
  // Decides on the head before the body is read. A response ends the request
  // and closes the connection; nothing of the body is read.
  virtual std::optional<http_response> OnHead(const http_request& head) = 0;
  // Answers the whole request by calling `reply` once, from any thread.
  // Returns a function to call if the caller goes away before that.
  virtual std::function<void()> OnRequest(http_request request,
                                          response_callback reply) = 0;
};

// Limits on what a caller sends. They may change while the server runs.
struct http_limits {
  std::size_t max_head = 16384;         // bytes; 431 beyond
  std::size_t max_body = 1 << 20;       // bytes; 413 beyond
  duration head_timeout = seconds(30);  // for a head; 408 beyond
  duration idle_timeout = seconds(30);  // between requests; closed beyond
};

struct http_server_options {
  host_address address;
  std::uint16_t port = 0;
  std::size_t max_header_fields = 100;        // fields; 431 beyond
  std::size_t max_connections = 11000;        // 503 beyond
  std::function<http_limits()> limits = [] {  // asked for each request
    return http_limits();
  };
};

class http_server_internals;

class http_server {
 public:
  http_server(asio::io_context& context,
              http_server_options options,
              http_handler& handler);
  ~http_server();
  leaf::result<void> Listen();
  // A planned stop takes three calls. StopAccepting() keeps new connections
  // off, accepts those under way and closes the listener a moment later; from
  // then on a connection ends with its next answer. CloseIdle() ends the
  // connections that wait for a request, with a 408 that counts as the answer
  // to a request which crosses it. Both return at once; IsClosed() tells when
  // the listener and all connections are gone.
  void StopAccepting();
  void CloseIdle();
  bool IsClosed() const;
  std::size_t connections() const;

 private:
  std::shared_ptr<http_server_internals> internals_;
};

// Error of this layer: an address that could not be used.
struct net_error {
  std::string what;
};

// ---------------------------------------------------------------------------
// 4. HTTP client
// ---------------------------------------------------------------------------

struct http_client_options {
  host_address address;
  std::uint16_t port = 0;
  std::size_t max_body = 16 << 20;        // of an answer, in bytes
  std::size_t max_idle_connections = 64;  // connections kept
  duration idle_timeout =
      milliseconds(800);  // of a connection whose server tells none
};

struct http_exchange {
  bool sent = false;       // any byte of the request may have been read
  bool complete = false;   // the whole response arrived
  bool timed_out = false;  // it did not arrive in time
  bool aborted = false;    // by the function that Request() returned
  http_response response;
};

struct exchange_options {
  duration timeout = seconds(1);
  // False for a response that answers an earlier request of the connection; it
  // is dropped, and the next one is awaited. Empty: each one belongs.
  std::function<bool(const http_response&)> matches_request;
  // Asked just before the first byte: the process may have been paused since
  // the request was made. Empty: it may be sent.
  std::function<bool()> may_send;
};

class http_client_internals;

// Keep-alive connections to one server.
class http_client {
 public:
  http_client(asio::io_context& context, http_client_options options);
  ~http_client();

  // Ends in one call of `done`, at the latest after the timeout. The returned
  // function aborts the exchange and closes its connection; `done` is called
  // all the same.
  std::function<void()> Request(http_request request,
                                exchange_options options,
                                std::function<void(http_exchange)> done);

 private:
  std::shared_ptr<http_client_internals> internals_;
};

// ---------------------------------------------------------------------------
// 5. Dialect
// ---------------------------------------------------------------------------

// What the answer of an instance says beside its status and body.
struct response_info {
  bool authentic = false;       // an instance made it, and its body is its own
  bool not_run = false;         // the instance has not run the request
  bool wrong_instance = false;  // another instance has the address
};

// What the answer to a health check says.
struct health_info {
  bool healthy = false;
  std::string instance;  // empty: not told
  duration cold_left{};
};

// The names and formats that callers, instances and health checks use. The
// implementation translates and decides nothing.
class http_dialect {
 public:
  virtual ~http_dialect() = default;

  // Of a caller's request.
  virtual std::string RequestId(const http_request& head) const = 0;  // or ""
  virtual duration Deadline(
      const http_request& head) const = 0;  // zero: not told
  virtual bool IsReadinessCheck(const http_request& head) const = 0;

  // Of a request to an instance.
  virtual void SetCaller(std::vector<call_header>& headers,
                         const std::string& service) const = 0;
  virtual void SetTarget(std::vector<call_header>& headers,
                         const std::string& instance,
                         duration time_left) const = 0;

  // Of an instance's answer.
  virtual bool MatchesRequest(const http_response& answer,
                              const std::string& request_id) const = 0;
  virtual response_info ParseResponse(const http_response& answer) const = 0;
  virtual health_info ParseHealthResponse(
      const http_response& answer) const = 0;

  // Of a refusal to a caller.
  virtual void SetRetryAfter(http_response& refusal, duration after) const = 0;
};

// The value of a field, case-insensitive; null if absent.
const std::string* FindHeader(const std::vector<call_header>& headers,
                              std::string_view name);
// Replaces a field, or adds it.
void SetHeader(std::vector<call_header>& headers,
               std::string_view name,
               std::string_view value);
// The fields without those that concern one connection alone.
std::vector<call_header> CopyEndToEndHeaders(
    const std::vector<call_header>& headers);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_NET_H_
