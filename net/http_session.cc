// One connection of the HTTP server. A coroutine reads and starts requests; the
// responses are written beside it, in the order of the requests.

#include "net/http_server_internals.h"
#include "net/read_body.h"
#include "net/socket_peek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>

namespace parsleyyard {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);
// Most bytes that are received at once.
constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;
// A response up to this size is written even if no memory is left for it.
constexpr std::size_t kMaxKeptResponseBytes = std::size_t{128} * 1024;
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
// Time after which the reader asks for memory again while others give way.
constexpr auto kMemoryRetryDelay = std::chrono::milliseconds(5);

// Turns a target in absolute form, which names the host too, into path and
// query. That host replaces the one of the field.
void ConvertToOriginForm(http_request& head) {
  constexpr std::string_view kScheme = "http://";
  const std::string_view target = head.target;
  if (!beast::iequals(target.substr(0, kScheme.size()), kScheme)) {
    return;
  }
  const std::string_view rest = target.substr(kScheme.size());
  const std::size_t host_size = std::min(rest.find_first_of("/?"), rest.size());
  const std::string host(rest.substr(0, host_size));
  std::string path(rest.substr(host_size));
  if (!path.starts_with('/')) {
    const bool whole_server = path.empty() && head.method == "OPTIONS";
    path = (whole_server ? '*' : '/') + path;
  }
  head.target = std::move(path);
  SetHeader(head.headers, "Host", host);
}

http_request CopyHead(const request_parser& parser) {
  http_request head{.method = std::string(parser.get().method_string()),
                    .target = std::string(parser.get().target())};
  for (const auto& field : parser.get()) {
    head.headers.push_back({.name = std::string(field.name_string()),
                            .value = std::string(field.value())});
  }
  ConvertToOriginForm(head);
  return head;
}

// True if the end of the body is not known for certain. Beast reads such a
// request as if it had no such field.
bool HasUnknownEncoding(const request_parser& parser) {
  return parser.get().count(http::field::transfer_encoding) > 0 &&
         !parser.chunked();
}

// A response for a request that was not run, after which the connection is
// closed.
http_response BuildNotRunResponse(std::uint16_t status, std::string text) {
  return {.status = status,
          .headers = {{.name = "content-type", .value = "text/plain"},
                      {.name = "x-parsleyyard-outcome", .value = "not_run"}},
          .body = std::move(text) + "\n",
          .close = true};
}

// The size that a buffer grows to when `room` bytes are added.
std::size_t GrownCapacity(const beast::flat_buffer& buffer, std::size_t room) {
  const std::size_t needed = buffer.size() + room;
  if (needed <= buffer.capacity()) {
    return buffer.capacity();
  }
  return std::min(buffer.max_size(), std::max(needed, 2 * buffer.size()));
}

// Why a request is rejected whose reading ended with `error`.
http_rejection ClassifyReadError(const beast::error_code& error) {
  http_rejection rejection{.status = 400,
                           .cause = rejection_cause::kMalformed,
                           .detail = error.message()};
  if (error == asio::error::timed_out) {
    rejection.status = 408;
    rejection.cause = rejection_cause::kTooSlow;
  } else if (error == http::error::header_limit) {
    rejection.status = 431;
    rejection.cause = rejection_cause::kHeadTooLarge;
  } else if (error == http::error::body_limit) {
    rejection.status = 413;
    rejection.cause = rejection_cause::kBodyTooLarge;
  } else if (error == http::error::buffer_overflow) {
    rejection.status = 503;
    rejection.cause = rejection_cause::kFramingTooLarge;
  } else if (error == beast::errc::not_enough_memory) {
    rejection.status = 503;
    rejection.cause = rejection_cause::kNoMemory;
  }
  return rejection;
}

std::string RejectionText(const http_rejection& rejection) {
  switch (rejection.cause) {
    case rejection_cause::kHeadTooLarge:
      return "The request head is too large.";
    case rejection_cause::kTooManyFields:
      return "The request has too many header fields.";
    case rejection_cause::kBodyTooLarge:
      return "The request body is too large.";
    case rejection_cause::kFramingTooLarge:
      return "The framing of the request body is too large.";
    case rejection_cause::kTooSlow:
      return "The request did not arrive in time.";
    case rejection_cause::kNoMemory:
      return "Too many bytes of requests arrive at the same time.";
    case rejection_cause::kMalformed:
      break;
  }
  return "The request is malformed: " + rejection.detail + ".";
}

http::response<http::string_body> BuildMessage(pending_response& pending,
                                               bool keep_alive) {
  http_response& response = *pending.response;
  http::response<http::string_body> message(
      static_cast<http::status>(response.status), pending.version);
  for (const call_header& header : response.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  if (pending.head_only) {
    message.body().clear();
  }
  return message;
}

}  // namespace

asio::awaitable<void> http_session::Run() {
  boost::system::error_code ignored;
  SetOnShed();
  socket_.non_blocking(true, ignored);
  co_await ReadRequests();
  co_await AwaitTurn();
  socket_.cancel(ignored);
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  co_await DiscardInput();
  socket_.close(ignored);
}

void http_session::CloseIfIdle() {
  asio::post(socket_.get_executor(), [weak = weak_from_this()] {
    if (const std::shared_ptr<http_session> self = weak.lock()) {
      self->reader_wakeup_.cancel();
    }
  });
}

// ---------------------------------------------------------------------------
// Input
// ---------------------------------------------------------------------------

// Receives what has arrived. Without input, waits for it until `deadline` or
// until the reader is woken. Sets `caller_closed_` at the end of the input.
asio::awaitable<void> http_session::Receive(time_point deadline) {
  std::size_t room = caller_closed_ || input_refused_
                         ? 0
                         : beast::read_size(buffer_, kMaxReadBytes);
  if (readable_ && room > 0) {
    const memory_grant grant = TryHoldInput(room);
    if (grant == memory_grant::kRefused && EndRefusedInput()) {
      co_return;
    }
    if (grant == memory_grant::kWait) {
      deadline = std::min(deadline, clock::now() + kMemoryRetryDelay);
    }
    room = grant == memory_grant::kGranted ? room : 0;
  }
  if (readable_ && room > 0) {
    beast::error_code error;
    const std::size_t size = socket_.read_some(buffer_.prepare(room), error);
    buffer_.commit(size);
    readable_ = size == room;
    if (size > 0) {
      received_at_ = clock::now();
    }
    if (error && error != asio::error::would_block) {
      OnCallerClosed();
    }
    co_return;
  }
  if (room > 0) {
    WatchForInput();
  }
  reader_wakeup_.expires_at(deadline);
  co_await reader_wakeup_.async_wait(kNothrowAwaitable);
}

void http_session::WatchForInput() {
  if (watches_input_) {
    return;
  }
  watches_input_ = true;
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        self->watches_input_ = false;
        self->readable_ = !error;
        self->reader_wakeup_.cancel();
      });
}

// The caller takes no further responses. Ends what it has asked for.
void http_session::OnCallerClosed() {
  caller_closed_ = true;
  queue_.AbortUnanswered();
  reader_wakeup_.cancel();
}

// Reads up to the end of the head or of the body. Fails with timed_out after
// `deadline`, with buffer_overflow after `max_received` bytes or if the buffer
// is full, and with not_enough_memory if the request gives way to others.
asio::awaitable<beast::error_code> http_session::Read(
    request_parser& parser,
    message_part until,
    time_point deadline,
    std::size_t max_received) {
  const std::size_t head_bytes = reading_bytes_;
  std::size_t received = 0;
  while (!(until == message_part::kHead ? parser.is_header_done()
                                        : parser.is_done())) {
    beast::error_code error = http::error::need_more;
    std::size_t used = 0;
    if (buffer_.size() > 0) {
      used = parser.put(buffer_.data(), error);
    }
    buffer_.consume(used);
    received += used;
    reading_bytes_ = until == message_part::kHead
                         ? received
                         : head_bytes + parser.get().body().size();
    if (received > max_received) {
      co_return http::error::buffer_overflow;
    }
    if (error && error != http::error::need_more) {
      co_return error;
    }
    if (!error && used > 0) {
      continue;
    }
    const std::size_t size_before = buffer_.size();
    while (buffer_.size() == size_before) {
      if (caller_closed_) {
        co_return asio::error::eof;
      }
      if (input_refused_) {
        co_return make_error_code(beast::errc::not_enough_memory);
      }
      if (clock::now() >= deadline) {
        co_return asio::error::timed_out;
      }
      if (buffer_.size() >= buffer_.max_size()) {
        co_return http::error::buffer_overflow;
      }
      co_await Receive(deadline);
    }
  }
  co_return beast::error_code();
}

// ---------------------------------------------------------------------------
// Memory
// ---------------------------------------------------------------------------

void http_session::SetOnShed() {
  const auto post = [this](void (http_session::*handler)()) {
    return
        [weak = weak_from_this(), executor = socket_.get_executor(), handler] {
          asio::post(executor, [weak, handler] {
            if (const std::shared_ptr<http_session> self = weak.lock()) {
              (self.get()->*handler)();
            }
          });
        };
  };
  input_account_.SetOnShed(post(&http_session::OnInputShed));
  queue_account_.SetOnShed(post(&http_session::OnQueueShed));
}

// Asks for memory to receive `room` bytes.
memory_grant http_session::TryHoldInput(std::size_t room) {
  const std::size_t parsed = reading_request_ ? room : 0;
  return input_account_.TryHold(GrownCapacity(buffer_, room) + reading_bytes_ +
                                parsed);
}

// The request that is being read gives way. Without one, a connection that has
// pending requests is not read until one of them is answered, and any other
// connection is closed. False in the second case.
bool http_session::EndRefusedInput() {
  if (reading_request_) {
    input_refused_ = true;
  } else if (queue_.empty()) {
    OnCallerClosed();
  }
  return input_refused_ || caller_closed_;
}

void http_session::OnInputShed() {
  if (reading_request_ && input_account_.GivesWay()) {
    input_refused_ = true;
    reader_wakeup_.cancel();
  }
}

void http_session::OnQueueShed() {
  if (queue_account_.GivesWay()) {
    Abandon();
  }
}

// Counts the buffer alone.
void http_session::HoldBuffer() {
  input_account_.Hold(buffer_.capacity());
}

// Waits for the memory for the copies of a body that was read. Unfinished
// requests give way to a whole one. Fails with not_enough_memory if that does
// not suffice, and with timed_out after `deadline`.
asio::awaitable<beast::error_code> http_session::HoldCopies(
    std::size_t body_bytes,
    time_point deadline) {
  input_account_.End();
  const std::size_t copies = body_bytes * (kBodyCopies - 1);
  while (!input_refused_) {
    const memory_grant grant =
        input_account_.TryHold(buffer_.capacity() + reading_bytes_ + copies);
    if (grant == memory_grant::kGranted) {
      co_return beast::error_code();
    }
    if (grant == memory_grant::kRefused) {
      break;
    }
    if (clock::now() >= deadline) {
      co_return asio::error::timed_out;
    }
    reader_wakeup_.expires_after(kMemoryRetryDelay);
    co_await reader_wakeup_.async_wait(kNothrowAwaitable);
  }
  co_return make_error_code(beast::errc::not_enough_memory);
}

// Counts the responses. A large one that finds no memory is given up, with its
// connection: its bytes are there already, and nobody may ever read them.
bool http_session::HoldResponse() {
  const std::size_t bytes = queue_.BudgetBytes();
  if (queue_account_.TryHold(bytes) != memory_grant::kRefused ||
      bytes <= kMaxKeptResponseBytes) {
    queue_account_.Hold(bytes);
    return true;
  }
  Abandon();
  return false;
}

// Closes the connection and drops its requests and responses.
void http_session::Abandon() {
  abandoned_ = true;
  if (writing_) {
    beast::error_code ignored;
    socket_.cancel(ignored);
    return;
  }
  OnCallerClosed();
  queue_.Clear();
  queue_account_.Hold(0);
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

asio::awaitable<void> http_session::ReadRequests() {
  bool reads_on = true;
  while (reads_on) {
    reads_on = co_await ReadRequest();
    reading_request_ = false;
    reading_bytes_ = 0;
    input_refused_ = false;
    input_account_.End();
    HoldBuffer();
  }
  reading_ended_ = true;
  WriteNext();
}

// True if the connection is to be closed after the requests that were read.
bool http_session::IsClosing() const {
  return closing_ || server_->stopping_;
}

// True if there is a response to write that can still announce the close.
bool http_session::HasUnwritten() const {
  return queue_.size() > (writing_ ? 1 : 0);
}

// True if another request may be started while earlier ones are pending.
bool http_session::HasRoom() const {
  const http_server_options& options = server_->options_;
  return queue_.empty() ||
         (!last_runs_alone_ && queue_.size() < options.max_pipelined_requests &&
          queue_.HeldBytes() < options.max_pipelined_bytes);
}

// Waits for the first byte of a request. False if no further request is read:
// the caller closed the connection, or it must be closed after the last
// response, after the idle timeout or at a graceful stop.
asio::awaitable<bool> http_session::AwaitRequest() {
  while (!caller_closed_) {
    if (response_closed_ || (IsClosing() && HasUnwritten())) {
      co_return false;
    }
    if (buffer_.size() > 0 && HasRoom()) {
      co_return true;
    }
    // At a graceful stop the caller may send a request before it notices the
    // close. The 408 states that the request was not run.
    if (queue_.empty() && !readable_ && server_->closing_idle_) {
      Respond(incoming_request{},
              BuildNotRunResponse(408, "The server is stopping."));
      co_return false;
    }
    const time_point deadline =
        queue_.empty() ? idle_since_ + limits_.idle_timeout : time_point::max();
    if (clock::now() >= deadline) {
      co_return false;
    }
    co_await Receive(deadline);
  }
  co_return false;
}

// Waits until the responses to all requests that were read are written.
asio::awaitable<void> http_session::AwaitTurn() {
  while (!queue_.empty()) {
    co_await Receive(time_point::max());
  }
}

// Reads the next request and starts it. False if no further request is read.
asio::awaitable<bool> http_session::ReadRequest() {
  limits_ = server_->options_.limits();
  const bool begun = co_await AwaitRequest();
  if (!begun) {
    co_return false;
  }
  reading_request_ = true;
  input_account_.Begin();
  incoming_request incoming{.arrived_at = received_at_};
  const bool head_read = co_await ReadHead(incoming);
  if (!head_read) {
    co_return false;
  }
  if (incoming.runs_alone || incoming.expects_continue) {
    co_await AwaitTurn();
  }
  if (caller_closed_) {
    co_return false;
  }
  if (RefuseHead(incoming)) {
    co_return !reading_ended_;
  }
  const bool body_read = co_await ReadRequestBody(incoming);
  if (!body_read) {
    co_return false;
  }
  co_return StartRequest(incoming);
}

// False if there is no valid head. A response is pending then, unless the
// caller closed the connection.
asio::awaitable<bool> http_session::ReadHead(incoming_request& incoming) {
  const http_server_options& options = server_->options_;
  limits_ = options.limits();
  // The buffer may hold pipelined requests that arrived under larger limits.
  buffer_.max_size(
      std::max({kMaxBufferedBytes, limits_.max_header_bytes, buffer_.size()}));
  request_parser& parser = incoming.parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser.body_limit(limits_.max_body_bytes);
  const beast::error_code error =
      co_await Read(parser, message_part::kHead,
                    clock::now() + limits_.header_timeout, kNoLimit);
  if (error) {
    RejectUnlessClosed(ClassifyReadError(error), incoming);
    co_return false;
  }
  incoming.request = CopyHead(parser);
  if (incoming.request.headers.size() > options.max_header_fields) {
    RejectUnlessClosed(
        {.status = 431, .cause = rejection_cause::kTooManyFields}, incoming);
    co_return false;
  }
  if (HasUnknownEncoding(parser)) {
    RejectUnlessClosed({.status = 400, .detail = "unknown transfer encoding"},
                       incoming);
    co_return false;
  }
  incoming.runs_alone = !server_->handler_.MayPipeline(incoming.request);
  incoming.expects_continue =
      beast::iequals(parser.get()[http::field::expect], "100-continue");
  co_return true;
}

// True if the handler refuses the request by its head. The response is pending
// then.
bool http_session::RefuseHead(const incoming_request& incoming) {
  std::optional<http_response> refusal =
      server_->handler_.OnHead(incoming.request);
  if (!refusal) {
    return false;
  }
  const request_parser& parser = incoming.parser;
  reading_ended_ = !parser.is_done() || !parser.get().keep_alive();
  Respond(incoming, std::move(*refusal));
  return true;
}

// False if the body did not arrive whole. A response is pending then, unless
// the caller closed the connection.
asio::awaitable<bool> http_session::ReadRequestBody(
    incoming_request& incoming) {
  request_parser& parser = incoming.parser;
  if (parser.is_done()) {
    co_return true;
  }
  if (incoming.expects_continue) {
    co_await WriteContinue(parser.get().version());
  }
  parser.eager(true);
  const time_point deadline = clock::now() + limits_.idle_timeout;
  const std::size_t buffer_bytes = BodyBufferBytes(parser.content_length());
  if (TryHoldInput(buffer_bytes) == memory_grant::kGranted) {
    buffer_.reserve(buffer_bytes);
  }
  beast::error_code error = co_await Read(parser, message_part::kBody, deadline,
                                          MaxReceived(limits_.max_body_bytes));
  if (!error) {
    error = co_await HoldCopies(parser.get().body().size(), deadline);
  }
  if (error) {
    RejectUnlessClosed(ClassifyReadError(error), incoming);
  }
  ReleaseBodyBuffer(buffer_);
  co_return !error;
}

// Tells the caller to send the body.
asio::awaitable<void> http_session::WriteContinue(unsigned version) {
  http::response<http::empty_body> proceed(http::status::continue_, version);
  StartWriteTimeout();
  auto [error, size] =
      co_await http::async_write(socket_, proceed, kNothrowAwaitable);
  write_timeout_.cancel();
  if (error) {
    OnCallerClosed();
  }
}

// Ends a request without the handler's decision, unless the caller closed the
// connection. No further request is read.
void http_session::RejectUnlessClosed(http_rejection rejection,
                                      const incoming_request& incoming) {
  if (caller_closed_ && rejection.cause == rejection_cause::kMalformed) {
    return;
  }
  rejection.head = CopyHead(incoming.parser);
  rejection.limits = limits_;
  std::optional<http_response> response =
      server_->handler_.OnRejected(rejection);
  if (!response) {
    response = BuildNotRunResponse(rejection.status, RejectionText(rejection));
    if (rejection.cause == rejection_cause::kNoMemory) {
      response->headers.push_back({.name = "retry-after", .value = "1"});
    }
  }
  reading_ended_ = true;
  Respond(incoming, std::move(*response));
}

// Adds a response that waits for its turn, and ends the reading of its request.
// Set reading_ended_ before if no further request is read.
void http_session::Respond(const incoming_request& incoming,
                           http_response response) {
  reading_request_ = false;
  const auto& head = incoming.parser.get();
  queue_.Add({.version = head.version(),
              .head_only = head.method() == http::verb::head,
              .response = std::move(response)});
  WriteNext();
}

// Passes a request to the handler. Its response is written in its turn. False
// if no further request is read.
bool http_session::StartRequest(incoming_request& incoming) {
  // A caller may have closed the connection while this process was paused. Its
  // request is not run.
  if (Peek(socket_) == peek_result::kClosed) {
    OnCallerClosed();
    return false;
  }
  auto& message = incoming.parser.get();
  http_request& request = incoming.request;
  request.body = std::move(message.body());
  request.waited =
      std::chrono::duration_cast<duration>(clock::now() - incoming.arrived_at);
  last_runs_alone_ = incoming.runs_alone;
  const std::uint64_t number =
      queue_.Add({.version = message.version(),
                  .head_only = message.method() == http::verb::head,
                  .held_bytes = request.body.size(),
                  .budget_bytes = reading_bytes_ +
                                  request.body.size() * (kBodyCopies - 1)});
  queue_account_.Hold(queue_.BudgetBytes());
  const auto self = shared_from_this();
  response_callback reply = [self, number](http_response response) {
    asio::post(self->socket_.get_executor(),
               [self, number, response = std::move(response)]() mutable {
                 self->queue_.SetResponse(number, std::move(response));
                 if (self->HoldResponse()) {
                   self->WriteNext();
                 }
               });
  };
  queue_.SetAbort(number, server_->handler_.OnRequest(std::move(request),
                                                      std::move(reply)));
  return message.keep_alive();
}

// ---------------------------------------------------------------------------
// Responses
// ---------------------------------------------------------------------------

// Writes the next response if it is there and none is being written.
void http_session::WriteNext() {
  pending_response* next = queue_.Front();
  if (writing_ || next == nullptr) {
    return;
  }
  writing_ = true;
  queue_account_.Begin();
  closing_ |= next->response->close;
  // The request that is being read gets a response too.
  const bool last = queue_.size() == 1 && !reading_request_;
  const bool keep_alive = !last || !(reading_ended_ || IsClosing());
  closing_ |= !keep_alive;
  response_closed_ |= !keep_alive;
  StartWriteTimeout();
  outgoing_.emplace(BuildMessage(*next, keep_alive), next->head_only);
  const auto self = shared_from_this();
  const auto on_written = [self](const beast::error_code& error, std::size_t) {
    self->OnWritten(error);
  };
  if (next->head_only) {
    http::async_write_header(socket_, outgoing_->serializer, on_written);
  } else {
    http::async_write(socket_, outgoing_->serializer, on_written);
  }
}

void http_session::OnWritten(const beast::error_code& error) {
  writing_ = false;
  write_timeout_.cancel();
  outgoing_.reset();
  queue_.PopFront();
  idle_since_ = clock::now();
  if (error || abandoned_) {
    OnCallerClosed();
    queue_.Clear();
  }
  queue_account_.End();
  queue_account_.Hold(queue_.BudgetBytes());
  WriteNext();
  reader_wakeup_.cancel();
}

// Cancels the pending operations of the socket if a response is not written in
// time.
void http_session::StartWriteTimeout() {
  write_timeout_.expires_after(limits_.idle_timeout);
  write_timeout_.async_wait(
      [self = shared_from_this()](const beast::error_code& error) {
        if (!error) {
          beast::error_code ignored;
          self->socket_.cancel(ignored);
        }
      });
}

// Reads and discards what the caller still sends. Closing a socket with unread
// data resets the connection, possibly before the caller has read the response.
asio::awaitable<void> http_session::DiscardInput() {
  constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
  constexpr auto kDiscardTimeout = std::chrono::seconds(1);
  const time_point deadline = clock::now() + kDiscardTimeout;
  std::size_t discarded = 0;
  while (!caller_closed_ && discarded < kMaxDiscardedBytes &&
         clock::now() < deadline) {
    buffer_.clear();
    buffer_.shrink_to_fit();
    co_await Receive(deadline);
    discarded += buffer_.size();
  }
}

}  // namespace parsleyyard
