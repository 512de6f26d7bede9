// Tests of the call sender: what happens to an attempt that is slow or whose
// link is lost while another one is tried.

#include "tests/call_fixtures.h"

#include <algorithm>

namespace parsleyyard::testing {
namespace {

class slow_attempt_fixture : public sender_fixture {
 protected:
  slow_attempt_fixture() { FillRetryBudget(100); }

  // Sends an idempotent call and lets its attempt count as slow.
  void BeginSlowCall() {
    Begin(1, false);
    clock_.now += milliseconds(450);
    sender_->Tick();
  }
  // Answers the attempt that was sent as number `index`, counted from 0.
  void AnswerAttempt(std::size_t index, call_answer answer) {
    answer.id = sent_[index].second.id;
    sender_->OnAnswer(sent_[index].first, std::move(answer));
  }
  // Refuses the latest attempt until no further one is sent.
  void RefuseAllFurther(refusal_reason reason) {
    for (std::size_t refused = 1; refused < sent_.size(); ++refused) {
      AnswerAttempt(refused,
                    {.outcome = call_outcome::kNotRun, .reason = reason});
    }
  }
  std::size_t CallsSentTo(const host_address& host) const {
    return static_cast<std::size_t>(std::count_if(
        sent_.begin(), sent_.end(),
        [&](const auto& attempt) { return attempt.first == host; }));
  }
  void BeginWithAttempts(std::uint64_t call, std::uint32_t max_attempts) {
    call_plan plan = Plan(false);
    plan.max_attempts = max_attempts;
    plan.deadline = seconds(3);
    sender_->Begin(call, plan, {});
  }
  // Begins a call each second, which is answered. Returns true if `host` got
  // one.
  bool GetsCall(const host_address& host, int calls) {
    for (int i = 0; i < calls; ++i) {
      clock_.now += seconds(1);
      sender_->Tick();
      Begin(++last_call_);
      if (sent_.back().first == host) {
        return true;
      }
      Answer({.outcome = call_outcome::kAnswer, .status = 200});
    }
    return false;
  }
  std::uint64_t last_call_ = 100;
};

// Guards against 502 responses while the instance was at work.
TEST_F(slow_attempt_fixture, RefusalsElsewhereDoNotEndAnAttemptThatRuns) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  RefuseAllFurther(refusal_reason::kLeaving);
  EXPECT_TRUE(cancelled_.empty());
  EXPECT_FALSE(results_.contains(1));
  AnswerAttempt(0, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
}

TEST_F(slow_attempt_fixture, FirstResponseCancelsTheOtherAttempt) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(1, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
  ASSERT_EQ(cancelled_.size(), 1U);
  EXPECT_EQ(cancelled_[0].first, sent_[0].first);
  EXPECT_EQ(cancelled_[0].second.id, sent_[0].second.id);
  results_.clear();
  AnswerAttempt(0, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_TRUE(results_.empty()) << "a call has one result";
}

TEST_F(slow_attempt_fixture, ResponseOfTheSlowAttemptCancelsTheOther) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(0, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
  ASSERT_EQ(cancelled_.size(), 1U);
  EXPECT_EQ(cancelled_[0].second.id, sent_[1].second.id);
}

TEST_F(slow_attempt_fixture, ErrorResponseDoesNotEndAnAttemptThatRuns) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(1, {.outcome = call_outcome::kAnswer,
                    .reached_instance = true,
                    .status = 500});
  EXPECT_FALSE(results_.contains(1));
  AnswerAttempt(0, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
}

TEST_F(slow_attempt_fixture, DeadlineAndCallerCancelBothAttempts) {
  BeginSlowCall();
  sender_->Cancel(1);
  EXPECT_EQ(cancelled_.size(), 2U);
  cancelled_.clear();
  sent_.clear();
  Begin(2, false);
  clock_.now += milliseconds(450);
  sender_->Tick();
  ASSERT_EQ(sent_.size(), 2U);
  clock_.now += milliseconds(550);
  sender_->Tick();
  EXPECT_EQ(cancelled_.size(), 2U);
  EXPECT_EQ(results_[2].reason, refusal_reason::kTimeout);
  EXPECT_EQ(results_[2].outcome, call_outcome::kUnknown);
  EXPECT_EQ(sender_->in_flight(), 0U);
}

TEST_F(slow_attempt_fixture, TwoAttemptsReachNoMoreInstancesThanAllowed) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(1, {.outcome = call_outcome::kNotRun,
                    .reason = refusal_reason::kUpstreamRefused,
                    .reached_instance = true});
  EXPECT_EQ(sent_.size(), 2U) << "two instances were reached";
  EXPECT_FALSE(results_.contains(1));
  AnswerAttempt(0, {.outcome = call_outcome::kUnknown,
                    .reason = refusal_reason::kUpstreamLost,
                    .reached_instance = true});
  EXPECT_EQ(sent_.size(), 2U);
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
}

TEST_F(slow_attempt_fixture, ResultIsUnknownIfTheSlowAttemptMayHaveRun) {
  BeginSlowCall();
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(0, {.outcome = call_outcome::kUnknown,
                    .reason = refusal_reason::kUpstreamLost,
                    .reached_instance = true});
  EXPECT_FALSE(results_.contains(1)) << "the second attempt goes on";
  RefuseAllFurther(refusal_reason::kOverloaded);
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
}

// Guards against 502 responses while the instance was at work: the link was
// lost, and the outcome counted as unknown.
TEST_F(slow_attempt_fixture, LostLinkDoesNotEndAnAttemptThatRuns) {
  Begin(1, false);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  RefuseAllFurther(refusal_reason::kOverloaded);
  EXPECT_FALSE(results_.contains(1));
  clock_.now += milliseconds(60);
  sender_->Tick();
  EXPECT_EQ(opened_, std::vector<host_address>{target});
  sender_->OnLinkUp(target, 5);
  ASSERT_EQ(attached_.size(), 1U);
  EXPECT_EQ(attached_[0].second.id, sent_[0].second.id);
  AnswerAttempt(0, {.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
}

TEST_F(slow_attempt_fixture, LostLinkOfAnIdempotentCallIsAwaitedForAMoment) {
  Begin(1, false);
  sender_->OnLinkDown(sent_[0].first);
  RefuseAllFurther(refusal_reason::kOverloaded);
  clock_.now += milliseconds(200);
  sender_->Tick();
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
  EXPECT_EQ(results_[1].reason, refusal_reason::kLinkLost);
}

TEST_F(slow_attempt_fixture, RestartedTargetEndsAnAttemptWithoutLink) {
  Begin(1, false);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  RefuseAllFurther(refusal_reason::kOverloaded);
  sender_->OnLinkUp(target, 6);
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
}

// Guards against calls that are refused again and again by hosts that stop.
TEST_F(slow_attempt_fixture, HostThatRefusedAsLeavingGetsNoCallUntilItStarts) {
  Begin(1);
  const host_address leaving = sent_[0].first;
  Answer({.outcome = call_outcome::kNotRun,
          .reason = refusal_reason::kLeaving,
          .load = {.leaving = true}});
  Answer({.outcome = call_outcome::kAnswer, .status = 200});
  sent_.clear();
  for (std::uint64_t call = 2; call < 8; ++call) {
    clock_.now += seconds(1);
    Begin(call);
    Refuse(refusal_reason::kUpstreamRefused);
    Answer({.outcome = call_outcome::kAnswer, .status = 200});
  }
  EXPECT_EQ(CallsSentTo(leaving), 0U);
  sent_.clear();
  sender_->OnLinkDown(leaving);
  clock_.now += seconds(1);
  Begin(9);
  EXPECT_EQ(sent_[0].first, leaving) << "it may have started again";
}

// Guards against hosts without calls after a release: the instance left, its
// daemon and the link stay.
TEST_F(slow_attempt_fixture, HostWhoseInstanceWasReplacedGetsCalls) {
  Begin(1);
  ASSERT_EQ(sent_[0].first, "10.0.0.1");
  Refuse(refusal_reason::kLeaving);
  Answer({.outcome = call_outcome::kAnswer, .status = 200});
  SetView({Instance("near2", "10.0.0.1", "north-a"),
           Instance("mid", "10.0.0.2", "north-b"),
           Instance("far", "10.0.0.3", "south-a")});
  EXPECT_TRUE(GetsCall("10.0.0.1", 30));
}

// Guards against a daemon that sends its own instance nothing more: there is no
// link to its own host that could be lost.
TEST_F(slow_attempt_fixture, ReplacedInstanceOfTheOwnHostGetsCalls) {
  SetView({Instance("own", "10.0.0.9", "north-a"),
           Instance("mid", "10.0.0.2", "north-b")});
  Begin(1);
  ASSERT_EQ(sent_[0].first, "10.0.0.9");
  Refuse(refusal_reason::kLeaving);
  Answer({.outcome = call_outcome::kAnswer, .status = 200});
  SetView({Instance("own2", "10.0.0.9", "north-a"),
           Instance("mid", "10.0.0.2", "north-b")});
  EXPECT_TRUE(GetsCall("10.0.0.9", 30));
}

// Guards against a service without any instance: the only one was replaced.
TEST_F(slow_attempt_fixture, OnlyInstanceThatWasReplacedGetsCalls) {
  SetView({Instance("near", "10.0.0.1", "north-a")});
  Begin(1);
  Refuse(refusal_reason::kLeaving);
  SetView({Instance("near2", "10.0.0.1", "north-a")});
  clock_.now += seconds(30);
  sent_.clear();
  Begin(2);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a call that waits for a silent attempt up to its deadline
// though it may have a further one.
TEST_F(slow_attempt_fixture, SilentSecondAttemptGetsAThirdBesideIt) {
  BeginWithAttempts(1, 3);
  clock_.now += milliseconds(410);
  sender_->Tick();
  ASSERT_EQ(sent_.size(), 2U);
  clock_.now += milliseconds(410);
  sender_->Tick();
  AnswerAttempt(0, {.outcome = call_outcome::kUnknown,
                    .reason = refusal_reason::kUpstreamLost,
                    .reached_instance = true});
  sender_->Tick();
  EXPECT_EQ(sent_.size(), 3U);
}

// Guards against runs that go on after the caller has left: the link was lost
// at that moment.
TEST_F(slow_attempt_fixture, CancelReachesAnAttemptWhoseLinkComesBack) {
  BeginWithAttempts(1, 1);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  sender_->Cancel(1);
  sender_->OnLinkUp(target, 5);
  EXPECT_EQ(cancelled_.size(), 1U);
}

TEST_F(slow_attempt_fixture, ResponseElsewhereCancelsAnAttemptWithoutLink) {
  Begin(1, false);
  const host_address target = sent_[0].first;
  sender_->OnLinkDown(target);
  ASSERT_EQ(sent_.size(), 2U);
  AnswerAttempt(1, {.outcome = call_outcome::kAnswer, .status = 200});
  ASSERT_EQ(results_[1].status, 200);
  sender_->OnLinkUp(target, 5);
  EXPECT_EQ(cancelled_.size(), 1U);
}

TEST_F(slow_attempt_fixture, AttemptThatCanNotBeResumedEndsAtOnce) {
  SetView({Instance("near", "10.0.0.1", "north-a")});
  Begin(1, false);
  sender_->OnPeerStops("10.0.0.1");
  sender_->OnLinkDown("10.0.0.1");
  EXPECT_TRUE(results_.contains(1))
      << "the peer has ended its answers and takes no new stream";
}

// Guards against calls that wait for the link to a host that is about to stop.
TEST_F(slow_attempt_fixture, HostThatIsAboutToStopGetsNoCall) {
  down_ = {"10.0.0.1"};
  Begin(1);
  EXPECT_TRUE(sent_.empty()) << "the nearest host has no link yet";
  sender_->OnPeerStops("10.0.0.1");
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].first, "10.0.0.2");
  Begin(2);
  EXPECT_EQ(CallsSentTo("10.0.0.2"), 2U);
}

}  // namespace
}  // namespace parsleyyard::testing
