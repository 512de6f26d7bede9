// Worker threads, an address and helpers for tests with sockets.

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

// An io_context with two threads, as in a daemon with two workers.
class worker_threads {
 public:
  worker_threads() : guard_(asio::make_work_guard(context)) {
    for (int i = 0; i < 2; ++i) {
      threads_.emplace_back([this] { context.run(); });
    }
  }
  ~worker_threads() {
    guard_.reset();
    context.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  worker_threads(const worker_threads&) = delete;
  worker_threads& operator=(const worker_threads&) = delete;

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

// Ignores errors: the other side may have closed the connection.
inline void WriteText(tcp::socket& socket, const std::string& text) {
  boost::system::error_code error;
  asio::write(socket, asio::buffer(text), error);
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_TESTS_NET_FIXTURES_H_
