// Unit tests of the call sender: placement, retries, attach and retry budget.

#include "calls/retry_budget.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// ---------------------------------------------------------------------------
// Sender
// ---------------------------------------------------------------------------

TEST_F(sender_fixture, PrefersOwnFailureDomainWithinObjective) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    Begin(i);
    EXPECT_EQ(sent_.back().first, "10.0.0.1");
  }
}

// Load: the queue in the own failure domain is too long for the objective.
TEST_F(sender_fixture, LeavesFailureDomainThatWouldMissObjective) {
  Begin(1);
  Answer({.outcome = call_outcome::kAnswer,
          .status = 200,
          .load = {.running = 2,
                   .waiting = 8,
                   .limit = 2,
                   .service_us = 200'000,
                   .route_us = 200'000}});
  Begin(2);
  EXPECT_EQ(sent_.back().first, "10.0.0.2");
}

TEST_F(sender_fixture, HomeRegionsBindEveryAttempt) {
  call_plan plan = Plan(false);
  plan.home_regions = {"south"};
  sender_->Begin(1, plan, {});
  EXPECT_EQ(sent_.back().first, "10.0.0.3");
  Refuse(refusal_reason::kOverloaded);
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
  EXPECT_EQ(sent_.size(), 1u);
}

TEST_F(sender_fixture, RetriesDaemonRefusalElsewhereWithoutBudget) {
  Begin(1);
  Refuse(refusal_reason::kOverloaded);
  Refuse(refusal_reason::kOverloaded);
  EXPECT_EQ(sent_.size(), 3u);
  Refuse(refusal_reason::kOverloaded);
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
  EXPECT_GT(results_[1].retry_after, duration::zero());
}

TEST_F(sender_fixture, InstanceRejectionUsesRetryBudget) {
  Begin(1);
  Refuse(refusal_reason::kUpstreamRefused, true);
  EXPECT_EQ(sent_.size(), 2u)
      << "the fixed part of the budget allows one retry";
  Restart({.retries = {.ratio = 0.2, .slack = 0}});
  sent_.clear();
  Begin(2);
  Refuse(refusal_reason::kUpstreamRefused, true);
  EXPECT_EQ(sent_.size(), 1u);
  EXPECT_EQ(results_[2].outcome, call_outcome::kNotRun);
}

TEST_F(sender_fixture, ReachesNoMoreInstancesThanMaxAttempts) {
  FillRetryBudget(100);
  Begin(1, false);
  Refuse(refusal_reason::kUpstreamRefused, true);
  Refuse(refusal_reason::kUpstreamRefused, true);
  EXPECT_EQ(sent_.size(), 2u);
}

TEST_F(sender_fixture, RetriesUnknownOutcomeOnlyIfIdempotent) {
  FillRetryBudget(100);
  Begin(1, true);
  Answer({.outcome = call_outcome::kUnknown,
          .reason = refusal_reason::kUpstreamLost,
          .reached_instance = true});
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
  sent_.clear();
  Begin(2, false);
  Answer({.outcome = call_outcome::kUnknown,
          .reason = refusal_reason::kUpstreamLost,
          .reached_instance = true});
  EXPECT_EQ(sent_.size(), 2u);
}

TEST_F(sender_fixture, ReturnsErrorResponseIfRetriesFail) {
  FillRetryBudget(100);
  Begin(1, false);
  Answer({.outcome = call_outcome::kAnswer,
          .reached_instance = true,
          .status = 500,
          .body = "first"});
  ASSERT_EQ(sent_.size(), 2u);
  Refuse(refusal_reason::kOverloaded);
  Refuse(refusal_reason::kOverloaded);
  EXPECT_EQ(results_[1].outcome, call_outcome::kAnswer);
  EXPECT_EQ(results_[1].status, 500);
  EXPECT_EQ(results_[1].body, "first");
}

// Guards against 504 responses before the deadline. Under heavy load after a
// SIGTERM, a slow attempt was cancelled although no other instance was
// available.
// Guards against an answer of another daemon whose status is none, which would
// reach the caller as a response.
TEST_F(sender_fixture, AnswerWithoutFinalStatusIsNoResponse) {
  std::uint64_t call = 0;
  for (const std::uint16_t status : {0, 100, 199, 600, 65535}) {
    Begin(++call, true);
    Answer({.outcome = call_outcome::kAnswer, .status = status});
    EXPECT_EQ(results_[call].outcome, call_outcome::kUnknown) << status;
    EXPECT_EQ(results_[call].reason, refusal_reason::kBadAnswer) << status;
  }
}

TEST_F(sender_fixture, KeepsSlowAttemptWithoutAnotherInstance) {
  SetView({Instance("near", "10.0.0.1", "north-a")});
  FillRetryBudget(100);
  Begin(1, false);
  clock_.now += milliseconds(900);
  sender_->Tick();
  EXPECT_FALSE(results_.contains(1));
  EXPECT_TRUE(cancelled_.empty());
}

TEST_F(sender_fixture, TriesAnotherInstanceBesideASlowAttempt) {
  FillRetryBudget(100);
  Begin(1, false);
  clock_.now += milliseconds(450);
  sender_->Tick();
  EXPECT_TRUE(cancelled_.empty()) << "the slow attempt is not given up";
  ASSERT_EQ(sent_.size(), 2u);
  EXPECT_NE(sent_[0].first, sent_[1].first);
}

TEST_F(sender_fixture, DeadlineEndsAndCancelsCall) {
  Begin(1);
  clock_.now += seconds(1);
  sender_->Tick();
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
  EXPECT_EQ(results_[1].reason, refusal_reason::kTimeout);
  EXPECT_EQ(cancelled_.size(), 1u);
}

TEST_F(sender_fixture, CallThatWasNeverSentIsNotRun) {
  down_ = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  Begin(1);
  for (int i = 0; i < 3; ++i) {
    clock_.now += milliseconds(160);
    sender_->Tick();
  }
  EXPECT_EQ(opened_.size(), 3u);
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
}

TEST_F(sender_fixture, AttachesNeverRepeatCallAfterLostLink) {
  Begin(1, true);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  clock_.now += milliseconds(60);
  sender_->Tick();
  EXPECT_EQ(opened_, std::vector<host_address>{target});
  sender_->OnLinkUp(target, 5);
  ASSERT_EQ(attached_.size(), 1u);
  EXPECT_EQ(attached_[0].second.id, sent_[0].second.id);
  Answer({.outcome = call_outcome::kNotRun, .reason = refusal_reason::kFenced});
  EXPECT_EQ(sent_.size(), 2u) << "a fenced attempt is proved not run";
}

TEST_F(sender_fixture, RestartedTargetLeavesOutcomeUnknown) {
  Begin(1, true);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  sender_->OnLinkUp(target, 6);
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
}

TEST_F(sender_fixture, TriesNewInstance) {
  Begin(1);
  ASSERT_EQ(sent_.back().first, "10.0.0.1");
  Answer({.outcome = call_outcome::kAnswer,
          .status = 200,
          .load = {.limit = 2, .service_us = 60'000, .route_us = 60'000}});
  SetView({Instance("near", "10.0.0.1", "north-a"),
           Instance("new", "10.0.0.4", "north-a")});
  Begin(2);
  EXPECT_EQ(sent_.back().first, "10.0.0.4");
}

// ---------------------------------------------------------------------------
// Retry budget
// ---------------------------------------------------------------------------

// Guards against reruns that exceed the retry limit of another service. Under
// heavy load, reruns of one service made so many calls to another that the
// limit of that service was exceeded.
TEST(RetryBudget, RerunsLeaveBudgetForNestedCalls) {
  const retry_limits limits{.ratio = 0.2, .slack = 60};
  constexpr int kDaemons = 13;
  constexpr int kRequests = 150;  // per window and daemon
  int reruns = 0;
  int retries = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    retry_budget budget(limits);
    for (int i = 0; i < kRequests; ++i) {
      budget.OnRequest("parent", seconds(1));
    }
    while (
        budget.TryAcquire("parent", retry_kind::kRerun, kDaemons, seconds(2))) {
      ++reruns;
    }
    while (budget.TryAcquire("parent", retry_kind::kRejected, kDaemons,
                             seconds(2))) {
      ++retries;
    }
  }
  const double limit = limits.ratio * kRequests * kDaemons + limits.slack;
  EXPECT_LE(reruns + retries, 0.6 * limit);
  // Each rerun makes two calls to the other service, on top of the retries of
  // that service.
  EXPECT_LE(2 * reruns, 0.4 * limit);
  EXPECT_GT(reruns, 0);
}

TEST(RetryBudget, WindowSlides) {
  retry_budget budget({.ratio = 0.2, .slack = 0});
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest("s", seconds(1));
  }
  int taken = 0;
  while (budget.TryAcquire("s", retry_kind::kRejected, 1, seconds(2))) {
    ++taken;
  }
  EXPECT_EQ(taken, 12);
  EXPECT_FALSE(budget.TryAcquire("s", retry_kind::kRejected, 1, seconds(12)))
      << "the requests have left the window";
}

}  // namespace
}  // namespace parsleyyard::testing
