// One TCP stream of frames between two daemons.

#include "net/stream_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);
// An accepted stream may be idle for this many times the idle timeout.
constexpr int kAcceptedIdleFactor = 2;
// Capacity above which an empty receive buffer is freed.
constexpr std::size_t kMaxKeptBytes = std::size_t{64} * 1024;
// Most bytes received at once, usually and within a long frame.
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kLongReadBytes = std::size_t{64} * 1024;
// A message that takes fewer bytes is handled even if no memory is left for it.
constexpr std::size_t kMaxHandledBytes = std::size_t{64} * 1024;
// Copies of a message while it is decoded: the uncompressed frame and the
// message.
constexpr std::size_t kDecodedCopies = 2;

// Bytes to count for small ones, so that the usual traffic does not change the
// count.
std::size_t RoundUp(std::size_t bytes) {
  return std::max(bytes, kReadBytes);
}

bool CarriesCall(std::string_view frame) {
  return frame.size() >= kFrameHeaderBytes &&
         TypeOf(frame) != frame_type::kOther;
}

// Converts a result to an optional. Which error of the wire layer occurred does
// not matter, since each one ends the stream.
template <class Value>
std::optional<Value> ToOptional(
    const std::function<leaf::result<Value>()>& read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, read());
        return std::optional<Value>(std::move(value));
      },
      [] { return std::optional<Value>(); });
}

}  // namespace

stream_link::stream_link(tcp::socket socket,
                         const mesh_options& options,
                         stream_listener& listener)
    : socket_(std::move(socket)),
      options_(options),
      listener_(listener),
      liveness_timer_(socket_.get_executor()),
      input_account_(options.memory),
      answers_account_(options.memory),
      sent_at_(std::chrono::steady_clock::now()),
      received_at_(sent_at_) {}

void stream_link::Start(std::optional<tcp::endpoint> target) {
  auto self = shared_from_this();
  input_account_.SetOnShed(
      [weak = weak_from_this(), executor = socket_.get_executor()] {
        asio::post(executor, [weak] {
          if (const std::shared_ptr<stream_link> link = weak.lock()) {
            link->OnInputShed();
          }
        });
      });
  asio::co_spawn(
      socket_.get_executor(),
      [self, target]() -> asio::awaitable<void> { co_await self->Run(target); },
      asio::detached);
  asio::co_spawn(
      socket_.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->WatchLiveness(); },
      asio::detached);
}

asio::awaitable<void> stream_link::Run(std::optional<tcp::endpoint> target) {
  boost::system::error_code error;
  if (target) {
    auto [connect_error] =
        co_await socket_.async_connect(*target, kNothrowAwaitable);
    error = connect_error;
  }
  if (!error && !closed_) {
    socket_.set_option(tcp::no_delay(true), error);
    connected_ = true;
    const auto hello = std::make_shared<const std::string>(Encode(link_hello{
        .from = options_.address, .incarnation = options_.incarnation}));
    Send(hello, true);
    const bool valid = co_await ReadFrames();
    if (!valid) {
      listener_.OnBadFrame();
    }
  }
  Close();
  listener_.OnClosed(shared_from_this());
}

// Reads until the stream ends. False if a frame was rejected.
asio::awaitable<bool> stream_link::ReadFrames() {
  std::string input;
  while (!closed_) {
    const bool long_frame =
        std::max(missing_bytes_, discarded_bytes_) > kReadBytes;
    input.resize(long_frame ? kLongReadBytes : kReadBytes);
    auto [error, size] = co_await socket_.async_read_some(asio::buffer(input),
                                                          kNothrowAwaitable);
    if (error) {
      break;
    }
    received_at_ = std::chrono::steady_clock::now();
    awaiting_probe_reply_ = false;
    if (!TakeInput(std::string_view(input).substr(0, size))) {
      co_return false;
    }
  }
  if (close_announced_) {
    co_await AwaitWrites();
  }
  co_return true;
}

// Waits until the answers to what the peer has sent are written.
asio::awaitable<void> stream_link::AwaitWrites() {
  constexpr auto kCheckInterval = std::chrono::milliseconds(1);
  asio::steady_timer timer(socket_.get_executor());
  while (writing_ && !closed_) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(kNothrowAwaitable);
  }
}

// Handles the complete frames among what was received. False if one of them is
// rejected.
bool stream_link::TakeInput(std::string_view input) {
  while (true) {
    const std::size_t discarded = std::min(discarded_bytes_, input.size());
    discarded_bytes_ -= discarded;
    input.remove_prefix(discarded);
    if (input.empty()) {
      return true;
    }
    if (HoldInput(received_.size() + input.size())) {
      break;
    }
    if (!DropUnfinishedFrame()) {
      return false;
    }
  }
  if (missing_bytes_ > input.size()) {
    received_.reserve(received_.size() + missing_bytes_);
  }
  received_.append(input);
  return HandleFrames();
}

// Handles the complete frames at the front of received_ and removes them. False
// if one of them is rejected.
bool stream_link::HandleFrames() {
  std::size_t offset = 0;
  missing_bytes_ = 0;
  while (received_.size() - offset >= kFrameHeaderBytes && !closed_) {
    const std::string_view rest = std::string_view(received_).substr(offset);
    const auto length =
        ToOptional<std::size_t>([&] { return BodyLength(rest); });
    if (!length) {
      return false;
    }
    const std::size_t frame_bytes = kFrameHeaderBytes + *length;
    if (rest.size() < frame_bytes) {
      missing_bytes_ = frame_bytes - rest.size();
      break;
    }
    const std::string_view frame = rest.substr(0, frame_bytes);
    if (!(HoldDecoded(frame) ? HandleFrame(frame) : DropFrame(frame))) {
      return false;
    }
    offset += frame_bytes;
  }
  received_.erase(0, offset);
  if (received_.empty() && received_.capacity() > kMaxKeptBytes) {
    received_.shrink_to_fit();
  }
  HoldRest();
  return true;
}

// ---------------------------------------------------------------------------
// Memory
// ---------------------------------------------------------------------------

// Asks for memory to receive `bytes` in all. False if the unfinished frame is
// to be dropped. Only a long frame of a call can be: what others give way for
// it is there at once or a moment later.
bool stream_link::HoldInput(std::size_t bytes) {
  if (received_.size() >= kCallIdPrefixBytes && CarriesCall(received_)) {
    input_account_.Begin();
    if (input_account_.TryHold(bytes) == memory_grant::kRefused) {
      return false;
    }
  }
  input_account_.Hold(RoundUp(bytes));
  return true;
}

// Asks for memory to decode a frame. False if it is to be dropped.
bool stream_link::HoldDecoded(std::string_view frame) {
  const std::size_t plain = PlainBodyLength(frame);
  if (plain <= kMaxHandledBytes || !CarriesCall(frame)) {
    return true;
  }
  const std::size_t bytes = received_.size() + plain * kDecodedCopies;
  if (input_account_.TryHold(bytes) == memory_grant::kRefused) {
    return false;
  }
  input_account_.Hold(bytes);
  return true;
}

// Counts what is left after the complete frames were handled.
void stream_link::HoldRest() {
  if (received_.size() < kCallIdPrefixBytes) {
    input_account_.End();
  }
  input_account_.Hold(RoundUp(received_.size()));
}

// Drops the frame that is being received and discards its rest when it comes.
// False if its call can't be told.
bool stream_link::DropUnfinishedFrame() {
  if (!DropFrame(received_)) {
    return false;
  }
  discarded_bytes_ = missing_bytes_;
  missing_bytes_ = 0;
  received_.clear();
  received_.shrink_to_fit();
  HoldRest();
  return true;
}

// Reports a call that is not handled, from the start of its frame. An answer is
// replaced by one that states nothing. False if the call can't be told.
bool stream_link::DropFrame(std::string_view frame) {
  const auto id = ToOptional<call_id>([&] { return DecodeCallId(frame); });
  if (!id || !hello_received_) {
    return false;
  }
  if (TypeOf(frame) == frame_type::kCall) {
    listener_.OnCallDropped(shared_from_this(), *id);
  } else {
    listener_.OnMessage(shared_from_this(),
                        call_answer{.id = *id,
                                    .outcome = call_outcome::kUnknown,
                                    .reason = refusal_reason::kBadAnswer,
                                    .reached_instance = true});
  }
  return true;
}

// Counts the answers that wait for a peer that is slow to read them. What an
// outgoing stream carries counts where it comes from. False if there is no
// memory for a long answer of `added` bytes.
bool stream_link::HoldAnswers(std::size_t added) {
  if (outgoing) {
    return true;
  }
  const std::size_t bytes = RoundUp(queued_bytes_);
  const bool refused =
      answers_account_.TryHold(bytes) == memory_grant::kRefused &&
      added > kMaxHandledBytes;
  answers_account_.Hold(bytes);
  return !refused;
}

void stream_link::OnInputShed() {
  if (!input_account_.GivesWay() || closed_) {
    return;
  }
  if (!DropUnfinishedFrame()) {
    listener_.OnBadFrame();
    Close();
  }
}

// Handles one frame. False if it cannot be decoded, if the first message is not
// a hello, or if a later one is.
bool stream_link::HandleFrame(std::string_view frame) {
  std::optional<any_message> message =
      ToOptional<any_message>([&] { return Decode(frame); });
  const auto* hello = message ? std::get_if<link_hello>(&*message) : nullptr;
  if (!message || hello_received_ == (hello != nullptr)) {
    return false;
  }
  if (const auto* probe = std::get_if<link_probe>(&*message)) {
    if (!probe->reply) {
      SendMessage(link_probe{.reply = true});
    }
    return true;
  }
  if (std::holds_alternative<link_close>(*message)) {
    if (outgoing) {
      listener_.OnPeerStops(shared_from_this());
      EndSending();
    }
    return outgoing;
  }
  if (hello != nullptr) {
    hello_received_ = true;
    listener_.OnHello(shared_from_this(), *hello);
  } else {
    listener_.OnMessage(shared_from_this(), std::move(*message));
  }
  return true;
}

void stream_link::SendMessage(const any_message& message) {
  Send(std::make_shared<const std::string>(Encode(message)), false);
}

void stream_link::Send(frame_ptr frame, bool urgent) {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this(),
                                          frame = std::move(frame), urgent] {
    if (self->closed_ || self->sending_ended_) {
      return;
    }
    self->queued_bytes_ += frame->size();
    if (self->queued_bytes_ > self->options_.max_queued_bytes ||
        !self->HoldAnswers(frame->size())) {
      self->Close();
      return;
    }
    // A write of the first frames may be in progress.
    self->queue_.insert(
        urgent ? std::next(self->queue_.begin(), self->frames_in_write_)
               : self->queue_.end(),
        frame);
    if (self->connected_ && !self->writing_) {
      self->writing_ = true;
      asio::co_spawn(
          self->socket_.get_executor(),
          [self]() -> asio::awaitable<void> { co_await self->WriteQueue(); },
          asio::detached);
    }
  });
}

// Writes the queued frames, as many as possible with each call.
asio::awaitable<void> stream_link::WriteQueue() {
  while (!queue_.empty() && !closed_) {
    const std::vector<frame_ptr> batch(queue_.begin(), queue_.end());
    std::vector<asio::const_buffer> buffers;
    for (const frame_ptr& frame : batch) {
      buffers.emplace_back(asio::buffer(*frame));
    }
    frames_in_write_ = std::ssize(batch);
    auto [error, size] =
        co_await asio::async_write(socket_, buffers, kNothrowAwaitable);
    if (error) {
      Close();
      break;
    }
    sent_at_ = std::chrono::steady_clock::now();
    for (const frame_ptr& frame : batch) {
      queued_bytes_ -= frame->size();
      queue_.pop_front();
    }
    HoldAnswers(0);
    frames_in_write_ = 0;
  }
  writing_ = false;
  if (sending_ended_) {
    EndSending();
  }
}

void stream_link::AnnounceClose() {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    self->close_announced_ = true;
    self->SendMessage(link_close{});
  });
}

// Ends this side's direction of the stream once the queue is written.
void stream_link::EndSending() {
  sending_ended_ = true;
  if (!writing_) {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

// The side that accepted the stream waits longer, so that the other one closes
// it: only that side can tell an idle stream from a peer that is gone.
bool stream_link::IsIdle(std::chrono::steady_clock::time_point now) const {
  const duration limit = outgoing ? options_.idle_timeout
                                  : options_.idle_timeout * kAcceptedIdleFactor;
  return now - std::max(sent_at_, received_at_) >= limit;
}

// Closes a stream if the peer's hello is late, if the stream is idle, or if the
// peer does not reply to a probe. A connection can stop carrying data for good
// without a reset.
asio::awaitable<void> stream_link::WatchLiveness() {
  liveness_timer_.expires_after(options_.connect_timeout);
  co_await liveness_timer_.async_wait(kNothrowAwaitable);
  if (!hello_received_) {
    Close();
  }
  while (!closed_) {
    liveness_timer_.expires_after(options_.probe_delay);
    co_await liveness_timer_.async_wait(kNothrowAwaitable);
    const auto now = std::chrono::steady_clock::now();
    const bool awaits_data = outgoing && sent_at_ > received_at_;
    const bool probe_expired =
        awaiting_probe_reply_ && now - probe_sent_at_ >= options_.probe_timeout;
    if (probe_expired) {
      Close();
    } else if (IsIdle(now)) {
      closed_as_idle_ = true;
      Close();
    } else if (!awaiting_probe_reply_ && awaits_data &&
               now - received_at_ >= options_.probe_delay) {
      awaiting_probe_reply_ = true;
      probe_sent_at_ = now;
      SendMessage(link_probe{});
    }
  }
}

void stream_link::Close() {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    self->closed_ = true;
    boost::system::error_code ignored;
    self->socket_.close(ignored);
    self->liveness_timer_.cancel();
  });
}

}  // namespace parsleyyard
