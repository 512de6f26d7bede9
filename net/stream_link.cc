#include "net/stream_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace parsleyyard {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

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
      idle_timer_(socket_.get_executor()),
      last_activity_(std::chrono::steady_clock::now()) {}

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
  std::string frame;
  while (!closed_) {
    frame.resize(kFrameHeaderBytes);
    auto [header_error, header_size] =
        co_await asio::async_read(socket_, asio::buffer(frame), kTuple);
    if (header_error) {
      co_return true;
    }
    const auto length = ValueOf<std::size_t>([&] { return BodyLength(frame); });
    if (!length) {
      co_return false;
    }
    frame.resize(kFrameHeaderBytes + *length);
    auto [body_error, body_size] = co_await asio::async_read(
        socket_, asio::buffer(frame) + kFrameHeaderBytes, kTuple);
    if (body_error) {
      co_return true;
    }
    last_activity_ = std::chrono::steady_clock::now();
    std::optional<any_message> message =
        ValueOf<any_message>([&] { return Decode(frame); });
    const auto* hello = message ? std::get_if<link_hello>(&*message) : nullptr;
    if (!message || greeted_ == (hello != nullptr)) {
      co_return false;
    }
    if (hello != nullptr) {
      greeted_ = true;
      listener_.OnHello(shared_from_this(), *hello);
    } else {
      listener_.OnFrame(shared_from_this(), std::move(*message));
    }
  }
  co_return true;
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
    // The first element may be in the middle of being written.
    const bool ahead = urgent && self->queue_.size() > 1;
    self->queue_.insert(ahead ? self->queue_.begin() + 1 : self->queue_.end(),
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

asio::awaitable<void> stream_link::WriteQueue() {
  while (!queue_.empty() && !closed_) {
    const frame_ptr frame = queue_.front();
    auto [error, size] =
        co_await asio::async_write(socket_, asio::buffer(*frame), kTuple);
    if (error) {
      Close();
      break;
    }
    last_activity_ = std::chrono::steady_clock::now();
    queued_bytes_ -= frame->size();
    queue_.pop_front();
  }
  writing_ = false;
}

// Ends a stream that never got a hello in time or that nobody uses.
asio::awaitable<void> stream_link::WatchIdle() {
  idle_timer_.expires_after(options_.connect_timeout);
  co_await idle_timer_.async_wait(kTuple);
  if (!greeted_) {
    Close();
  }
  while (!closed_) {
    idle_timer_.expires_at(last_activity_ + options_.idle_timeout);
    co_await idle_timer_.async_wait(kTuple);
    const bool idle = std::chrono::steady_clock::now() >=
                      last_activity_ + options_.idle_timeout;
    if (idle && queue_.empty()) {
      Close();
    } else if (idle) {
      last_activity_ = std::chrono::steady_clock::now();
    }
  }
}

void stream_link::Close() {
  asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    self->closed_ = true;
    boost::system::error_code ignored;
    self->socket_.close(ignored);
    self->idle_timer_.cancel();
  });
}

}  // namespace parsleyyard
