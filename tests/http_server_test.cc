// HTTP server on loopback: malformed and partial input, limits, timeouts,
// graceful stop.

#include "tests/http_fixtures.h"

#include <boost/asio/read_until.hpp>

#include <future>
#include <random>
#include <thread>

namespace parsleyyard {
namespace {

TEST_F(http_fixture, RejectsRequestSmuggling) {
  const std::string end = "\r\n\r\n";
  const std::string start = "POST / HTTP/1.1\r\nhost: a\r\n";
  const std::string content_length = "content-length: 5";
  const std::string chunked = "transfer-encoding: chunked";
  const std::vector<std::string> heads = {
      start + content_length + "\r\ncontent-length: 6",
      start + content_length + "\r\n" + chunked,
      start + chunked + "\r\n" + content_length,
      start + "content-length: +5",
      "POST / HTTP/1.1\nhost: a\n" + content_length,
      "POST / HTTP/1.1\r\nhost : a\r\n" + content_length,
  };
  for (const std::string& head : heads) {
    EXPECT_TRUE(Exchange(head + end + "hello").starts_with("HTTP/1.1 400"))
        << head << "\n"
        << Exchange(head + end + "hello");
  }
}

TEST_F(http_fixture, ExceededLimitsGetTheirStatus) {
  const std::string big_head =
      "GET / HTTP/1.1\r\nhost: a\r\nx: " + std::string(5000, 'x') + "\r\n\r\n";
  EXPECT_TRUE(Exchange(big_head).starts_with("HTTP/1.1 431"));
  std::string many = "GET / HTTP/1.1\r\nhost: a\r\n";
  for (int i = 0; i < 101; ++i) {
    many += "x: y\r\n";
  }
  EXPECT_TRUE(Exchange(many + "\r\n").starts_with("HTTP/1.1 431"));
  const std::string big_body =
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10001\r\n\r\n";
  EXPECT_TRUE(
      Exchange(big_body + std::string(10001, 'b')).starts_with("HTTP/1.1 413"));
}

TEST_F(http_fixture, RejectionOnHeadReadsNoBody) {
  const std::string head =
      "POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nexpect: "
      "100-continue\r\n\r\n";
  const std::string response = Exchange(head);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 421")) << response;
  EXPECT_EQ(response.find("100"), std::string::npos);
}

TEST_F(http_fixture, RandomBytesGetAnErrorOrAClose) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 10000; ++i) {
    const std::string bytes = RandomBytes(random, 1 + random() % 60);
    const std::string response =
        Exchange(i % 2 ? bytes : "GET / HTTP/1.1\r\n" + bytes + "\r\n\r\n");
    // Random bytes can form a valid header field or end the head. Such a
    // request gets the response 200.
    const bool valid = i % 2 == 0 && (bytes.find(':') != std::string::npos ||
                                      bytes.starts_with("\r\n"));
    ASSERT_TRUE(response.empty() || response.starts_with("HTTP/1.1 4") ||
                (valid && response.starts_with("HTTP/1.1 200")))
        << ::testing::PrintToString(bytes) << "\n"
        << response;
  }
}

TEST_F(http_fixture, TruncatedRequestsGetAnErrorOrAClose) {
  const std::string whole =
      "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello";
  for (int i = 0; i < 10000; ++i) {
    const std::string response = Exchange(whole.substr(0, i % whole.size()));
    ASSERT_TRUE(response.empty() || response.starts_with("HTTP/1.1 4"))
        << response;
  }
  EXPECT_EQ(handler_.requests, 0);
}

// Guards against memory without bound for a caller that sends without end.
TEST_F(http_fixture, ClosesConnectionOnRequestWithoutEnd) {
  // More than the limits of the server and all socket buffers hold.
  constexpr std::size_t kTooManyBytes = std::size_t{32} << 20;
  const std::string chunked =
      "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::vector<endless_message> requests = {
      {"", "bytes that are no request"}, {"GET / HTTP/1.1\r\n", "x: y\r\n"},
      {chunked, "4\r\nbody\r\n"},        {chunked, "0"},
      {chunked + "1;", "extension"},     {chunked + "0\r\n", "x: y\r\n"},
  };
  for (const endless_message& request : requests) {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    EXPECT_LT(SendEndlessly(socket, request, kTooManyBytes), kTooManyBytes)
        << request.start << " ... " << request.repeated;
  }
  EXPECT_EQ(handler_.requests, 0);
}

// The body arrives in a second segment. The event that reports it may reach the
// server late, when it has read the body and watches the socket for a close.
TEST_F(http_fixture, LateBodyIsNotMistakenForAClosedConnection) {
  asio::io_context context;
  tcp::socket socket = Connect(context);
  socket.set_option(tcp::no_delay(true));
  for (int i = 0; i < 5000; ++i) {
    asio::write(
        socket,
        asio::buffer(std::string(
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n")));
    asio::write(socket, asio::buffer(std::string("abc")));
    std::string response;
    boost::system::error_code error;
    const std::size_t head = asio::read_until(
        socket, asio::dynamic_buffer(response), "\r\n\r\n", error);
    ASSERT_FALSE(error) << i << " " << error.message();
    if (response.size() == head) {
      response.resize(head + 1);
      asio::read(socket, asio::buffer(response.data() + head, 1), error);
    }
    ASSERT_EQ(response.back(), '3') << i;
  }
}

// A graceful stop closes a connection that waits for a request. A request that
// crosses the close must still get a response.
TEST_F(http_fixture, RejectsRequestThatCrossesCloseOfIdleConnection) {
  asio::io_context context;
  tcp::socket socket = Connect(context);
  asio::write(socket, asio::buffer(kGet));
  std::string first;
  asio::read_until(socket, asio::dynamic_buffer(first), "\r\n\r\n0");
  server_.StopAccepting();
  server_.CloseIdle();
  socket.wait(tcp::socket::wait_read);
  asio::write(socket, asio::buffer(kGet));
  const std::string response = ReadAll(socket);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 408")) << response;
  EXPECT_NE(response.find("x-parsleyyard-outcome: not_run"), std::string::npos);
}

// Guards against requests without a response: a caller sent the next one on a
// connection that the server was about to close.
TEST_F(http_fixture, ResponseThatClosesTheConnectionSaysSo) {
  const std::string close = "Connection: close";
  for (const std::string& request :
       {std::string("POST /refused HTTP/1.1\r\nhost: a\r\n"
                    "content-length: 3\r\n\r\nabc"),
        std::string("GET / HTTP/1.1\r\nhost : a\r\n\r\n"),
        "GET /" + std::string(5000, 'x') + " HTTP/1.1\r\nhost: a\r\n\r\n",
        std::string("POST / HTTP/1.1\r\nhost: a\r\n"
                    "content-length: 20000\r\n\r\n")}) {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    WriteText(socket, request);
    const std::string response = ReadAll(socket);
    EXPECT_NE(response.find(close), std::string::npos) << response;
  }
}

TEST_F(http_fixture, RefusalDuringAStopSaysThatItCloses) {
  asio::io_context context;
  tcp::socket socket = Connect(context);
  WriteText(socket, kGet);
  std::string first(1, '\0');
  asio::read(socket, asio::buffer(first));
  server_.StopAccepting();
  WriteText(socket, "GET /refused HTTP/1.1\r\nhost: a\r\n\r\n");
  const std::string response = ReadAll(socket);
  EXPECT_NE(response.find("421"), std::string::npos) << response;
  EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
}

TEST_F(http_fixture, StopClosesIdleConnectionsAndListener) {
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

// The connection is in the accept queue of the kernel when the stop begins,
// because the server's only thread is busy.
TEST(HttpServer, StopServesConnectionsInTheAcceptQueue) {
  asio::io_context context;
  body_size_handler handler(context);
  http_server server(context, {.address = kHost, .port = kHttpPort}, handler);
  ASSERT_TRUE(server.Listen());
  context.poll();
  asio::io_context callers;
  tcp::socket queued(callers);
  queued.connect({asio::ip::make_address_v4(kHost), kHttpPort});
  asio::write(queued, asio::buffer(kGet));
  server.StopAccepting();
  std::thread worker([&] {
    while (!server.IsClosed()) {
      context.run_one();
    }
  });
  const std::string response = ReadAll(queued);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  queued.close();
  worker.join();
  tcp::socket late(callers);
  boost::system::error_code error;
  late.connect({asio::ip::make_address_v4(kHost), kHttpPort}, error);
  EXPECT_EQ(error, asio::error::connection_refused);
}

TEST(HttpServer, ListenReportsInvalidAddress) {
  asio::io_context context;
  body_size_handler handler(context);
  http_server server(context, {.address = "127.x", .port = kHttpPort}, handler);
  EXPECT_FALSE(server.Listen());
}

// After a pause of the server's process, both the request and the caller's
// close wait in the kernel.
TEST(HttpServer, DoesNotRunRequestOfDisconnectedCaller) {
  asio::io_context context;
  body_size_handler handler(context);
  http_server server(context, {.address = kHost, .port = kHttpPort}, handler);
  ASSERT_TRUE(server.Listen());
  asio::io_context callers;
  tcp::socket disconnected(callers);
  disconnected.connect({asio::ip::make_address_v4(kHost), kHttpPort});
  asio::write(disconnected, asio::buffer(kGet));
  disconnected.close();
  server.StopAccepting();
  while (!server.IsClosed()) {
    context.run_one();
  }
  EXPECT_EQ(handler.requests, 0);
}

class slow_caller_fixture : public server_fixture {
 protected:
  slow_caller_fixture()
      : server_fixture({.address = kHost, .port = kHttpPort, .limits = [] {
                          return http_limits{
                              .header_timeout = milliseconds(200),
                              .idle_timeout = milliseconds(200)};
                        }}) {}
};

TEST_F(slow_caller_fixture, StalledCallersTimeOutWithoutBlockingOthers) {
  asio::io_context context;
  const std::vector<std::string> partial_requests = {
      "", "POST / HT",
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nfour"};
  std::vector<tcp::socket> stalled;
  for (std::size_t i = 0; i < 100; ++i) {
    stalled.emplace_back(context);
    stalled.back().connect({asio::ip::make_address_v4(kHost), kHttpPort});
    asio::write(stalled.back(),
                asio::buffer(partial_requests[i % partial_requests.size()]));
  }
  http_client client(workers_.context, {.address = kHost, .port = kHttpPort});
  std::promise<http_exchange> done;
  client.Request(
      {.method = "GET", .target = "/"}, {.timeout = seconds(2)},
      [&](http_exchange exchange) { done.set_value(std::move(exchange)); });
  EXPECT_TRUE(done.get_future().get().complete);
  // A connection without a request is closed without a response: the caller
  // could take any bytes on it for the response to its next request.
  for (std::size_t i = 0; i < stalled.size(); ++i) {
    const std::string response = ReadAll(stalled[i]);
    EXPECT_TRUE(partial_requests[i % partial_requests.size()].empty()
                    ? response.empty()
                    : response.starts_with("HTTP/1.1 408"))
        << response;
  }
}

}  // namespace
}  // namespace parsleyyard
