// An HTTP server with a handler, and helpers for the tests of the HTTP server
// and client.

#ifndef PARSLEYYARD_TESTS_HTTP_FIXTURES_H_
#define PARSLEYYARD_TESTS_HTTP_FIXTURES_H_

#include "net/net.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace parsleyyard {

inline constexpr std::uint16_t kHttpPort = 18480;

// A message that never ends: `repeated` follows `start` until the receiver
// closes the connection.
struct endless_message {
  std::string start;
  std::string repeated;
};

// Sends `message` until the receiver closes the connection, or until `limit`
// bytes were sent. Returns the number of bytes sent.
inline std::size_t SendEndlessly(tcp::socket& socket,
                                 const endless_message& message,
                                 std::size_t limit) {
  constexpr std::size_t kBlockBytes = std::size_t{64} << 10;
  std::string block;
  while (block.size() < kBlockBytes) {
    block += message.repeated;
  }
  boost::system::error_code error;
  std::size_t sent = asio::write(socket, asio::buffer(message.start), error);
  while (!error && sent < limit) {
    sent += asio::write(socket, asio::buffer(block), error);
  }
  return sent;
}

// Responds to each request with the length of its body, asynchronously.
class body_size_handler : public http_handler {
 public:
  explicit body_size_handler(asio::io_context& context) : context_(context) {}
  std::optional<http_response> OnHead(const http_request& head) override {
    if (head.target == "/refused") {
      return http_response{.status = 421, .body = "refused\n"};
    }
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    ++requests;
    asio::post(context_, [size = request.body.size(), reply] {
      reply({.body = std::to_string(size)});
    });
    return [this] { ++aborted; };
  }

  std::atomic<int> requests{0};
  std::atomic<int> aborted{0};

 private:
  asio::io_context& context_;
};

// An HTTP server on an io_context with two threads.
class server_fixture : public ::testing::Test {
 protected:
  explicit server_fixture(http_server_options options)
      : handler_(workers_.context),
        server_(workers_.context, std::move(options), handler_) {
    EXPECT_TRUE(server_.Listen());
  }

  worker_threads workers_;
  body_size_handler handler_;
  http_server server_;
};

class http_fixture : public server_fixture {
 protected:
  http_fixture()
      : server_fixture({.address = kHost, .port = kHttpPort, .limits = [] {
                          return http_limits{.max_header_bytes = 4096,
                                             .max_body_bytes = 10000};
                        }}) {}

  static tcp::socket Connect(asio::io_context& context) {
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(kHost), kHttpPort});
    return socket;
  }

  // Sends `bytes`, ends the sending side and returns everything that the server
  // sends until it closes the connection.
  static std::string Exchange(const std::string& bytes) {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }
};

// Reads until the other side closes the connection. Returns the error text if
// it resets the connection instead.
inline std::string ReadAll(tcp::socket& socket) {
  std::string response;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(response), error);
  return error == asio::error::eof ? response : error.message();
}

inline const std::string kGet = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

}  // namespace parsleyyard

#endif  // PARSLEYYARD_TESTS_HTTP_FIXTURES_H_
