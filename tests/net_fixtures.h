// Threads, addresses and bytes for tests of sockets.

#ifndef PARSLEYYARD_TESTS_NET_FIXTURES_H_
#define PARSLEYYARD_TESTS_NET_FIXTURES_H_

#include "net/net.h"

#include <gtest/gtest.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <random>
#include <string>
#include <thread>
#include <vector>

namespace parsleyyard {

using tcp = asio::ip::tcp;
inline constexpr const char* kHost = "127.9.0.1";

// An io_context with two threads, as in the daemon.
class workers {
 public:
  workers() : guard_(asio::make_work_guard(context)) {
    for (int i = 0; i < 2; ++i) {
      threads_.emplace_back([this] { context.run(); });
    }
  }
  ~workers() {
    guard_.reset();
    context.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  workers(const workers&) = delete;
  workers& operator=(const workers&) = delete;

  asio::io_context context{2};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::vector<std::thread> threads_;
};

inline std::string RandomBytes(std::mt19937_64& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random());
  }
  return bytes;
}

inline void Say(tcp::socket& socket, const std::string& text) {
  boost::system::error_code error;
  asio::write(socket, asio::buffer(text), error);
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_TESTS_NET_FIXTURES_H_
