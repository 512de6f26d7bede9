// What callers see of quotas, through the HTTP server for callers, and what the
// daemon sends for them.

#include "daemon/quota_service.h"
#include "tests/gate_fixtures.h"

#include <chrono>
#include <map>
#include <thread>

namespace parsleyyard::testing {
namespace {

// Decides as the test states, or lets calls wait.
class test_quotas : public request_quotas {
 public:
  quota_decision Admit(std::uint64_t call,
                       const std::string& workspace,
                       duration max_wait) override {
    const std::lock_guard lock(mutex_);
    last_call_ = call;
    last_max_wait_ = max_wait;
    quota_decision decision = next_;
    decision.request = call;
    decision.workspace = workspace;
    return decision;
  }
  void Cancel(std::uint64_t call, const std::string& /*workspace*/) override {
    const std::lock_guard lock(mutex_);
    cancelled_ = call;
  }
  void Return(const std::string& /*workspace*/,
              const quota_token& /*token*/) override {
    const std::lock_guard lock(mutex_);
    ++returned_;
  }
  void SetNext(quota_decision next) {
    const std::lock_guard lock(mutex_);
    next_ = std::move(next);
  }
  std::uint64_t LastCall() const { return Get(last_call_); }
  std::uint64_t Cancelled() const { return Get(cancelled_); }
  int Returned() const { return Get(returned_); }
  duration LastMaxWait() const { return Get(last_max_wait_); }

 private:
  template <class T>
  T Get(const T& value) const {
    const std::lock_guard lock(mutex_);
    return value;
  }
  mutable std::mutex mutex_;
  quota_decision next_;
  std::uint64_t last_call_ = 0;
  std::uint64_t cancelled_ = 0;
  int returned_ = 0;
  duration last_max_wait_{};
};

class quota_gate_fixture : public gate_fixture {
 protected:
  quota_gate_fixture() {
    gate_->SetQuotas(quotas_);
    gate_->SetCallbacks(
        [this](std::uint64_t call, const call_plan& plan, call_request) {
          begun_deadline_ = plan.deadline;
          ++begun_;
          gate_->OnResult(call, outcome_);
        },
        [](std::uint64_t) {});
    snapshot view;
    view.position.revision = 1;
    view.config =
        configuration::Create(
            {.version = 1,
             .routes = {{.name = "a",
                         .virtual_host = "h",
                         .prefix = "/a/",
                         .targets = {{.service = "s"}},
                         .timeout = seconds(2)},
                        {.name = "open",
                         .virtual_host = "h",
                         .prefix = "/open/",
                         .targets = {{.service = "s"}},
                         .needs_key = false}},
             .services = {{.name = "s"}},
             .workspaces = {{.name = "acme", .keys = {"k"}, .rate = 1}}})
            .value();
    view_.SetSnapshot(std::make_shared<const snapshot>(std::move(view)));
    view_.SetConfirmedAt(clock_.Now());
  }
  ~quota_gate_fixture() override = default;

  static std::string Request(const std::string& path) {
    return "GET " + path +
           " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nkey: k\r\n"
           "connection: close\r\n\r\n";
  }
  // Returns when `condition` holds, which other threads cause.
  template <class Condition>
  static void Await(Condition condition) {
    while (!condition()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  test_quotas quotas_;
  call_result outcome_{.outcome = call_outcome::kAnswer, .status = 200};
  std::atomic<duration> begun_deadline_{};
  std::atomic<int> begun_{0};
};

TEST_F(quota_gate_fixture, AdmittedRequestRuns) {
  EXPECT_EQ(StatusOf(Exchange(Request("/a/"))), 200);
  EXPECT_EQ(begun_, 1);
  EXPECT_EQ(quotas_.LastMaxWait(), milliseconds(80));
}

TEST_F(quota_gate_fixture, RequestWithoutWorkspaceNeedsNoQuota) {
  quotas_.SetNext({.verdict = quota_verdict::kOverQuota});
  EXPECT_EQ(StatusOf(Exchange(Request("/open/"))), 200);
  EXPECT_EQ(quotas_.LastCall(), 0U);
}

TEST_F(quota_gate_fixture, RefusalsStateTheOutcomeAndWhenToComeBack) {
  quotas_.SetNext(
      {.verdict = quota_verdict::kOverQuota, .retry_after = milliseconds(250)});
  const std::string over = Exchange(Request("/a/"));
  EXPECT_EQ(StatusOf(over), 429);
  EXPECT_NE(over.find("0.25"), std::string::npos) << over;
  EXPECT_NE(over.find("not_run"), std::string::npos);
  quotas_.SetNext(
      {.verdict = quota_verdict::kUnknown, .retry_after = milliseconds(500)});
  const std::string unknown = Exchange(Request("/a/"));
  EXPECT_EQ(StatusOf(unknown), 503);
  EXPECT_NE(unknown.find("0.5"), std::string::npos) << unknown;
  EXPECT_EQ(begun_, 0);
  EXPECT_EQ(gate_->in_flight(), 0U);
}

// The wait for a grant counts against the deadline of the request.
TEST_F(quota_gate_fixture, HeldRequestRunsWhenItIsAdmitted) {
  quotas_.SetNext({.verdict = quota_verdict::kWaiting});
  std::string response;
  std::thread caller([&] { response = Exchange(Request("/a/")); });
  Await([&] { return quotas_.LastCall() != 0; });
  // A held request does not keep others from being served.
  EXPECT_EQ(StatusOf(Exchange(Request("/open/"))), 200);
  clock_.Set(clock_.Now() + milliseconds(30));
  gate_->OnQuotaDecision({.request = quotas_.LastCall(), .workspace = "acme"});
  caller.join();
  EXPECT_EQ(StatusOf(response), 200);
  // The time that the request took to be read counts, too.
  EXPECT_LE(begun_deadline_.load(), duration(milliseconds(1970)));
}

TEST_F(quota_gate_fixture, HeldRequestOfADisconnectedCallerNeverRuns) {
  quotas_.SetNext({.verdict = quota_verdict::kWaiting});
  {
    asio::io_context context;
    tcp::socket socket = Connect(context);
    WriteText(socket, Request("/a/"));
    Await([&] { return quotas_.LastCall() != 0; });
  }
  Await([&] { return quotas_.Cancelled() != 0; });
  EXPECT_EQ(quotas_.Cancelled(), quotas_.LastCall());
  gate_->OnQuotaDecision({.request = quotas_.LastCall(), .workspace = "acme"});
  EXPECT_EQ(begun_, 0);
  EXPECT_EQ(quotas_.Returned(), 1);
}

// A request that has not run must not count against the quota.
TEST_F(quota_gate_fixture, TokenOfARefusedCallIsReturned) {
  quotas_.SetNext({.token = {.kind = token_kind::kGranted}});
  outcome_ = {.outcome = call_outcome::kNotRun,
              .reason = refusal_reason::kOverloaded};
  EXPECT_EQ(StatusOf(Exchange(Request("/a/"))), 503);
  EXPECT_EQ(quotas_.Returned(), 1);
  outcome_ = {.outcome = call_outcome::kUnknown,
              .reason = refusal_reason::kTimeout};
  EXPECT_EQ(StatusOf(Exchange(Request("/a/"))), 504);
  EXPECT_EQ(quotas_.Returned(), 1);
}

// Owner and client of one daemon, with the messages that they send.
class quota_service_fixture : public gate_fixture {
 protected:
  quota_service_fixture() {
    service_.SetCallbacks(
        [this](const host_address& owner, const quota_request& message) {
          sent_.emplace_back(owner, message);
        },
        [this](const quota_decision& decision) {
          decisions_.push_back(decision);
        });
  }

  void SetQuota(double rate, const host_address& host) {
    snapshot view;
    view.position.revision = ++revision_;
    view.config =
        configuration::Create(
            {.version = revision_,
             .routes = {{.name = "a",
                         .virtual_host = "h",
                         .prefix = "/a/",
                         .targets = {{.service = "s"}}}},
             .services = {{.name = "s"}},
             .workspaces = {{.name = "acme", .keys = {"k"}, .rate = rate}}})
            .value();
    view.instances["i"].registration = {.id = "i", .host = host};
    view_.SetSnapshot(std::make_shared<const snapshot>(std::move(view)));
  }
  // Ticks with a view that is confirmed all the time.
  void Pass(duration length) {
    const instant end = clock_.Now() + length;
    while (clock_.Now() < end) {
      clock_.Set(clock_.Now() + milliseconds(20));
      view_.SetConfirmedAt(clock_.Now());
      service_.Tick();
    }
  }

  std::uint64_t revision_ = 0;
  std::vector<std::pair<host_address, quota_request>> sent_;
  std::vector<quota_decision> decisions_;
  quota_service service_{
      {.address = "10.0.0.1"}, clock_, random_, view_, metrics_, *log_};
};

TEST_F(quota_service_fixture, WithoutQuotasNothingIsSentOrCounted) {
  SetQuota(0, "10.0.0.2");
  Pass(seconds(1));
  EXPECT_EQ(service_.Admit(1, "acme", milliseconds(80)).verdict,
            quota_verdict::kAdmitted);
  Pass(seconds(1));
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(metrics_.RenderPrometheusText().find("quota"), std::string::npos);
}

TEST_F(quota_service_fixture, OwnWorkspaceIsGrantedWithoutMessages) {
  SetQuota(10, "10.0.0.1");
  Pass(seconds(5));
  EXPECT_EQ(service_.Counts().owned, 1U);
  const quota_decision decision = service_.Admit(1, "acme", milliseconds(80));
  EXPECT_EQ(decision.verdict, quota_verdict::kAdmitted);
  EXPECT_EQ(decision.token.kind, token_kind::kGranted);
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(LastLine("owner of quotas changed").at("gained").as_int64(), 1);
  EXPECT_NE(
      metrics_.RenderPrometheusText().find(
          "quota_requests_total{workspace=\"acme\",result=\"granted\"} 1"),
      std::string::npos);
}

// A daemon that starts must not admit requests before it knows their quota.
TEST_F(quota_service_fixture, NewConfigurationBindsAtOnce) {
  service_.Tick();
  SetQuota(10, "10.0.0.2");
  EXPECT_EQ(service_.Admit(1, "acme", milliseconds(80)).verdict,
            quota_verdict::kWaiting);
}

TEST_F(quota_service_fixture, GrantOfAnotherOwnerEndsTheWait) {
  SetQuota(10, "10.0.0.2");
  Pass(seconds(1));
  EXPECT_EQ(service_.Admit(1, "acme", milliseconds(80)).verdict,
            quota_verdict::kWaiting);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].first, "10.0.0.2");
  service_.OnGrant({.workspace = "acme",
                    .number = sent_[0].second.number,
                    .answer = quota_answer::kUsedUp,
                    .retry_after_ms = 100});
  ASSERT_EQ(decisions_.size(), 1U);
  EXPECT_EQ(decisions_[0].verdict, quota_verdict::kOverQuota);
  EXPECT_EQ(LastLine("quota binds").at("workspace").as_string(), "acme");
}

}  // namespace
}  // namespace parsleyyard::testing
