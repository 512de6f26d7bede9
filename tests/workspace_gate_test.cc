// What callers and instances see of workspaces, through the HTTP server for
// callers.

#include "tests/gate_fixtures.h"

namespace parsleyyard::testing {
namespace {

constexpr const char* kSecret = "secret-key-7";

class workspace_gate_fixture : public gate_fixture {
 protected:
  workspace_gate_fixture() {
    gate_->SetKeyLimits({.strict = true, .revoke = seconds(5)});
    gate_->SetCallbacks(
        [this](std::uint64_t call, const call_plan& plan,
               call_request message) {
          last_call_ = std::move(message);
          last_plan_ = plan;
          ++calls_;
          gate_->OnResult(call,
                          {.outcome = call_outcome::kAnswer, .status = 200});
        },
        [](std::uint64_t) {});
  }

  void SetWorkspaces(std::vector<workspace> workspaces, duration age = {}) {
    snapshot view;
    view.position.revision = ++revision_;
    view.config =
        configuration::Create({.version = revision_,
                               .routes = {{.name = "a",
                                           .virtual_host = "h",
                                           .prefix = "/a/",
                                           .targets = {{.service = "s"}},
                                           .priority = 3,
                                           .home_regions = {"north"}},
                                          {.name = "open",
                                           .virtual_host = "h",
                                           .prefix = "/open/",
                                           .targets = {{.service = "s"}},
                                           .needs_key = false}},
                               .services = {{.name = "s"}},
                               .workspaces = std::move(workspaces)})
            .value();
    view_.SetSnapshot(std::make_shared<const snapshot>(std::move(view)));
    view_.SetConfirmedAt(clock_.Now() - age);
  }

  static std::vector<workspace> Workspaces() {
    return {{.name = "acme", .keys = {kSecret}, .priority = 1},
            {.name = "bolt", .keys = {"other"}, .home_regions = {"south"}}};
  }

  // Sends a request with further header fields, and a body that is framed by
  // them.
  static std::string Send(const std::string& path,
                          const std::string& fields,
                          const std::string& body = "") {
    return Exchange("POST " + path +
                    " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n"
                    "connection: close\r\n" +
                    fields + "\r\n" + body);
  }

  std::string Logged() {
    LastLine("");
    return logged_;
  }

  call_plan last_plan_;
  int calls_ = 0;
  std::uint64_t revision_ = 0;
};

TEST_F(workspace_gate_fixture, InstanceGetsTheWorkspaceAndNoKey) {
  SetWorkspaces(Workspaces());
  const std::string fields =
      "kEy: secret-key-7\r\nTENANT-ID: bolt\r\n"
      "tenant-id: x\r\nKey: secret-key-7\r\n";
  ASSERT_EQ(StatusOf(Send("/a/", fields)), 200);
  EXPECT_EQ(*FindHeader(last_call_.headers, "Tenant-Id"), "acme");
  EXPECT_EQ(FindHeader(last_call_.headers, "Key"), nullptr);
  EXPECT_EQ(Encode(last_call_).find(kSecret), std::string::npos);
  EXPECT_EQ(last_plan_.workspace, "acme");
  EXPECT_EQ(last_plan_.priority, 1u);
  EXPECT_EQ(last_plan_.home_regions, std::vector<std::string>{"north"});
}

// Guards against a key and a forged workspace that reach the instance of an
// open route.
TEST_F(workspace_gate_fixture, OpenRouteNeedsNoKeyAndPassesNone) {
  SetWorkspaces(Workspaces(), seconds(60));
  ASSERT_EQ(StatusOf(Send("/open/", "key: other\r\nTenant-Id: acme\r\n")), 200);
  EXPECT_EQ(FindHeader(last_call_.headers, "Key"), nullptr);
  EXPECT_EQ(FindHeader(last_call_.headers, "Tenant-Id"), nullptr);
  EXPECT_EQ(last_plan_.workspace, "");
  EXPECT_EQ(StatusOf(Send("/open/", "")), 200);
}

TEST_F(workspace_gate_fixture, WithoutWorkspacesFieldsPassAsBefore) {
  SetWorkspaces({}, seconds(60));
  ASSERT_EQ(StatusOf(Send("/a/", "Key: k\r\nTenant-Id: x\r\n")), 200);
  EXPECT_EQ(*FindHeader(last_call_.headers, "Key"), "k");
  EXPECT_EQ(*FindHeader(last_call_.headers, "Tenant-Id"), "x");
  EXPECT_EQ(last_plan_.priority, 3u);
  EXPECT_EQ(metrics_.RenderPrometheusText().find("workspace"),
            std::string::npos);
  EXPECT_EQ(Logged().find("workspace"), std::string::npos);
}

TEST_F(workspace_gate_fixture, UnknownKeyGets401OnlyByAConfirmedView) {
  SetWorkspaces(Workspaces());
  const std::vector<std::string> refused = {
      "",
      "key: wrong\r\n",
      "key: secret-key-7\r\nkey: other\r\n",
      "key:\r\n",
      "tenant-id: acme\r\n",
      "key: " + std::string(15000, 'k') + "\r\n"};
  for (const std::string& fields : refused) {
    view_.SetConfirmedAt(clock_.Now());
    EXPECT_EQ(StatusOf(Send("/a/", fields)), 401) << fields.substr(0, 80);
    view_.SetConfirmedAt(clock_.Now() - seconds(2));
    EXPECT_EQ(StatusOf(Send("/a/", fields)), 503) << fields.substr(0, 80);
  }
  view_.SetConfirmedAt(clock_.Now());
  EXPECT_EQ(StatusOf(Send("/a/", "key: " + std::string(65536, 'k') + "\r\n")),
            431);
  EXPECT_EQ(calls_, 0);
}

TEST_F(workspace_gate_fixture, RegionsWithoutOverlapAreRefused) {
  SetWorkspaces(Workspaces());
  const std::string response = Send("/a/", "key: other\r\n");
  EXPECT_EQ(StatusOf(response), 503);
  EXPECT_NE(response.find("no_common_region"), std::string::npos);
  EXPECT_EQ(calls_, 0);
}

TEST_F(workspace_gate_fixture, ViewTooOldForKeysGets503WithALogLine) {
  SetWorkspaces(Workspaces(), seconds(4));
  const std::string key = "key: secret-key-7\r\n";
  EXPECT_EQ(StatusOf(Send("/a/", key)), 200);
  clock_.Set(clock_.Now() + milliseconds(1));
  const std::string response = Send("/a/", key);
  EXPECT_EQ(StatusOf(response), 503);
  EXPECT_NE(response.find("Retry-After"), std::string::npos);
  const boost::json::object line = LastLine("refused at head");
  EXPECT_EQ(line.at("reason").as_string(), "unconfirmed_key");
  EXPECT_EQ(line.at("workspace").as_string(), "acme");
  EXPECT_EQ(line.at("age_ms").to_number<int>(), 4001);
  gate_->SetKeyLimits({.strict = false});
  EXPECT_EQ(StatusOf(Send("/a/", key)), 200);
}

// Guards against a key that was valid at the head of a request, and is
// withdrawn, moved or no longer confirmed when the rest of it arrives.
TEST_F(workspace_gate_fixture, KeyIsDecidedAgainWhenTheRequestIsWhole) {
  struct change {
    std::function<void()> apply;
    int status;
  };
  const std::vector<change> changes = {
      {[this] { SetWorkspaces({{.name = "acme", .keys = {"new"}}}); }, 401},
      {[this] { SetWorkspaces({{.name = "bolt", .keys = {kSecret}}}); }, 200},
      {[this] { clock_.Set(clock_.Now() + seconds(5)); }, 503}};
  for (const change& each : changes) {
    SetWorkspaces(Workspaces());
    asio::io_context context;
    tcp::socket caller = Connect(context);
    WriteText(caller,
              "POST /a/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
              "expect: 100-continue\r\ncontent-length: 4\r\n"
              "key: secret-key-7\r\n\r\n");
    // The head was accepted once the server asks for the body.
    ASSERT_EQ(StatusOf(ReadUntil(caller, "\r\n\r\n")), 100);
    each.apply();
    WriteText(caller, "body");
    EXPECT_EQ(StatusOf(ReadUntil(caller, "no such text")), each.status);
  }
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(last_plan_.workspace, "bolt");
}

// Guards against a trailer that counts as a key or reaches the instance.
TEST_F(workspace_gate_fixture, TrailerIsNoKeyAndIsNotPassedOn) {
  SetWorkspaces(Workspaces());
  const std::string chunked = "transfer-encoding: chunked\r\n";
  const std::string trailer =
      "2\r\nok\r\n0\r\nkey: secret-key-7\r\ntenant-id: bolt\r\n\r\n";
  EXPECT_EQ(StatusOf(Send("/a/", chunked, trailer)), 401);
  EXPECT_EQ(StatusOf(Send("/a/", chunked + "key: secret-key-7\r\n", trailer)),
            200);
  EXPECT_EQ(*FindHeader(last_call_.headers, "Tenant-Id"), "acme");
  EXPECT_EQ(FindHeader(last_call_.headers, "Key"), nullptr);
  EXPECT_EQ(StatusOf(Send("/open/", chunked, trailer)), 200);
  EXPECT_EQ(FindHeader(last_call_.headers, "Tenant-Id"), nullptr);
  EXPECT_EQ(FindHeader(last_call_.headers, "Key"), nullptr);
}

TEST_F(workspace_gate_fixture, KeysAppearInNoResponseLogLineOrMetric) {
  SetWorkspaces(Workspaces());
  const std::string key = "key: secret-key-7\r\n";
  std::string seen = Send("/a/", key);
  seen += Send("/a/", key + "key: unknown-key-8\r\n");
  seen += Send("/a/", "key: unknown-key-8\r\n");
  seen += Send("/none/", key);
  seen += Send("/a/", key + "key : unknown-key-8\r\n");
  seen += Send("/a/", key + "content-length: 99999999\r\n");
  view_.SetConfirmedAt(clock_.Now() - seconds(60));
  seen += Send("/a/", key);
  seen += Logged() + metrics_.RenderPrometheusText() +
          metrics_.DescribeFailedCall("a1");
  EXPECT_NE(seen.find("unknown_key"), std::string::npos);
  EXPECT_EQ(seen.find(kSecret), std::string::npos);
  EXPECT_EQ(seen.find("unknown-key-8"), std::string::npos);
}

TEST_F(workspace_gate_fixture, CallsAreCountedByWorkspace) {
  SetWorkspaces(Workspaces());
  Send("/a/", "key: secret-key-7\r\n");
  Send("/a/", "key: other\r\n");
  const std::string page = metrics_.RenderPrometheusText();
  EXPECT_NE(page.find(R"(calls_total{workspace="acme",outcome="answer"} 1)"),
            std::string::npos);
  EXPECT_NE(page.find(R"(calls_total{workspace="bolt",outcome="not_run"} 1)"),
            std::string::npos);
}

// Guards against a page that grows with each workspace that ever sent a
// request, and against names that end a label early.
TEST(WorkspaceMetrics, CountsOfManyWorkspacesAreBounded) {
  metrics counted;
  counted.OnCall({.workspace = R"(a"b\c)", .outcome = call_outcome::kAnswer});
  for (int i = 0; i < 1000; ++i) {
    counted.OnCall({.workspace = "w" + std::to_string(i),
                    .outcome = call_outcome::kAnswer});
  }
  const std::string page = counted.RenderPrometheusText();
  const std::string escaped = R"x(workspace="a\"b\\c",outcome="answer"} 1)x";
  EXPECT_NE(page.find(escaped), std::string::npos);
  const std::string other = R"x(workspace="(other)",outcome="answer"} 801)x";
  EXPECT_NE(page.find(other), std::string::npos);
  EXPECT_LT(page.size(), 100'000u);
}

}  // namespace
}  // namespace parsleyyard::testing
