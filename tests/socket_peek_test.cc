// State of a socket without reading from it.

#include "net/socket_peek.h"
#include "tests/net_fixtures.h"

#include <boost/asio/read.hpp>

namespace parsleyyard {
namespace {

TEST(SocketPeek, DistinguishesNoDataDataAndClosed) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address_v4(kHost), 18482});
  tcp::socket near(context);
  near.connect(acceptor.local_endpoint());
  tcp::socket far = acceptor.accept();
  EXPECT_EQ(Peek(near), peek_result::kNoData);
  asio::write(far, asio::buffer("x", 1));
  near.wait(tcp::socket::wait_read);
  EXPECT_EQ(Peek(near), peek_result::kData);
  char byte = 0;
  asio::read(near, asio::buffer(&byte, 1));
  far.close();
  near.wait(tcp::socket::wait_read);
  EXPECT_EQ(Peek(near), peek_result::kClosed);
}

}  // namespace
}  // namespace parsleyyard
