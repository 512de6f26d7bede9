// Runs an HTTP client against a server on loopback whose bytes the fuzz target
// chooses, in one thread.

#ifndef PARSLEYYARD_FUZZ_CLIENT_RUNNER_H_
#define PARSLEYYARD_FUZZ_CLIENT_RUNNER_H_

#include "fuzz/check.h"
#include "net/net.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyyard {

// How the server ends a connection.
enum class server_end : std::uint8_t { kStaysOpen, kClose, kReset };

class client_runner {
 public:
  client_runner()
      : acceptor_(context_, {asio::ip::make_address_v4(kAddress), 0}),
        client_(context_,
                {.address = kAddress,
                 .port = acceptor_.local_endpoint().port(),
                 .max_body_bytes = kMaxBodyBytes,
                 .idle_timeout = seconds(100)}) {
    acceptor_.non_blocking(true);
  }

  static constexpr std::size_t kMaxBodyBytes = 4096;
  // The server ends each connection, so no exchange lasts that long.
  static constexpr duration kTimeout = seconds(30);

  // Sends a request, has the server send `bytes` and end the connection, and
  // returns the result. The server keeps the connection with kStaysOpen; it
  // closes it then if the client waits for more.
  http_exchange Exchange(http_request request,
                         std::string_view bytes,
                         server_end end) {
    std::optional<http_exchange> result;
    client_.Request(
        std::move(request), {.timeout = kTimeout},
        [&](http_exchange exchange) { result = std::move(exchange); });
    Settle();
    boost::system::error_code error;
    asio::write(connections_.back(), asio::buffer(bytes), error);
    Settle();
    if (end != server_end::kStaysOpen || !result) {
      End(connections_.back(), end);
      context_.restart();
      while (!result) {
        context_.run_one();
      }
    }
    Check(!result->timed_out, "an exchange ends with its connection");
    return std::move(*result);
  }

 private:
  static constexpr const char* kAddress = "127.0.0.1";

  void Settle() {
    context_.restart();
    while (context_.poll() > 0 || AcceptAll() > 0) {
    }
  }

  std::size_t AcceptAll() {
    std::size_t accepted = 0;
    boost::system::error_code error;
    while (!error) {
      asio::ip::tcp::socket socket = acceptor_.accept(error);
      if (!error) {
        connections_.push_back(std::move(socket));
        ++accepted;
      }
    }
    return accepted;
  }

  static void End(asio::ip::tcp::socket& socket, server_end end) {
    boost::system::error_code error;
    if (end == server_end::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
    } else {
      socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    }
  }

  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> connections_;
  http_client client_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_FUZZ_CLIENT_RUNNER_H_
