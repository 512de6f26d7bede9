// parsleyyard: networking, on Boost.Asio and Boost.Beast.
//
// Index
//   1. Clock and randomness   for the code that takes decisions
//   2. Peer mesh              streams between daemons
//   3. HTTP server            for callers and operators
//   4. HTTP client            for the instance and the store
//   5. HTTP dialect           meaning of header fields
//
// How to use it: create one io_context, run it in a few threads, and create
// the objects that you need on it. Listeners, handlers and callbacks run on
// the threads of the io_context, one at a time for each connection, and
// without any lock of this library held, except mesh_options::resolve. No
// exception leaves this library.

#ifndef PARSLEYYARD_NET_NET_H_
#define PARSLEYYARD_NET_NET_H_

#include "model/model.h"
#include "wire/wire.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyyard {

namespace asio = boost::asio;

class memory_budget;

// Error of this layer: an address that is not valid or could not be bound.
struct net_error {
  std::string what;  // names the address, the port and the system error
};

// ---------------------------------------------------------------------------
// 1. Clock and randomness
// ---------------------------------------------------------------------------

// Reads CLOCK_BOOTTIME, which also counts the time for which the host was
// suspended. Thread-safe.
class monotonic_clock : public clock_source {
 public:
  instant Now() const override;
};

// Mersenne Twister. The same seed gives the same sequence. Not thread-safe.
class seeded_random : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed);
  ~seeded_random() override;
  std::uint64_t Next() override;

 private:
  struct engine;
  std::unique_ptr<engine> engine_;
};

// A random seed from the operating system.
std::uint64_t SystemSeed();

// ---------------------------------------------------------------------------
// 2. Peer mesh
// ---------------------------------------------------------------------------

struct mesh_options {
  // Address of this daemon. The listener and all outgoing streams bind to it.
  host_address address;
  std::uint16_t port = 8081;      // the same on every host
  std::uint64_t incarnation = 1;  // sent in the hello of each stream
  // Limit of the send queue of one stream. A stream that exceeds it is closed.
  std::size_t max_queued_bytes = 64u << 20;
  // A stream without traffic for this long is closed.
  duration idle_timeout = seconds(60);
  // Time limit from the first SYN to the peer's hello.
  duration connect_timeout = seconds(1);
  // Time since the last received data after which an outgoing stream sends a
  // probe, if it has sent anything since.
  duration probe_delay = milliseconds(500);
  // A stream on which nothing arrives for this long after a probe is closed.
  duration probe_timeout = milliseconds(800);
  // Time for which a peer counts as unreachable after the stream to it ended or
  // could not be opened. Longer than registrations outlive lost hosts.
  duration unreachable_period = seconds(8);
  // Returns the IPv4 address to connect to for a peer. Empty function: the
  // peer's own address. Called with the mutex of the mesh held, so it must not
  // call the mesh.
  std::function<host_address(const host_address&)> resolve;
  // Limits the bytes of calls and answers; null: no limit.
  std::shared_ptr<memory_budget> memory;
};

// Receives messages and the state of the outgoing streams. Called on the
// threads of the io_context.
class mesh_listener {
 public:
  virtual ~mesh_listener() = default;
  // `from` is the peer's own address, as stated in its hello.
  virtual void OnMessage(const host_address& from, any_message message) = 0;
  // A call of the peer was not decoded, since the memory budget is used up. It
  // has not run and never will.
  virtual void OnCallDropped(const host_address& /*from*/,
                             const call_id& /*id*/) {}
  // The outgoing stream to the peer is open and the peer's hello has arrived.
  virtual void OnLinkUp(const host_address& peer,
                        std::uint64_t incarnation) = 0;
  // The peer is about to stop and takes no further messages. The stream stays
  // until the peer ends it.
  virtual void OnPeerStops(const host_address& peer) = 0;
  // The outgoing stream to the peer ended or could not be opened.
  virtual void OnLinkDown(const host_address& peer) = 0;
  // No stream can be opened to the peer, since the address to connect to is not
  // valid; the error names it. OnLinkDown() and OnUndelivered() follow.
  virtual void OnLinkError(const host_address& peer,
                           const net_error& error) = 0;
  // The outgoing stream ended while `message` was still waiting for it to open,
  // or a field of the message exceeds its limit. Messages lost with a stream
  // that was up are not reported.
  virtual void OnUndelivered(const host_address& to,
                             const any_message& message) = 0;
};

struct mesh_counters {
  std::atomic<std::uint64_t> control_bytes_sent{0};  // frames of view updates
  // Packed items of view updates.
  std::atomic<std::uint64_t> control_bytes_received{0};
  // Rejected frames: damaged, too long, of another format version or not
  // allowed at that place of the stream.
  std::atomic<std::uint64_t> bad_frames{0};
};

// Which stream carries an outgoing message, and what happens without one.
enum class send_mode : std::uint8_t {
  kIfConnected,   // on the outgoing stream; dropped unless it is up
  kOpenIfNeeded,  // on the outgoing stream; opens it if there is none
  kUrgent,        // as kOpenIfNeeded, ahead of the messages already queued
  kReply,  // on the stream that the peer opened to this daemon; dropped if none
  kUrgentReply,  // as kReply, ahead of the messages already queued
};

class mesh_internals;

// One outgoing stream for each peer, opened on demand. Thread-safe.
class peer_mesh {
 public:
  peer_mesh(asio::io_context& context,
            mesh_options options,
            mesh_listener& listener);
  ~peer_mesh();

  // Binds and listens. Otherwise the net_error names the address and port.
  leaf::result<void> Listen();
  // Opens the outgoing stream to a peer. If the stream is up already,
  // OnLinkUp() is called again.
  void Open(const host_address& peer);
  // Incarnation from the peer's hello. Empty unless the outgoing stream is up.
  std::optional<std::uint64_t> PeerIncarnation(const host_address& peer) const;
  void Send(const host_address& peer,
            const any_message& message,
            send_mode mode);
  // False for `unreachable_period` after the outgoing stream ended or could not
  // be opened, unless a new stream in either direction has come up since.
  bool IsReachable(const host_address& peer) const;
  // A graceful stop takes two calls. BeginClose() closes the listener and asks
  // the peers to send nothing more. Each stream that a peer opened ends when
  // all that the peer had sent was handled; then HasIncomingStreams() is false.
  // Close() closes the listener and all streams. No stream is opened after
  // that.
  void BeginClose();
  bool HasIncomingStreams() const;
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
  duration waited{};  // at a server: time since the request arrived
  // Value of the first field of that name, case-insensitive; null if absent.
  const std::string* Find(std::string_view name) const;
};

struct http_response {
  std::uint16_t status = 200;
  std::vector<call_header> headers;
  std::string body;
  // Read no further request and close the connection after the responses to
  // those that were read.
  bool close = false;
};

// Sends the response to one request. Must be called once; thread-safe.
using response_callback = std::function<void(http_response)>;

// Limits on what a caller sends. They may change while the server runs.
struct http_limits {
  std::size_t max_header_bytes = 16384;  // request head; status 431 above
  std::size_t max_body_bytes = 1 << 20;  // request body; status 413 above
  // First byte to the end of the head; status 408 above.
  duration header_timeout = seconds(30);
  // Longest wait for the next request, after which the connection is closed.
  // Also the time limit for reading a body (status 408 above) and for writing a
  // response.
  duration idle_timeout = seconds(30);
};

// Why the server ends a request by itself, without the handler's decision.
enum class rejection_cause : std::uint8_t {
  kMalformed,
  kHeadTooLarge,
  kTooManyFields,
  kBodyTooLarge,
  kFramingTooLarge,  // what surrounds the content of a chunked body
  kTooSlow,
  kNoMemory  // the memory budget of the process is used up
};
inline constexpr std::array<std::string_view, 7> kRejectionCauseNames = {
    "malformed",         "head_too_large", "too_many_fields", "body_too_large",
    "framing_too_large", "too_slow",       "no_memory"};
constexpr std::string_view NameOf(rejection_cause cause) {
  return kRejectionCauseNames[static_cast<std::size_t>(cause)];
}

// A request that the server ended by itself.
struct http_rejection {
  std::uint16_t status = 0;
  rejection_cause cause = rejection_cause::kMalformed;
  std::string detail;  // what the parser found wrong
  http_request head;   // as far as it was read
  http_limits limits;  // limits for this request
};

class http_handler {
 public:
  virtual ~http_handler() = default;
  // Returns true if a pipelined request may run before the responses to earlier
  // requests of its connection are written. It must be idempotent: if the
  // connection is lost, the caller sends it again. Other requests run alone.
  virtual bool MayPipeline(const http_request& /*head*/) { return false; }
  // Checks the request head before the body is read. A returned response ends
  // the request; a body is not read, and the connection is closed.
  virtual std::optional<http_response> OnHead(const http_request& head) = 0;
  // Handles a whole request. The handler must call `reply` once, from any
  // thread. Returns a function that the server calls if the caller closes the
  // connection before the response is there.
  virtual std::function<void()> OnRequest(http_request request,
                                          response_callback reply) = 0;
  // The server ends a request by itself. A returned response replaces the
  // server's own, which has the status of `rejection`. The connection is
  // closed.
  virtual std::optional<http_response> OnRejected(
      const http_rejection& /*rejection*/) {
    return std::nullopt;
  }
};

struct http_server_options {
  host_address address;
  std::uint16_t port = 0;
  std::size_t max_header_fields = 100;  // per request; status 431 above
  std::size_t max_connections = 11000;  // status 503 above
  // Pipelined requests of one connection that run or wait for their turn to be
  // answered, and bytes of their bodies or responses. Above either limit,
  // nothing more is read from the connection.
  std::size_t max_pipelined_requests = 16;
  std::size_t max_pipelined_bytes = std::size_t{1} << 20;
  // Called for each request, so that new limits take effect with the next one.
  std::function<http_limits()> limits = [] { return http_limits(); };
  // Limits the bytes of requests and responses; null: no limit.
  std::shared_ptr<memory_budget> memory;
};

class http_server_internals;

// All functions but Listen() are thread-safe.
class http_server {
 public:
  http_server(asio::io_context& context,
              http_server_options options,
              http_handler& handler);
  ~http_server();
  // Binds and listens. Otherwise the net_error names the address and port.
  leaf::result<void> Listen();
  // A graceful stop takes three calls. StopAccepting() drops new connections,
  // accepts those whose handshake has begun, and closes the listener a moment
  // later. Each connection is closed after the responses to the requests that
  // were read.
  // CloseIdle() closes the connections that wait for a request. It sends a 408
  // on each of them first, which serves as the response if the caller sent a
  // request before it noticed the close. Both return at once. IsClosed() is
  // true when the listener and all connections are closed.
  void StopAccepting();
  void CloseIdle();
  bool IsClosed() const;
  std::size_t connections() const;  // number of open connections

 private:
  std::shared_ptr<http_server_internals> internals_;
};

// ---------------------------------------------------------------------------
// 4. HTTP client
// ---------------------------------------------------------------------------

// Largest head of a response. One with a larger head counts as incomplete.
inline constexpr std::size_t kMaxResponseHeadBytes = std::size_t{64} * 1024;

struct http_client_options {
  host_address address;
  std::uint16_t port = 0;
  std::size_t max_body_bytes = 16 << 20;  // size of a response body
  // Bytes of all bodies that are being received; a response beyond them fails.
  std::size_t max_receiving_bytes = 32 << 20;
  std::size_t max_idle_connections = 64;  // connections kept for reuse
  // Time for which an idle connection may be reused if the server's response
  // has no keep-alive field with a valid timeout.
  duration idle_timeout = milliseconds(800);
};

// Result of one request.
struct http_exchange {
  bool sent = false;       // the server may have read part of the request
  bool begun = false;      // the head of a response arrived
  bool complete = false;   // the whole response arrived
  bool timed_out = false;  // ended by the timeout, in whichever step
  bool aborted = false;    // ended by the function that Request() returned
  std::string error;       // set if the server's address is not valid
  http_response response;  // valid if `complete`
};

struct exchange_options {
  duration timeout = seconds(1);
  // Returns false for a late response to an earlier request on the connection.
  // The client drops that response and waits for the next one. Empty function:
  // every response matches.
  std::function<bool(const http_response&)> matches_request;
  // Called just before the first byte is sent, since the process may have been
  // paused after the request was made. Returns false to withhold the request.
  // Empty function: the request is always sent.
  std::function<bool()> may_send;
};

class http_client_internals;

// Keep-alive connections to one server. Thread-safe.
class http_client {
 public:
  http_client(asio::io_context& context, http_client_options options);
  ~http_client();

  // Sends a request. Calls `done` exactly once, at the latest after the timeout
  // and never from within this function, so a caller may hold a lock that
  // `done` takes. The returned function aborts the exchange and closes its
  // connection; `done` is called in that case too.
  std::function<void()> Request(http_request request,
                                exchange_options options,
                                std::function<void(http_exchange)> done);

 private:
  std::shared_ptr<http_client_internals> internals_;
};

// ---------------------------------------------------------------------------
// 5. HTTP dialect
// ---------------------------------------------------------------------------

// What an instance's response states apart from its status and body.
struct response_info {
  // An instance made the response, and the body is the one that it made.
  bool authentic = false;
  bool not_run = false;               // the instance did not run the request
  bool wrong_instance = false;        // another instance listens at the address
  std::optional<instance_load> load;  // empty: not stated or malformed
};

// What the response to a health check states.
struct health_info {
  bool healthy = false;
  std::string instance;  // id; empty: not stated
  // Remaining warm-up time; zero: warm; empty: not stated.
  std::optional<duration> cold_left;
  std::optional<instance_load> load;  // empty: not stated or malformed
};

// The header names and formats that callers, instances and health checks use.
// The implementation translates and takes no decisions. Must be thread-safe.
class http_dialect {
 public:
  virtual ~http_dialect() = default;

  // Read the head of a caller's request.
  virtual std::string RequestId(
      const http_request& head) const = 0;  // empty: not stated
  virtual duration Deadline(
      const http_request& head) const = 0;  // time left; zero: not stated
  virtual bool IsReadinessCheck(const http_request& head) const = 0;
  // Values of all key fields. They are secret: no log line, metric, error or
  // message to another daemon may contain them.
  virtual std::vector<std::string> Keys(const http_request& head) const = 0;

  // RemoveWorkspace() removes all key fields and all fields that name a
  // workspace, whoever set them. SetWorkspace() also sets the workspace that
  // the request runs for.
  virtual void RemoveWorkspace(std::vector<call_header>& headers) const = 0;
  virtual void SetWorkspace(std::vector<call_header>& headers,
                            const std::string& workspace) const = 0;
  // Set the fields of a request to an instance: the service that called, and
  // the instance that must run the request within `time_left`.
  virtual void SetCaller(std::vector<call_header>& headers,
                         const std::string& service) const = 0;
  virtual void SetTarget(std::vector<call_header>& headers,
                         const std::string& instance,
                         duration time_left) const = 0;

  // Read an instance's response. MatchesRequest() is false if the response
  // names the id of another request.
  virtual bool MatchesRequest(const http_response& response,
                              const std::string& request_id) const = 0;
  virtual response_info ParseResponse(const http_response& response) const = 0;
  virtual health_info ParseHealthResponse(
      const http_response& response) const = 0;

  // States in a rejection when the caller may send again.
  virtual void SetRetryAfter(http_response& rejection,
                             duration after) const = 0;
};

// Value of the first field of that name, case-insensitive; null if absent.
const std::string* FindHeader(const std::vector<call_header>& headers,
                              std::string_view name);
// Removes all fields of that name, case-insensitive.
void RemoveHeader(std::vector<call_header>& headers, std::string_view name);
// Removes all fields of that name, case-insensitive, and appends one.
void SetHeader(std::vector<call_header>& headers,
               std::string_view name,
               std::string_view value);
// Copies the fields without those that apply to a single connection
// (hop-by-hop fields).
std::vector<call_header> CopyEndToEndHeaders(
    const std::vector<call_header>& headers);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_NET_H_
