// A server for callers with its handler, a view and a log that tests read.

#ifndef PARSLEYYARD_TESTS_GATE_FIXTURES_H_
#define PARSLEYYARD_TESTS_GATE_FIXTURES_H_

#include "daemon/caller_gate.h"
#include "platform/platform.h"
#include "tests/net_fixtures.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace parsleyyard::testing {

inline constexpr std::uint16_t kGatePort = 18490;
inline constexpr std::size_t kMaxHeaderBytes = 16384;
inline constexpr std::size_t kMaxBodyBytes = 10000;

struct rejected_case {
  std::string bytes;
  int status = 0;
  std::string cause;
  std::string request;  // id in the log line
};

inline std::string Get(const std::string& path) {
  return "GET " + path +
         " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nconnection: close\r\n\r\n";
}

inline std::string RepeatedFields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i) {
    fields += "x: y\r\n";
  }
  return fields;
}

// Zero if `response` is no response.
inline int StatusOf(const std::string& response) {
  constexpr std::size_t kStatusAt = 9;
  return response.starts_with("HTTP/1.1 ")
             ? std::stoi(response.substr(kStatusAt, 3))
             : 0;
}

// The time is set by the test. Thread-safe.
class set_clock : public clock_source {
 public:
  instant Now() const override { return instant(now_us_.load()); }
  void Set(instant now) { now_us_ = now.count(); }

 private:
  std::atomic<instant::rep> now_us_{instant(seconds(1000)).count()};
};

struct gate_view {
  std::uint64_t version = 1;
  std::uint64_t revision = 1;
  std::string prefix = "/a/";
  duration age{};
  duration header_timeout = seconds(3);
  std::size_t max_body_bytes = kMaxBodyBytes;
};

// A gate that answers each call with the length of its body, or with
// `result_`.
class gate_fixture : public ::testing::Test {
 protected:
  gate_fixture() {
    EXPECT_EQ(pipe(pipe_ends_.data()), 0);
    fcntl(pipe_ends_[0], F_SETFL, O_NONBLOCK);
    log_.emplace(event_log_options{.host = "h", .descriptor = pipe_ends_[1]},
                 clock_);
    gate_.emplace(settings_, 1, clock_, random_, view_, dialect_, metrics_,
                  *log_);
    gate_->SetCallbacks(
        [this](std::uint64_t call, const call_plan&, call_request message) {
          EXPECT_NO_THROW(Encode(message));
          last_call_ = message;
          gate_->OnResult(call,
                          result_.value_or(call_result{
                              .outcome = call_outcome::kAnswer,
                              .status = 200,
                              .body = std::to_string(message.body.size())}));
        },
        [](std::uint64_t) {});
    server_.emplace(workers_.context,
                    http_server_options{.address = kHost,
                                        .port = kGatePort,
                                        .limits = [this] { return Limits(); }},
                    *gate_);
    EXPECT_TRUE(server_->Listen());
  }
  ~gate_fixture() override {
    close(pipe_ends_[0]);
    close(pipe_ends_[1]);
  }

  void SetView(const gate_view& set) {
    snapshot view;
    view.position.revision = set.revision;
    view.config = configuration::Create(
                      {.version = set.version,
                       .routes = {{.name = "a",
                                   .virtual_host = "h",
                                   .prefix = set.prefix,
                                   .targets = {{.service = "s"}}}},
                       .services = {{.name = "s"}},
                       .limits = {.max_header_bytes = kMaxHeaderBytes,
                                  .max_body_bytes = set.max_body_bytes,
                                  .header_timeout = set.header_timeout}})
                      .value();
    view_.SetSnapshot(std::make_shared<const snapshot>(std::move(view)));
    view_.SetConfirmedAt(clock_.Now() - set.age);
  }

  http_limits Limits() const {
    const auto view = view_.Current();
    const caller_limits configured =
        view->config ? view->config->limits() : caller_limits();
    return {.max_header_bytes = configured.max_header_bytes,
            .max_body_bytes = std::min<std::size_t>(configured.max_body_bytes,
                                                    settings_.calls.max_body),
            .header_timeout = configured.header_timeout};
  }

  static tcp::socket Connect(asio::io_context& context) {
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(kHost), kGatePort});
    return socket;
  }

  // Returns what the server sends up to and including `end`, or all of it.
  static std::string ReadUntil(tcp::socket& socket, const std::string& end) {
    std::string response;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(response), end, error);
    return response;
  }

  // Sends `bytes` and returns all that the server sends until it closes the
  // connection.
  static std::string Exchange(const std::string& bytes) {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    WriteText(socket, bytes);
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

  // The last log line of that event; empty if there is none.
  boost::json::object LastLine(const std::string& event) {
    log_->Flush();
    std::array<char, 65536> buffer{};
    ssize_t size = 0;
    while ((size = read(pipe_ends_[0], buffer.data(), buffer.size())) > 0) {
      logged_.append(buffer.data(), static_cast<std::size_t>(size));
    }
    boost::json::object last;
    std::istringstream lines(logged_);
    for (std::string line; std::getline(lines, line);) {
      const boost::json::value parsed = boost::json::parse(line);
      if (parsed.at("event").as_string() == event) {
        last = parsed.as_object();
      }
    }
    return last;
  }

  worker_threads workers_;
  set_clock clock_;
  seeded_random random_{1};
  shared_view view_;
  metrics metrics_;
  daemon_settings settings_;
  platform::dialect dialect_;
  std::array<int, 2> pipe_ends_{};
  std::string logged_;
  call_request last_call_;
  std::optional<call_result> result_;  // of each call; empty: an answer
  std::optional<event_log> log_;
  std::optional<caller_gate> gate_;
  std::optional<http_server> server_;
};

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_GATE_FIXTURES_H_
