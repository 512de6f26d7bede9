// Pipelined requests on one connection of the HTTP server: order of the
// responses, limits, requests that run alone, closes and malformed input.

#include "net/response_queue.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kPort = 18495;
constexpr auto kMaxWait = std::chrono::seconds(10);

std::string Request(const std::string& line, const std::string& fields = "") {
  return line + " HTTP/1.1\r\nhost: a\r\n" + fields + "\r\n";
}
std::string Get(int number) {
  return Request("GET /" + std::to_string(number));
}

// Holds each request until the test answers it. GET requests may run ahead.
class held_handler : public http_handler {
 public:
  bool MayPipeline(const http_request& head) override {
    return head.method != "POST";
  }
  std::optional<http_response> OnHead(const http_request& head) override {
    if (head.target == "/refused") {
      return http_response{.status = 503, .body = "refused"};
    }
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const std::lock_guard lock(mutex_);
    started_.push_back(request.target);
    replies_[request.target] = std::move(reply);
    waited_[request.target] = request.waited;
    changed_.notify_all();
    return [this, target = request.target] {
      const std::lock_guard abort_lock(mutex_);
      aborted_.push_back(target);
      changed_.notify_all();
    };
  }

  // Answers a request with its target as the body.
  void Answer(const std::string& target, http_response response = {}) {
    response_callback reply;
    {
      std::unique_lock lock(mutex_);
      ASSERT_TRUE(changed_.wait_for(lock, kMaxWait, [&] {
        return replies_.contains(target);
      })) << target;
      reply = replies_[target];
    }
    if (response.body.empty()) {
      response.body = target;
    }
    reply(std::move(response));
  }
  void AwaitStarted(std::size_t count) {
    std::unique_lock lock(mutex_);
    ASSERT_TRUE(changed_.wait_for(lock, kMaxWait,
                                  [&] { return started_.size() >= count; }))
        << started_.size() << " of " << count;
  }
  void AwaitAborted(std::size_t count) {
    std::unique_lock lock(mutex_);
    ASSERT_TRUE(changed_.wait_for(lock, kMaxWait,
                                  [&] { return aborted_.size() >= count; }))
        << aborted_.size() << " of " << count;
  }
  std::vector<std::string> Started() {
    const std::lock_guard lock(mutex_);
    return started_;
  }
  duration Waited(const std::string& target) {
    const std::lock_guard lock(mutex_);
    return waited_[target];
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> started_;
  std::vector<std::string> aborted_;
  std::map<std::string, response_callback> replies_;
  std::map<std::string, duration> waited_;
};

class pipelining_fixture : public ::testing::Test {
 protected:
  pipelining_fixture()
      : server_(workers_.context,
                {.address = kHost,
                 .port = kPort,
                 .max_pipelined_requests = 4,
                 .max_pipelined_bytes = 1000,
                 .limits =
                     [] {
                       return http_limits{.max_header_bytes = 4096,
                                          .max_body_bytes = 10000,
                                          .header_timeout = milliseconds(300)};
                     }},
                handler_),
        caller_(callers_) {
    EXPECT_TRUE(server_.Listen());
    caller_.connect({asio::ip::make_address_v4(kHost), kPort});
  }

  void Send(const std::string& text) { WriteText(caller_, text); }

  // The next response on the connection; its status, body and whether it
  // announces a close. Empty at the end of the connection.
  struct parsed_response {
    std::string status;
    std::string body;
    bool closes = false;
    bool operator==(const parsed_response&) const = default;
  };
  std::optional<parsed_response> ReadResponse(bool head_only = false) {
    boost::system::error_code error;
    const std::size_t head_size = asio::read_until(
        caller_, asio::dynamic_buffer(received_), "\r\n\r\n", error);
    if (error) {
      return std::nullopt;
    }
    const std::string head = received_.substr(0, head_size);
    received_.erase(0, head_size);
    const std::string field = "Content-Length: ";
    const std::size_t at = head.find(field);
    std::size_t size = 0;
    if (at != std::string::npos && !head_only) {
      size = std::stoul(head.substr(at + field.size()));
    }
    while (received_.size() < size && !error) {
      std::string more(size - received_.size(), '\0');
      more.resize(caller_.read_some(asio::buffer(more), error));
      received_ += more;
    }
    const std::string body = received_.substr(0, size);
    received_.erase(0, size);
    return parsed_response{
        .status = head.substr(9, 3),
        .body = body,
        .closes = head.find("Connection: close") != std::string::npos};
  }
  void ExpectResponse(const std::string& body, bool closes = false) {
    EXPECT_EQ(ReadResponse(), (parsed_response{"200", body, closes}));
  }
  void ExpectEnd() {
    EXPECT_FALSE(ReadResponse());
    EXPECT_EQ(received_, "");
  }
  // The requests /1 and /2 are answered in their order, and the response to /2
  // closes the connection. No other request has started.
  void ExpectTwoResponsesAndTheClose() {
    ExpectResponse("/1");
    ExpectResponse("/2", true);
    ExpectEnd();
    EXPECT_EQ(handler_.Started().size(), 2u);
  }

  worker_threads workers_;
  held_handler handler_;
  http_server server_;
  asio::io_context callers_;
  tcp::socket caller_;
  std::string received_;
};

TEST_F(pipelining_fixture, RequestsRunTogetherAndAreAnsweredInTheirOrder) {
  Send(Get(1) + Get(2) + Get(3));
  handler_.AwaitStarted(3);
  handler_.Answer("/3");
  handler_.Answer("/2");
  handler_.Answer("/1");
  ExpectResponse("/1");
  ExpectResponse("/2");
  ExpectResponse("/3");
}

TEST_F(pipelining_fixture, FinishedRequestIsAnsweredBeforeTheOneBehindItEnds) {
  Send(Get(1) + Get(2));
  handler_.AwaitStarted(2);
  handler_.Answer("/1");
  ExpectResponse("/1");
  Send(Get(3));
  handler_.AwaitStarted(3);
  handler_.Answer("/2");
  handler_.Answer("/3");
  ExpectResponse("/2");
  ExpectResponse("/3");
}

TEST_F(pipelining_fixture, RequestsBeyondTheLimitWaitUnread) {
  Send(Get(1) + Get(2) + Get(3) + Get(4) + Get(5));
  handler_.AwaitStarted(4);
  handler_.Answer("/4");
  handler_.Answer("/1");
  ExpectResponse("/1");
  handler_.AwaitStarted(5);
  EXPECT_EQ(handler_.Started().back(), "/5");
}

// A caller must not fill the memory with requests that run at the same time.
TEST_F(pipelining_fixture, HeldBodiesAreLimitedInBytes) {
  constexpr std::size_t kBodyBytes = 1200;  // over the limit of the fixture
  Send(Request("PUT /1",
               "content-length: " + std::to_string(kBodyBytes) + "\r\n") +
       std::string(kBodyBytes, 'x') + Get(2));
  handler_.AwaitStarted(1);
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_EQ(handler_.Started().size(), 1u);
  handler_.Answer("/1");
  handler_.AwaitStarted(2);
}

TEST_F(pipelining_fixture, RequestThatMayNotRunAheadRunsAlone) {
  Send(Get(1) + Request("POST /2", "content-length: 2\r\n") + "ab" + Get(3));
  handler_.AwaitStarted(1);
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_EQ(handler_.Started().size(), 1u);
  handler_.Answer("/1");
  handler_.AwaitStarted(2);
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_EQ(handler_.Started().size(), 2u);
  // Its time counts from its arrival.
  EXPECT_GE(handler_.Waited("/2"), milliseconds(45));
  handler_.Answer("/2");
  handler_.Answer("/3");
  ExpectResponse("/1");
  ExpectResponse("/2");
  ExpectResponse("/3");
}

// Nothing behind a response that closes the connection counts as read.
TEST_F(pipelining_fixture, NothingIsReadBehindARequestThatCloses) {
  Send(Get(1) + Request("GET /2", "connection: close\r\n") + Get(3));
  handler_.AwaitStarted(2);
  handler_.Answer("/2");
  handler_.Answer("/1");
  ExpectTwoResponsesAndTheClose();
}

TEST_F(pipelining_fixture, ResponseThatClosesComesAfterThoseThatWereRead) {
  Send(Get(1) + Get(2));
  handler_.AwaitStarted(2);
  handler_.Answer("/1", {.close = true});
  ExpectResponse("/1");
  Send(Get(3));
  handler_.Answer("/2");
  ExpectResponse("/2", true);
  ExpectEnd();
  EXPECT_EQ(handler_.Started().size(), 2u);
}

TEST_F(pipelining_fixture, StopAnswersAllThatWasRead) {
  Send(Get(1) + Get(2));
  handler_.AwaitStarted(2);
  server_.StopAccepting();
  server_.CloseIdle();
  Send(Get(3));
  handler_.Answer("/2");
  handler_.Answer("/1");
  ExpectTwoResponsesAndTheClose();
}

TEST_F(pipelining_fixture, StopClosesConnectionWhoseRequestsAreAnswered) {
  Send(Get(1) + Get(2));
  handler_.Answer("/1");
  handler_.Answer("/2");
  ExpectResponse("/1");
  ExpectResponse("/2");
  server_.StopAccepting();
  server_.CloseIdle();
  EXPECT_EQ(ReadResponse()->status, "408");
  ExpectEnd();
}

TEST_F(pipelining_fixture, CallerThatLeavesCancelsAllItsRequests) {
  Send(Get(1) + Get(2) + Get(3));
  handler_.AwaitStarted(3);
  handler_.Answer("/2");
  caller_.close();
  handler_.AwaitAborted(2);
}

// The close waits behind requests that are not read yet.
TEST_F(pipelining_fixture, CallerThatLeavesIsNoticedBehindUnreadRequests) {
  Send(Get(1) + Get(2) + Get(3) + Get(4) + Get(5) + Get(6));
  handler_.AwaitStarted(4);
  caller_.close();
  handler_.AwaitAborted(4);
  EXPECT_EQ(handler_.Started().size(), 4u);
}

TEST_F(pipelining_fixture, RefusalWithoutBodyKeepsItsTurnAndTheConnection) {
  Send(Get(1) + Request("GET /refused") + Get(3));
  handler_.AwaitStarted(2);
  handler_.Answer("/3");
  handler_.Answer("/1");
  ExpectResponse("/1");
  EXPECT_EQ(ReadResponse(), (parsed_response{"503", "refused", false}));
  ExpectResponse("/3");
}

TEST_F(pipelining_fixture, MalformedRequestIsRejectedInItsTurn) {
  const std::vector<std::string> malformed = {
      "no request\r\n\r\n",
      Request("GET /2", "content-length: 1\r\ntransfer-encoding: chunked\r\n"),
      Request("GET /2", "content-length: 1\r\ncontent-length: 2\r\n"),
      Request("GET /2", "bad field\r\n"),
      Request("GET /2", "transfer-encoding: chunked\r\n") + "zz\r\n",
  };
  for (const std::string& request : malformed) {
    caller_ = tcp::socket(callers_);
    caller_.connect({asio::ip::make_address_v4(kHost), kPort});
    received_.clear();
    const std::size_t started = handler_.Started().size();
    Send(Get(1) + request + Get(3));
    handler_.AwaitStarted(started + 1);
    std::this_thread::sleep_for(milliseconds(20));
    handler_.Answer("/1");
    ExpectResponse("/1");
    const auto rejection = ReadResponse();
    ASSERT_TRUE(rejection) << request;
    EXPECT_EQ(rejection->status, "400") << request;
    EXPECT_TRUE(rejection->closes) << request;
    ExpectEnd();
    EXPECT_EQ(handler_.Started().size(), started + 1) << request;
  }
}

TEST_F(pipelining_fixture, TimeoutWithinAHeadIsAnsweredInItsTurn) {
  Send(Get(1) + "GET /2 HTTP/1.1\r\nho");
  handler_.AwaitStarted(1);
  std::this_thread::sleep_for(milliseconds(400));
  handler_.Answer("/1");
  ExpectResponse("/1");
  const auto rejection = ReadResponse();
  ASSERT_TRUE(rejection);
  EXPECT_EQ(rejection->status, "408");
  ExpectEnd();
}

// 100 Continue must not come before the response to an earlier request.
TEST_F(pipelining_fixture, InterimResponseWaitsForItsTurn) {
  Send(Get(1) +
       Request("PUT /2", "content-length: 2\r\nexpect: 100-continue\r\n"));
  handler_.AwaitStarted(1);
  std::this_thread::sleep_for(milliseconds(20));
  handler_.Answer("/1");
  ExpectResponse("/1");
  EXPECT_EQ(ReadResponse()->status, "100");
  Send("ab" + Get(3));
  handler_.AwaitStarted(3);
  handler_.Answer("/3");
  handler_.Answer("/2");
  ExpectResponse("/2");
  ExpectResponse("/3");
}

TEST_F(pipelining_fixture, ResponseToHeadHasNoBody) {
  Send(Get(1) + Request("HEAD /2") + Get(3));
  handler_.AwaitStarted(3);
  handler_.Answer("/3");
  handler_.Answer("/2");
  handler_.Answer("/1");
  ExpectResponse("/1");
  EXPECT_EQ(ReadResponse(true)->status, "200");
  ExpectResponse("/3");
}

TEST_F(pipelining_fixture, BodiesOfPipelinedRequestsAreNotMixed) {
  const std::string chunked = "transfer-encoding: chunked\r\n";
  Send(Request("PUT /1", chunked) + "3\r\nGET\r\n0\r\n\r\n" +
       Request("PUT /2", "content-length: 16\r\n") + "GET / HTTP/1.1\r\n" +
       Get(3));
  handler_.AwaitStarted(3);
  EXPECT_EQ(handler_.Started(), (std::vector<std::string>{"/1", "/2", "/3"}));
}

// Answers each request at once, with more than the socket buffers hold.
class large_response_handler : public http_handler {
 public:
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request /*request*/,
                                  response_callback reply) override {
    constexpr std::size_t kLargeBytes = std::size_t{32} << 20;
    ++requests;
    reply({.body = std::string(kLargeBytes, 'x')});
    return nullptr;
  }

  int requests = 0;
};

// Guards against a session that reads the end of the input again and again.
TEST(HttpServer, CallerThatEndsItsInputAndReadsNothingCostsNothing) {
  asio::io_context context;
  large_response_handler handler;
  http_server server(context, {.address = kHost, .port = kPort}, handler);
  ASSERT_TRUE(server.Listen());
  asio::io_context callers;
  tcp::socket caller(callers);
  caller.connect({asio::ip::make_address_v4(kHost), kPort});
  WriteText(caller, Get(1));
  while (handler.requests == 0) {
    context.run_one();
  }
  context.poll();
  caller.shutdown(tcp::socket::shutdown_send);
  constexpr int kPolls = 1000;
  std::size_t handled = 0;
  for (int i = 0; i < kPolls; ++i) {
    handled += context.poll_one();
  }
  EXPECT_LT(handled, 50u);
}

// Guards against requests without a response: the response before did not
// announce the close, since it was being written when the stop began.
TEST(HttpServer, StopAnswersRequestBehindAResponseThatIsBeingWritten) {
  asio::io_context context;
  large_response_handler handler;
  http_server server(context, {.address = kHost, .port = kPort}, handler);
  ASSERT_TRUE(server.Listen());
  asio::io_context callers;
  tcp::socket caller(callers);
  caller.connect({asio::ip::make_address_v4(kHost), kPort});
  WriteText(caller, Get(1));
  while (handler.requests == 0) {
    context.run_one();
  }
  context.poll();
  server.StopAccepting();
  WriteText(caller, Get(2));
  context.run_for(milliseconds(50));
  std::thread worker([&] {
    while (!server.IsClosed()) {
      context.run_one();
    }
  });
  std::string received;
  boost::system::error_code error;
  asio::read(caller, asio::dynamic_buffer(received), error);
  caller.close();
  worker.join();
  EXPECT_EQ(handler.requests, 2);
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// ---------------------------------------------------------------------------
// Order of responses
// ---------------------------------------------------------------------------

TEST(ResponseQueue, LateResponseOfADroppedRequestIsIgnored) {
  response_queue queue;
  const auto first = queue.Add({});
  const auto second = queue.Add({});
  int aborted = 0;
  queue.SetAbort(first, [&] { ++aborted; });
  queue.SetAbort(second, [&] { ++aborted; });
  queue.SetResponse(second, {.body = "b"});
  EXPECT_EQ(queue.Front(), nullptr);
  queue.AbortUnanswered();
  EXPECT_EQ(aborted, 1);  // the second one has ended
  EXPECT_TRUE(queue.empty());
  queue.SetResponse(first, {.body = "a"});
  const auto third = queue.Add({});
  EXPECT_EQ(queue.Front(), nullptr);
  queue.SetResponse(third, {.body = "c"});
  ASSERT_NE(queue.Front(), nullptr);
  EXPECT_EQ(queue.Front()->response->body, "c");
}

TEST(ResponseQueue, AnswersBeforeTheFirstUnansweredRequestStay) {
  response_queue queue;
  const auto first = queue.Add({.held_bytes = 100});
  queue.Add({.held_bytes = 10});
  queue.SetResponse(first, {.body = "four"});
  EXPECT_EQ(queue.HeldBytes(), 14u);
  queue.AbortUnanswered();
  EXPECT_EQ(queue.size(), 1u);
  ASSERT_NE(queue.Front(), nullptr);
  EXPECT_EQ(queue.Front()->number, first);
}

}  // namespace
}  // namespace parsleyyard
