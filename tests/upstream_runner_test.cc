// The runner of calls against an instance on loopback.

#include "daemon/upstream_runner.h"
#include "platform/platform.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>

#include <future>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kInstancePort = 18488;

// Responds to each request with a body of `body_bytes`.
class instance_stub : public http_handler {
 public:
  explicit instance_stub(std::size_t body_bytes) : body_bytes_(body_bytes) {}
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request /*request*/,
                                  response_callback reply) override {
    reply({.headers = {{.name = "Server-Seal", .value = "x"}},
           .body = std::string(body_bytes_, 'b')});
    return nullptr;
  }

 private:
  const std::size_t body_bytes_;
};

upstream_result RunAtInstance(std::size_t body_bytes) {
  worker_threads workers;
  instance_stub instance(body_bytes);
  http_server server(workers.context, {.address = kHost, .port = kInstancePort},
                     instance);
  EXPECT_TRUE(server.Listen());
  const platform::dialect dialect;
  upstream_runner runner(workers.context,
                         {.address = kHost, .port = kInstancePort}, dialect);
  std::promise<upstream_result> done;
  runner.SetCallbacks([](const call_id&) { return true; },
                      [&](const call_id&, upstream_result result) {
                        done.set_value(std::move(result));
                      },
                      [](const upstream_report&) {}, [] { return "/"; });
  call_request message;
  message.method = "GET";
  message.target = "/";
  runner.Run({.origin = 1, .sequence = 1},
             std::make_shared<const call_request>(std::move(message)),
             seconds(300));
  return done.get_future().get();
}

// Guards against a daemon that ends because an answer fits into no message.
TEST(UpstreamRunner, AnswerBeyondMessageLimitIsNotComplete) {
  const upstream_result result = RunAtInstance(13'000'000);
  EXPECT_TRUE(result.sent);
  EXPECT_FALSE(result.complete);
  EXPECT_TRUE(RunAtInstance(12'000'000).complete);
}

}  // namespace
}  // namespace parsleyyard
