// The HTTP server for callers with its handler: refusals, their log lines and
// their counts.

#include "tests/gate_fixtures.h"

namespace parsleyyard::testing {
namespace {

// ---------------------------------------------------------------------------
// What a refusal leaves behind
// ---------------------------------------------------------------------------

TEST_F(gate_fixture, RefusalAtHeadIsLoggedWithStatusAndViewOfItsDecision) {
  SetView({.version = 7, .revision = 41, .age = milliseconds(300)});
  EXPECT_EQ(StatusOf(Exchange(Get("/absent/"))), 404);
  const boost::json::object line = LastLine("refused at head");
  EXPECT_EQ(line.at("status").to_number<int>(), 404);
  EXPECT_EQ(line.at("version").to_number<int>(), 7);
  EXPECT_EQ(line.at("revision").to_number<int>(), 41);
  EXPECT_EQ(line.at("age_ms").to_number<int>(), 300);
}

TEST_F(gate_fixture, RejectionsByServerLeaveLineAndCount) {
  SetView({.version = 7, .revision = 41});
  const std::string end = "\r\n\r\n";
  const std::string post = "POST /a/ HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n";
  const std::vector<rejected_case> cases = {
      {"GET /a/ HTTP/1.1\r\nhost : h" + end, 400, "malformed", ""},
      {"GET /" + std::string(kMaxHeaderBytes, 'x') + " HTTP/1.1" + end, 431,
       "head_too_large", ""},
      {post + RepeatedFields(101) + "\r\n", 431, "too_many_fields", "a1"},
      {post + "content-length: 100000" + end, 413, "body_too_large", "a1"},
      {post + "transfer-encoding: chunked" + end + "x\r\n", 400, "malformed",
       "a1"}};
  for (const rejected_case& tried : cases) {
    EXPECT_EQ(StatusOf(Exchange(tried.bytes)), tried.status) << tried.cause;
    const boost::json::object line = LastLine("rejected by server");
    EXPECT_EQ(line.at("status").to_number<int>(), tried.status);
    EXPECT_EQ(line.at("reason").as_string(), tried.cause);
    EXPECT_EQ(line.at("request").as_string(), tried.request);
    EXPECT_EQ(line.at("revision").to_number<int>(), 41);
  }
  const std::string page = metrics_.RenderPrometheusText();
  EXPECT_NE(page.find(R"(status="400",cause="malformed"} 2)"),
            std::string::npos)
      << page;
}

TEST_F(gate_fixture, SlowRequestLeavesLineAndCount) {
  SetView({.header_timeout = milliseconds(50)});
  const std::string response = Exchange("GET /a/ HTTP/1.1\r\nhost: h\r\n");
  EXPECT_EQ(StatusOf(response), 408);
  EXPECT_EQ(LastLine("rejected by server").at("reason").as_string(),
            "too_slow");
  EXPECT_NE(metrics_.RenderPrometheusText().find(
                R"(status="408",cause="too_slow"} 1)"),
            std::string::npos);
}

// ---------------------------------------------------------------------------
// Refusals for good
// ---------------------------------------------------------------------------

// Guards against a 404 for a route that was added while the store was away.
TEST_F(gate_fixture, RouteMissingFromOldViewGets503) {
  SetView({.age = milliseconds(1600)});
  const std::string response = Exchange(Get("/new/"));
  EXPECT_EQ(StatusOf(response), 503);
  EXPECT_NE(response.find("x-parsleyyard-reason: stale_view"),
            std::string::npos)
      << response;
  EXPECT_NE(response.find("Retry-After: 0.200"), std::string::npos) << response;
  EXPECT_EQ(StatusOf(Exchange(Get("/a/"))), 200);
  view_.SetConfirmedAt(clock_.Now());
  EXPECT_EQ(StatusOf(Exchange(Get("/new/"))), 404);
}

// Guards against a 404 by a process that was suspended and has read nothing
// since.
TEST_F(gate_fixture, RouteMissingAfterSuspensionGets503) {
  SetView({});
  clock_.Set(clock_.Now() + seconds(3));
  EXPECT_EQ(StatusOf(Exchange(Get("/new/"))), 503);
}

// Guards against a 404 for a body that arrives while the view grows old.
TEST_F(gate_fixture, RouteMissingWhenBodyHasArrivedGets503IfViewIsOldByThen) {
  SetView({});
  asio::io_context context;
  tcp::socket caller = Connect(context);
  WriteText(caller,
            "POST /a/ HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n"
            "expect: 100-continue\r\n\r\n");
  ReadUntil(caller, "100 Continue\r\n\r\n");
  SetView({.prefix = "/b/", .age = seconds(2)});
  WriteText(caller, "ok");
  EXPECT_EQ(StatusOf(ReadUntil(caller, "stale_view")), 503);
}

// Guards against a confirmation at the start of the host's clock.
TEST(SharedView, IsOldBeforeTheFirstConfirmation) {
  const shared_view view;
  EXPECT_LT(view.ConfirmedAt(), instant::zero() - seconds(3600));
}

}  // namespace
}  // namespace parsleyyard::testing
