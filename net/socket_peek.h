// Checks the state of a socket without consuming data. Internal to net/.

#ifndef PARSLEYYARD_NET_SOCKET_PEEK_H_
#define PARSLEYYARD_NET_SOCKET_PEEK_H_

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace parsleyyard {

enum class peek_result : std::uint8_t {
  kNoData,  // open, no data to read
  kData,    // data to read
  kClosed,  // closed or reset by the other side
};

// Does not block. A socket that was reported readable may have no data: with
// several threads the report can be older than a read that consumed the data.
inline peek_result Peek(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  const std::size_t size =
      socket.receive(boost::asio::buffer(&byte, 1),
                     boost::asio::ip::tcp::socket::message_peek, error);
  if (error == boost::asio::error::would_block) {
    return peek_result::kNoData;
  }
  return !error && size > 0 ? peek_result::kData : peek_result::kClosed;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_SOCKET_PEEK_H_
