// Reads HTTP bodies within limits on memory and bytes. Internal to net/.

#ifndef PARSLEYYARD_NET_READ_BODY_H_
#define PARSLEYYARD_NET_READ_BODY_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace parsleyyard {

// Limit on the bytes of a message that are read and not parsed yet. Beast
// limits heads and the content of bodies. Without this limit it would keep a
// chunk header or a trailer of any size.
inline constexpr std::size_t kMaxBufferedBytes = std::size_t{128} * 1024;

// Limit on the bytes that are received for one body, with the framing of a
// chunked one. `max_body_bytes` is the size of the largest body.
inline constexpr std::size_t MaxReceived(std::size_t max_body_bytes) {
  return 2 * max_body_bytes + kMaxBufferedBytes;
}

// The buffer to reserve for a body. Without it Beast reads 512 bytes at a time
// into a buffer that has just grown for a head, which is 128 system calls for a
// body of 64 KB. `length` is the content length, if stated.
inline std::size_t BodyBufferBytes(
    const boost::optional<std::uint64_t>& length) {
  constexpr std::uint64_t kMaxReservedBytes = std::uint64_t{64} * 1024;
  constexpr std::uint64_t kBytesForUnknownLength = 4096;
  return std::min(length.value_or(kBytesForUnknownLength), kMaxReservedBytes);
}

// Frees a large buffer, so that idle connections hold little memory.
inline void ReleaseBodyBuffer(boost::beast::flat_buffer& buffer) {
  constexpr std::size_t kMaxKeptBytes = 4096;
  if (buffer.size() == 0 && buffer.capacity() > kMaxKeptBytes) {
    buffer.shrink_to_fit();
  }
}

// Limits the bytes of all bodies that are being read. Thread-safe.
class byte_budget {
 public:
  explicit byte_budget(std::size_t limit) : limit_(limit) {}
  // Returns false if the budget is used up. Return the bytes all the same.
  bool Take(std::size_t bytes) { return (used_ += bytes) <= limit_; }
  void Return(std::size_t bytes) { used_ -= bytes; }

 private:
  const std::size_t limit_;
  std::atomic<std::size_t> used_{0};
};

// Reads the rest of a message, whose head is in `parser`. Fails with
// http::error::buffer_overflow if the framing of a chunked body takes as many
// bytes as the largest body, whose size is `max_body_bytes`, and with
// http::error::body_limit if `budget` is used up; null: no budget.
template <class Parser>
boost::asio::awaitable<boost::beast::error_code> ReadBody(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    Parser& parser,
    std::size_t max_body_bytes,
    byte_budget* budget) {
  namespace http = boost::beast::http;
  namespace asio = boost::asio;
  buffer.reserve(BodyBufferBytes(parser.content_length()));
  const std::size_t max_received = MaxReceived(max_body_bytes);
  boost::beast::error_code result;
  std::size_t received = 0;
  while (!result && !parser.is_done()) {
    auto [error, size] = co_await http::async_read_some(
        stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
    result = error;
    received += size;
    const bool within_budget = budget == nullptr || budget->Take(size);
    if (!result && !within_budget) {
      result = http::error::body_limit;
    }
    if (!result && received > max_received) {
      result = http::error::buffer_overflow;
    }
  }
  if (budget != nullptr) {
    budget->Return(received);
  }
  ReleaseBodyBuffer(buffer);
  co_return result;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_READ_BODY_H_
