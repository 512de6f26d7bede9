// Sizes the buffer in which HTTP bodies arrive. Internal to net/.

#ifndef PARSLEYYARD_NET_BODY_BUFFER_H_
#define PARSLEYYARD_NET_BODY_BUFFER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>

namespace parsleyyard {

// Beast reads as much at once as the buffer has room for: 512 bytes in one that
// has just grown for a head, which is 128 system calls for a body of 64 KB.
// Call this between head and body. `length` is the content length, if stated.
inline void ReserveForBody(boost::beast::flat_buffer& buffer,
                           const boost::optional<std::uint64_t>& length) {
  constexpr std::uint64_t kMostAtOnce = std::uint64_t{64} * 1024;  // bytes
  constexpr std::uint64_t kUnknownLength = 4096;                   // bytes
  buffer.reserve(std::min(length.value_or(kUnknownLength), kMostAtOnce));
}

// Call this after the message, so that idle connections hold little memory.
inline void ReleaseBody(boost::beast::flat_buffer& buffer) {
  constexpr std::size_t kMostKept = 4096;  // bytes
  if (buffer.size() == 0 && buffer.capacity() > kMostKept) {
    buffer.shrink_to_fit();
  }
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_BODY_BUFFER_H_
