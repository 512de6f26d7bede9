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

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kKeptBuffer = std::size_t{64} * 1024;  // bytes

// The value of a result, or nothing; errors of the wire layer end a stream.
template <class Value>
std::optional<Value> ValueOf(const std::function<leaf::result<Value>()>& read) {
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
      watch_timer_(socket_.get_executor()),
      sent_at_(std::chrono::steady_clock::now()),
      heard_at_(sent_at_) {}

void stream_link::Start(std::optional<tcp::endpoint> target) {
  auto self = shared_from_this();
  asio::co_spawn(
      socket_.get_executor(),
      [self, target]() -> asio::awaitable<void> { co_await self->Run(target); },
      asio::detached);
  asio::co_spawn(
      socket_.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->WatchIdle(); },
      asio::detached);
}

asio::awaitable<void> stream_link::Run(std::optional<tcp::endpoint> target) {
  boost::system::error_code error;
  if (target) {
    auto [connect_error] = co_await socket_.async_connect(*target, kTuple);
    error = connect_error;
  }
  if (!error && !closed_) {
    socket_.set_option(tcp::no_delay(true), error);
    ready_ = true;
    const auto hello = std::make_shared<const std::string>(Encode(link_hello{
        .from = options_.address, .incarnation = options_.incarnation}));
    Send(hello, true);
    const bool clean = co_await ReadFrames();
    if (!clean) {
      listener_.OnBadFrame();
    }
  }
  Close();
  listener_.OnClosed(shared_from_this());
}

// Reads until the stream ends. False if a frame was refused.
asio::awaitable<bool> stream_link::ReadFrames() {
  constexpr std::size_t kReadAtOnce = std::size_t{16} * 1024;  // bytes
  std::string received;
  while (!closed_) {
    const std::size_t held = received.size();
    received.resize(held + std::max(kReadAtOnce, missing_));
    auto [error, size] =
        co_await socket_.async_read_some(asio::buffer(received) + held, kTuple);
    received.resize(held + size);
    if (error) {
      co_return true;
    }
    heard_at_ = std::chrono::steady_clock::now();
    probed_ = false;
    if (!TakeFrames(received)) {
      co_return false;
    }
  }
  co_return true;
}

// Handles the whole frames at the front and leaves the rest. False if one of
// them is refused.
bool stream_link::TakeFrames(std::string& received) {
  std::size_t at = 0;
  missing_ = 0;
  while (received.size() - at >= kFrameHeaderBytes && !closed_) {
    const std::string_view rest = std::string_view(received).substr(at);
    const auto length = ValueOf<std::size_t>([&] { return BodyLength(rest); });
    if (!length) {
      return false;
    }
    const std::size_t whole = kFrameHeaderBytes + *length;
    if (rest.size() < whole) {
      missing_ = whole - rest.size();
      break;
    }
    if (!TakeFrame(rest.substr(0, whole))) {
      return false;
    }
    at += whole;
  }
  received.erase(0, at);
  if (received.empty() && received.capacity() > kKeptBuffer) {
    received.shrink_to_fit();
  }
  return true;
}

bool stream_link::TakeFrame(std::string_view frame) {
  std::optional<any_message> message =
      ValueOf<any_message>([&] { return Decode(frame); });
  const auto* hello = message ? std::get_if<link_hello>(&*message) : nullptr;
  if (!message || greeted_ == (hello != nullptr)) {
    return false;
  }
  if (const auto* probe = std::get_if<link_probe>(&*message)) {
    if (!probe->reply) {
      SendMessage(link_probe{.reply = true});
    }
    return true;
  }
  if (hello != nullptr) {
    greeted_ = true;
    listener_.OnHello(shared_from_this(), *hello);
  } else {
    listener_.OnFrame(shared_from_this(), std::move(*message));
  }
  return true;
}

void stream_link::SendMessage(const any_message& message) {
  Send(std::make_shared<const std::string>(Encode(message)), false);
}

void stream_link::Send(frame_ptr frame, bool urgent) {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this(),
                                          frame = std::move(frame), urgent] {
    if (self->closed_) {
      return;
    }
    self->queued_bytes_ += frame->size();
    if (self->queued_bytes_ > self->options_.max_queued_bytes) {
      self->Close();
      return;
    }
    // The first elements may be in the middle of being written.
    self->queue_.insert(urgent
                            ? std::next(self->queue_.begin(), self->in_write_)
                            : self->queue_.end(),
                        frame);
    if (self->ready_ && !self->writing_) {
      self->writing_ = true;
      asio::co_spawn(
          self->socket_.get_executor(),
          [self]() -> asio::awaitable<void> { co_await self->WriteQueue(); },
          asio::detached);
    }
  });
}

// Writes what waits in as few calls as possible.
asio::awaitable<void> stream_link::WriteQueue() {
  while (!queue_.empty() && !closed_) {
    const std::vector<frame_ptr> batch(queue_.begin(), queue_.end());
    std::vector<asio::const_buffer> buffers;
    for (const frame_ptr& frame : batch) {
      buffers.emplace_back(asio::buffer(*frame));
    }
    in_write_ = std::ssize(batch);
    auto [error, size] = co_await asio::async_write(socket_, buffers, kTuple);
    if (error) {
      Close();
      break;
    }
    sent_at_ = std::chrono::steady_clock::now();
    for (const frame_ptr& frame : batch) {
      queued_bytes_ -= frame->size();
      queue_.pop_front();
    }
    in_write_ = 0;
  }
  writing_ = false;
}

// Ends a stream that never got a hello in time, that nobody uses, or whose peer
// is silent. Connections can go silent for good without a reset.
asio::awaitable<void> stream_link::WatchIdle() {
  watch_timer_.expires_after(options_.connect_timeout);
  co_await watch_timer_.async_wait(kTuple);
  if (!greeted_) {
    Close();
  }
  while (!closed_) {
    watch_timer_.expires_after(options_.probe_delay);
    co_await watch_timer_.async_wait(kTuple);
    const auto now = std::chrono::steady_clock::now();
    const bool awaits_word = outgoing && sent_at_ > heard_at_;
    const bool unused =
        now - std::max(sent_at_, heard_at_) >= options_.idle_timeout;
    const bool silent = probed_ && now - probed_at_ >= options_.probe_timeout;
    if (silent || unused) {
      Close();
    } else if (!probed_ && awaits_word &&
               now - heard_at_ >= options_.probe_delay) {
      probed_ = true;
      probed_at_ = now;
      SendMessage(link_probe{});
    }
  }
}

void stream_link::Close() {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    self->closed_ = true;
    boost::system::error_code ignored;
    self->socket_.close(ignored);
    self->watch_timer_.cancel();
  });
}

}  // namespace parsleyyard
