// Unit tests of the call target: admission of calls, their order in the queue
// and their cancellation.

#include "calls/wait_queue.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// Guards against requests that reach the instance after their callers have
// left: they waited on a link that was full.
TEST_F(target_fixture, TimeOnTheWayCountsAgainstTheDeadline) {
  Call(1);
  call_request slow = Message(2);
  call_request late = Message(3);
  clock_.now += milliseconds(400);
  Send(slow);
  EXPECT_EQ(time_left_[2], milliseconds(600));
  Complete(1);
  Complete(2);
  clock_.now += milliseconds(500);
  Send(late);
  EXPECT_FALSE(time_left_.contains(3));
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kDeadlinePassed);
}

TEST_F(target_fixture, DeadlinePassedInQueueIsNotRun) {
  Call(1);
  Call(2);
  Call(3);
  clock_.now += seconds(2);
  Complete(1);
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(started_.size(), 2u);
}

// Load: twice the capacity of the instance for four seconds, with varying
// service times. Admitted calls must meet their objective, and the slots must
// stay busy.
TEST_F(target_fixture, AdmittedCallsMeetObjectiveUnderOverload) {
  LearnServiceTime(milliseconds(200));
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> spread(5.2, 0.45);  // mean 200 ms
  std::multimap<instant, std::uint64_t> ends;
  std::map<std::uint64_t, instant> arrived;
  std::size_t scheduled = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  const instant begin = clock_.now;
  for (std::uint64_t i = 1; i <= 80; ++i) {
    const instant arrival = begin + milliseconds(50) * i;
    while (!ends.empty() && ends.begin()->first <= arrival) {
      const auto [end, sequence] = *ends.begin();
      ends.erase(ends.begin());
      clock_.now = end;
      Complete(sequence, duration::zero());
      (end - arrived[sequence] <= milliseconds(500) ? in_time : late) += 1;
      for (; scheduled < started_.size(); ++scheduled) {
        ends.emplace(end + milliseconds(static_cast<int>(spread(random))),
                     started_[scheduled]);
      }
    }
    clock_.now = arrival;
    arrived[i] = arrival;
    Call(i);
    for (; scheduled < started_.size(); ++scheduled) {
      ends.emplace(arrival + milliseconds(static_cast<int>(spread(random))),
                   started_[scheduled]);
    }
  }
  EXPECT_GE(in_time + late, 34u) << "the slots stay busy";
  EXPECT_LE(late * 10, in_time) << late << " late of " << in_time + late;
}

// Load: more calls than the instance can answer within the objective.
TEST_F(target_fixture, RefusesLateCallsAtOnce) {
  LearnServiceTime(milliseconds(200));
  std::uint64_t admitted = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Call(i);
    admitted += answers_.contains(i) ? 0 : 1;
  }
  // Two calls run. Within the objective of 500 ms, a call can wait for one
  // service time of 200 ms.
  EXPECT_GE(admitted, 3u);
  EXPECT_LE(admitted, 5u);
  EXPECT_EQ(answers_[20].reason, refusal_reason::kOverloaded);
}

TEST_F(target_fixture, UrgentCallsDisplaceLessUrgentOnes) {
  Restart({.max_waiting_calls = 2});
  for (std::uint64_t i = 1; i <= 4; ++i) {
    Call(i, 2);
  }
  ASSERT_TRUE(answers_.empty()) << "two run and two wait";
  Call(5, 2);
  EXPECT_EQ(answers_[5].reason, refusal_reason::kOverloaded);
  Call(6, 0);
  EXPECT_FALSE(answers_.contains(6));
  EXPECT_EQ(answers_[4].reason, refusal_reason::kOverloaded)
      << "the newest call is displaced";
  Complete(1);
  EXPECT_EQ(started_.back(), 6u);
}

TEST_F(target_fixture, CallsWithLessTimeStartFirst) {
  LearnServiceTime(milliseconds(100));
  Call(1);
  Call(2);
  Call(3);
  call_request nested = Message(4);
  nested.objective_ms = 250;
  nested.deadline_ms = 500;
  Send(nested);
  Complete(1, milliseconds(1));
  EXPECT_EQ(started_.back(), 4u);
}

TEST_F(target_fixture, CancelRemovesWaitingCall) {
  Call(1);
  Call(2);
  Call(3);
  target_->OnCancel({.id = {.origin = 9, .sequence = 3}});
  Complete(1);
  EXPECT_EQ(started_.size(), 2u);
}

TEST_F(target_fixture, CancelAbortsOnlyIdempotentRunningCalls) {
  call_request idempotent = Message(1);
  Send(idempotent);
  call_request never_repeat = Message(2);
  never_repeat.never_repeat = true;
  Send(never_repeat);
  target_->OnCancel({.id = {.origin = 9, .sequence = 1}});
  target_->OnCancel({.id = {.origin = 9, .sequence = 2}});
  EXPECT_EQ(cancelled_, (std::vector<std::uint64_t>{1}));
}

// Guards against requests that reach an instance after their caller has left.
TEST_F(target_fixture, CancelWithholdsRequestThatIsNotWrittenYet) {
  hold_writes_ = true;
  call_request never_repeat = Message(1);
  never_repeat.never_repeat = true;
  Send(never_repeat);
  target_->OnCancel({.id = {.origin = 9, .sequence = 1}});
  EXPECT_EQ(cancelled_, (std::vector<std::uint64_t>{1}));
  WriteHeldRequests();
  EXPECT_TRUE(written_.empty());
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kCancelled);
}

TEST_F(target_fixture, PassesRemainingTimeToInstance) {
  Call(1);
  Call(2);
  Call(3);
  Complete(1, milliseconds(300));
  EXPECT_EQ(time_left_[3], duration(milliseconds(700)));
}

// Guards against refusals of waiting calls for one that is refused itself.
TEST_F(target_fixture, CallThatIsRefusedDisplacesNone) {
  LearnServiceTime(milliseconds(100));
  Call(1);
  Call(2);
  Call(3, 1);
  for (std::uint64_t call = 4; call < 12; ++call) {
    Call(call);
    if (answers_.contains(call)) {
      EXPECT_FALSE(answers_.contains(3)) << "displaced by call " << call;
      return;
    }
  }
  FAIL() << "no call was refused";
}

}  // namespace
}  // namespace parsleyyard::testing
