// Looks at a socket without reading from it. Internal to net/.

#ifndef PARSLEYYARD_NET_SOCKET_PEEK_H_
#define PARSLEYYARD_NET_SOCKET_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace parsleyyard {

enum class peek_result : std::uint8_t {
  kQuiet,   // open, nothing to read
  kData,    // something to read
  kClosed,  // closed or broken by the other side
};

// A socket that was reported readable may turn out to be quiet: with several
// threads the report can be older than a read that took the data.
inline peek_result Peek(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  const std::size_t size =
      socket.receive(boost::asio::buffer(&byte, 1),
                     boost::asio::ip::tcp::socket::message_peek, error);
  if (error == boost::asio::error::would_block) {
    return peek_result::kQuiet;
  }
  return !error && size > 0 ? peek_result::kData : peek_result::kClosed;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_SOCKET_PEEK_H_
