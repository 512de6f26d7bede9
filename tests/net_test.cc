// HTTP under hostile and unlucky peers, on loopback. tests/mesh_test.cc has the
// streams between daemons.

#include "net/net.h"
#include "daemon/shared_view.h"
#include "net/socket_peek.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <future>
#include <random>
#include <thread>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kHttpPort = 18480;

// Answers each request with the length of its body, from another thread.
class echo_handler : public http_handler {
 public:
  explicit echo_handler(asio::io_context& context) : context_(context) {}
  std::optional<http_response> OnHead(const http_request& head) override {
    if (head.target == "/refused") {
      return http_response{.status = 421, .body = "refused\n"};
    }
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    ++asked;
    asio::post(context_, [size = request.body.size(), reply] {
      reply({.body = std::to_string(size)});
    });
    return [this] { ++given_up; };
  }

  std::atomic<int> asked{0};
  std::atomic<int> given_up{0};

 private:
  asio::io_context& context_;
};

// A server with two threads.
class server_fixture : public ::testing::Test {
 protected:
  explicit server_fixture(http_server_options options)
      : handler_(workers_.context),
        server_(workers_.context, std::move(options), handler_) {
    EXPECT_TRUE(server_.Listen());
  }

  workers workers_;
  echo_handler handler_;
  http_server server_;
};

class http_fixture : public server_fixture {
 protected:
  http_fixture()
      : server_fixture({.address = kHost, .port = kHttpPort, .limits = [] {
                          return http_limits{.max_head = 4096,
                                             .max_body = 10000};
                        }}) {}

  static tcp::socket Connect(asio::io_context& context) {
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4(kHost), kHttpPort});
    return socket;
  }

  // All that the server sends to these bytes until it closes the connection.
  static std::string Talk(const std::string& bytes) {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }
};

TEST_F(http_fixture, SmugglingIsRefused) {
  const std::string end = "\r\n\r\n";
  const std::string start = "POST / HTTP/1.1\r\nhost: a\r\n";
  const std::string five = "content-length: 5";
  const std::string chunked = "transfer-encoding: chunked";
  const std::vector<std::string> heads = {
      start + five + "\r\ncontent-length: 6",
      start + five + "\r\n" + chunked,
      start + chunked + "\r\n" + five,
      start + "content-length: +5",
      "POST / HTTP/1.1\nhost: a\n" + five,
      "POST / HTTP/1.1\r\nhost : a\r\n" + five,
  };
  for (const std::string& head : heads) {
    EXPECT_TRUE(Talk(head + end + "hello").starts_with("HTTP/1.1 400"))
        << head << "\n"
        << Talk(head + end + "hello");
  }
}

TEST_F(http_fixture, LimitsHaveTheirStatus) {
  const std::string big_head =
      "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(5000, 'x') + "\r\n\r\n";
  EXPECT_TRUE(Talk(big_head).starts_with("HTTP/1.1 431"));
  std::string many = "GET / HTTP/1.1\r\nhost: a\r\n";
  for (int i = 0; i < 101; ++i) {
    many += "x: y\r\n";
  }
  EXPECT_TRUE(Talk(many + "\r\n").starts_with("HTTP/1.1 431"));
  const std::string big_body =
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10001\r\n\r\n";
  EXPECT_TRUE(
      Talk(big_body + std::string(10001, 'b')).starts_with("HTTP/1.1 413"));
}

TEST_F(http_fixture, RefusalOnTheHeadReadsNoBody) {
  const std::string head =
      "POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: "
      "100-continue\r\n\r\n";
  const std::string answer = Talk(head);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 421")) << answer;
  EXPECT_EQ(answer.find("100"), std::string::npos);
}

TEST_F(http_fixture, RandomBytesGetAnErrorOrAClose) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 10000; ++i) {
    const std::string bytes = RandomBytes(random, 1 + random() % 60);
    const std::string answer =
        Talk(i % 2 ? bytes : "GET / HTTP/1.1\r\n" + bytes + "\r\n\r\n");
    // Random bytes can make a valid field, or end the head at once; that
    // request is answered.
    const bool field = i % 2 == 0 && (bytes.find(':') != std::string::npos ||
                                      bytes.starts_with("\r\n"));
    ASSERT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 4") ||
                (field && answer.starts_with("HTTP/1.1 200")))
        << ::testing::PrintToString(bytes) << "\n"
        << answer;
  }
}

TEST_F(http_fixture, TruncatedRequestsGetAnErrorOrAClose) {
  const std::string whole =
      "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello";
  for (int i = 0; i < 10000; ++i) {
    const std::string answer = Talk(whole.substr(0, i % whole.size()));
    ASSERT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 4")) << answer;
  }
  EXPECT_EQ(handler_.asked, 0);
}

// Head and body in two segments race with the watch for a closed caller.
TEST_F(http_fixture, BodiesThatArriveLateAreNotTakenForAClosedConnection) {
  asio::io_context context;
  tcp::socket socket = Connect(context);
  socket.set_option(tcp::no_delay(true));
  for (int i = 0; i < 5000; ++i) {
    asio::write(
        socket,
        asio::buffer(std::string(
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n")));
    asio::write(socket, asio::buffer(std::string("abc")));
    std::string answer;
    boost::system::error_code error;
    const std::size_t head = asio::read_until(
        socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
    ASSERT_FALSE(error) << i << " " << error.message();
    if (answer.size() == head) {
      answer.resize(head + 1);
      asio::read(socket, asio::buffer(answer.data() + head, 1), error);
    }
    ASSERT_EQ(answer.back(), '3') << i;
  }
}

TEST_F(http_fixture, ClientSeesTheWholeExchange) {
  http_client client(workers_.context, {.address = kHost, .port = kHttpPort});
  for (int i = 0; i < 100; ++i) {
    std::promise<http_exchange> done;
    client.Request(
        {.method = "POST", .target = "/", .body = std::string(i, 'x')},
        {.timeout = seconds(2)},
        [&](http_exchange exchange) { done.set_value(std::move(exchange)); });
    const http_exchange exchange = done.get_future().get();
    ASSERT_TRUE(exchange.sent && exchange.complete);
    ASSERT_EQ(exchange.response.body, std::to_string(i));
  }
}

// Reads until the server closes the connection.
std::string ReadAll(tcp::socket& socket) {
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return error == asio::error::eof ? answer : error.message();
}

const std::string kGet = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

// A planned stop closes a connection that waits for a request. The request that
// crosses the close must not go without an answer.
TEST_F(http_fixture, RequestThatCrossesTheCloseOfAnIdleConnectionIsRefused) {
  asio::io_context context;
  tcp::socket socket = Connect(context);
  asio::write(socket, asio::buffer(kGet));
  std::string first;
  asio::read_until(socket, asio::dynamic_buffer(first), "\r\n\r\n0");
  server_.StopAccepting();
  server_.CloseIdle();
  socket.wait(tcp::socket::wait_read);
  asio::write(socket, asio::buffer(kGet));
  const std::string answer = ReadAll(socket);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 408")) << answer;
  EXPECT_NE(answer.find("x-parsleyyard-outcome: not_run"), std::string::npos);
}

TEST_F(http_fixture, StopEndsAllConnectionsAndThenTheListener) {
  asio::io_context context;
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 50; ++i) {
    idle.push_back(Connect(context));
  }
  server_.StopAccepting();
  server_.CloseIdle();
  for (tcp::socket& socket : idle) {
    EXPECT_TRUE(ReadAll(socket).starts_with("HTTP/1.1 408"));
    socket.close();
  }
  while (!server_.IsClosed()) {
    std::this_thread::yield();
  }
  EXPECT_EQ(server_.connections(), 0u);
}

// The connection waits in the kernel when the stop begins, because the only
// thread of the server is busy.
TEST(HttpServer, ConnectionThatNobodyHasAcceptedYetIsServedAtAStop) {
  asio::io_context context;
  echo_handler handler(context);
  http_server server(context, {.address = kHost, .port = kHttpPort}, handler);
  ASSERT_TRUE(server.Listen());
  context.poll();
  asio::io_context callers;
  tcp::socket early(callers);
  early.connect({asio::ip::make_address_v4(kHost), kHttpPort});
  asio::write(early, asio::buffer(kGet));
  server.StopAccepting();
  std::thread worker([&] {
    while (!server.IsClosed()) {
      context.run_one();
    }
  });
  const std::string answer = ReadAll(early);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  early.close();
  worker.join();
  tcp::socket late(callers);
  boost::system::error_code error;
  late.connect({asio::ip::make_address_v4(kHost), kHttpPort}, error);
  EXPECT_EQ(error, asio::error::connection_refused);
}

// As after a pause of the server's process: the request and the caller's close
// wait in the kernel together.
TEST(HttpServer, RequestOfACallerThatHasGoneIsNotRun) {
  asio::io_context context;
  echo_handler handler(context);
  http_server server(context, {.address = kHost, .port = kHttpPort}, handler);
  ASSERT_TRUE(server.Listen());
  asio::io_context callers;
  tcp::socket gone(callers);
  gone.connect({asio::ip::make_address_v4(kHost), kHttpPort});
  asio::write(gone, asio::buffer(kGet));
  gone.close();
  server.StopAccepting();
  while (!server.IsClosed()) {
    context.run_one();
  }
  EXPECT_EQ(handler.asked, 0);
}

class slow_caller_fixture : public server_fixture {
 protected:
  slow_caller_fixture()
      : server_fixture({.address = kHost, .port = kHttpPort, .limits = [] {
                          return http_limits{.head_timeout = milliseconds(200),
                                             .idle_timeout = milliseconds(200)};
                        }}) {}
};

TEST_F(slow_caller_fixture, StalledCallersAreTimedOutAndHoldUpNobody) {
  asio::io_context context;
  const std::vector<std::string> begun = {
      "", "POST / HT",
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nfour"};
  std::vector<tcp::socket> stalled;
  for (std::size_t i = 0; i < 100; ++i) {
    stalled.emplace_back(context);
    stalled.back().connect({asio::ip::make_address_v4(kHost), kHttpPort});
    asio::write(stalled.back(), asio::buffer(begun[i % begun.size()]));
  }
  http_client client(workers_.context, {.address = kHost, .port = kHttpPort});
  std::promise<http_exchange> done;
  client.Request(
      {.method = "GET", .target = "/"}, {.timeout = seconds(2)},
      [&](http_exchange exchange) { done.set_value(std::move(exchange)); });
  EXPECT_TRUE(done.get_future().get().complete);
  // A connection without a request is closed without a word: nothing on it may
  // look like the answer to a request.
  for (std::size_t i = 0; i < stalled.size(); ++i) {
    const std::string answer = ReadAll(stalled[i]);
    EXPECT_TRUE(begun[i % begun.size()].empty()
                    ? answer.empty()
                    : answer.starts_with("HTTP/1.1 408"))
        << answer;
  }
}

// One connection of a server that says what the test wants, byte by byte.
class scripted_server {
 public:
  explicit scripted_server(std::function<void(tcp::socket&)> act)
      : acceptor_(context_, {asio::ip::make_address_v4(kHost), kScriptedPort}),
        thread_([this, act = std::move(act)] {
          tcp::socket socket = acceptor_.accept();
          act(socket);
        }) {}
  ~scripted_server() { thread_.join(); }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  static constexpr std::uint16_t kScriptedPort = 18483;

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

void ReadHead(tcp::socket& socket) {
  std::string head;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
}

http_exchange AskScripted(workers& pool, http_request request) {
  http_client client(
      pool.context, {.address = kHost, .port = scripted_server::kScriptedPort});
  std::promise<http_exchange> done;
  client.Request(std::move(request),
                 {.timeout = seconds(2),
                  .matches_request =
                      [](const http_response& answer) {
                        const std::string* id =
                            FindHeader(answer.headers, "id");
                        return id == nullptr || *id == "mine";
                      }},
                 [&](http_exchange e) { done.set_value(std::move(e)); });
  return done.get_future().get();
}

TEST(HttpClient, ALateAnswerToAnEarlierRequestIsDropped) {
  workers pool;
  scripted_server server([](tcp::socket& socket) {
    ReadHead(socket);
    Say(socket, "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 3\r\n\r\nold");
    Say(socket, "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nnew");
    ReadAll(socket);
  });
  const http_exchange exchange =
      AskScripted(pool, {.method = "GET", .target = "/"});
  EXPECT_TRUE(exchange.complete);
  EXPECT_EQ(exchange.response.body, "new");
}

TEST(HttpClient, AnAnswerWithoutLengthIsWholeOnlyIfItEndsInOrder) {
  const std::string answer = "HTTP/1.1 200 OK\r\nid: mine\r\n\r\nhalf";
  for (const bool reset : {false, true}) {
    workers pool;
    scripted_server server([&](tcp::socket& socket) {
      ReadHead(socket);
      Say(socket, answer);
      if (reset) {
        // The client must have read what there is before the reset.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        socket.set_option(tcp::socket::linger(true, 0));
      }
      socket.close();
    });
    const http_exchange exchange =
        AskScripted(pool, {.method = "GET", .target = "/"});
    EXPECT_EQ(exchange.complete, !reset);
    EXPECT_TRUE(exchange.sent);
  }
}

TEST(HttpClient, ATruncatedOrForeignAnswerIsNotComplete) {
  for (const std::string& said :
       {std::string("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
        std::string("garbage\r\n\r\n"), std::string()}) {
    workers pool;
    scripted_server server([&](tcp::socket& socket) {
      ReadHead(socket);
      Say(socket, said);
      socket.close();
    });
    EXPECT_FALSE(AskScripted(pool, {.method = "GET", .target = "/"}).complete)
        << said;
  }
}

// The server answers before it has read a long body and reads on later. The
// connection must not carry another request.
TEST(HttpClient, AnEarlyAnswerIsTakenAndTheConnectionGivenUp) {
  // More than any socket buffers hold.
  constexpr std::size_t kLong = std::size_t{64} << 20;
  workers pool;
  std::promise<void> client_has_ended;
  std::size_t read_on = 0;
  {
    scripted_server server([&](tcp::socket& socket) {
      ReadHead(socket);
      Say(socket,
          "HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n");
      client_has_ended.get_future().wait();
      read_on = ReadAll(socket).size();
    });
    const http_exchange exchange = AskScripted(
        pool,
        {.method = "POST", .target = "/", .body = std::string(kLong, 'b')});
    client_has_ended.set_value();
    EXPECT_TRUE(exchange.complete);
    EXPECT_EQ(exchange.response.status, 413);
  }
  EXPECT_LT(read_on, kLong) << "the rest is not sent";
}

// Says something only in the build with the thread sanitizer.
TEST(SharedView, IsReadWhileItIsSet) {
  constexpr int kTurns = 20000;
  shared_view shared;
  std::thread reader([&] {
    for (int i = 0; i < kTurns; ++i) {
      ASSERT_NE(shared.Current(), nullptr);
    }
  });
  for (int i = 0; i < kTurns; ++i) {
    shared.Set(std::make_shared<const snapshot>());
  }
  reader.join();
}

// A process that is paused between the decision to send and the sending must
// ask again.
TEST_F(http_fixture, RequestThatMayNoLongerBeSentIsNotSent) {
  std::atomic<bool> allowed{true};
  http_client client(workers_.context, {.address = kHost, .port = kHttpPort});
  const auto ask = [&] {
    std::promise<http_exchange> done;
    client.Request(
        {.method = "GET", .target = "/"},
        {.timeout = seconds(2), .may_send = [&] { return +allowed; }},
        [&](http_exchange exchange) { done.set_value(std::move(exchange)); });
    return done.get_future().get();
  };
  EXPECT_TRUE(ask().complete);
  allowed = false;
  EXPECT_FALSE(ask().sent);
  EXPECT_EQ(handler_.asked, 1);
}

// The owner may hold a lock that `done` takes. A daemon that was stopped
// between the decision to send and the sending waited for itself for ever.
TEST(HttpClient, AnExchangeNeverEndsBeforeTheCallThatBeganIt) {
  asio::io_context context;
  echo_handler handler(context);
  http_server server(context, {.address = kHost, .port = kHttpPort}, handler);
  ASSERT_TRUE(server.Listen());
  http_client client(context, {.address = kHost, .port = kHttpPort});
  bool done = false;
  client.Request({.method = "GET", .target = "/"}, {.timeout = seconds(2)},
                 [&](const http_exchange& exchange) {
                   done = true;
                   EXPECT_TRUE(exchange.complete);
                 });
  while (!done) {
    context.run_one();
  }
  bool inside = false;
  bool ended_inside = false;
  bool ended = false;
  asio::post(context, [&] {
    inside = true;
    client.Request({.method = "GET", .target = "/"},
                   {.timeout = seconds(2), .may_send = [] { return false; }},
                   [&](const http_exchange&) {
                     ended = true;
                     ended_inside = inside;
                   });
    inside = false;
  });
  while (!ended) {
    context.run_one();
  }
  EXPECT_FALSE(ended_inside);
}

TEST(HttpClient, RefusedConnectionIsNotSent) {
  workers pool;
  http_client client(pool.context, {.address = kHost, .port = 18499});
  std::promise<http_exchange> done;
  client.Request({.method = "GET", .target = "/"}, {.timeout = seconds(2)},
                 [&](http_exchange e) { done.set_value(std::move(e)); });
  EXPECT_FALSE(done.get_future().get().sent);
}

TEST(SocketPeek, TellsQuietDataAndClosedApart) {
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
