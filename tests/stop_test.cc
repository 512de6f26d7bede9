// Tests of the calls at a planned stop: what can't end in time is refused while
// its caller still listens, and only what has not run is called "not run".

#include "calls/wait_queue.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// Lets the calls of a sender and a target meet the end of their daemon.
class stopping_sender_fixture : public sender_fixture {
 protected:
  // Begins a call that is sent and gets no answer, 20 s before its deadline.
  void BeginWaitingCall(std::uint64_t call, bool never_repeat = true) {
    call_plan plan = Plan(never_repeat);
    plan.deadline = seconds(20);
    plan.objective = seconds(15);
    sender_->Begin(call, plan, {});
  }
  void RunUntil(instant end) {
    while (clock_.now < end) {
      clock_.now += milliseconds(20);
      sender_->Tick();
    }
  }
  instant end_ = instant(seconds(105));  // the clock begins at 100 s
};

// Guards against connections that are closed at the end of a stop while their
// calls wait at another daemon (review/2).
TEST_F(stopping_sender_fixture, CallThatWaitsElsewhereIsRecalledAndNotRun) {
  for (const bool never_repeat : {true, false}) {
    Restart({});
    results_.clear();
    sent_.clear();
    cancelled_.clear();
    clock_.now = instant(seconds(100));
    BeginWaitingCall(1, never_repeat);
    sender_->EndBy(end_);
    RunUntil(end_ - milliseconds(200));
    // An idempotent call has a second attempt by now.
    const std::size_t attempts = never_repeat ? 1 : 2;
    ASSERT_EQ(sent_.size(), attempts);
    ASSERT_EQ(cancelled_.size(), attempts);
    for (std::size_t i = 0; i < attempts; ++i) {
      EXPECT_TRUE(cancelled_[i].second.unless_written);
      EXPECT_FALSE(results_.contains(1));
      sender_->OnAnswer(cancelled_[i].first,
                        {.id = cancelled_[i].second.id,
                         .outcome = call_outcome::kNotRun,
                         .reason = refusal_reason::kCancelled});
    }
    ASSERT_TRUE(results_.contains(1));
    EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
    EXPECT_EQ(results_[1].reason, refusal_reason::kLeaving);
    EXPECT_EQ(sent_.size(), attempts);
  }
}

// Guards against "not run" for a call that may run: the answer of the recall is
// lost.
TEST_F(stopping_sender_fixture, CallWithoutAnAnswerEndsAsUnknownAtTheEnd) {
  BeginWaitingCall(1);
  sender_->EndBy(end_);
  RunUntil(end_ - milliseconds(20));
  EXPECT_FALSE(results_.contains(1));
  RunUntil(end_);
  ASSERT_TRUE(results_.contains(1));
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
  EXPECT_EQ(results_[1].reason, refusal_reason::kLeaving);
}

TEST_F(stopping_sender_fixture, AnswerAfterTheRecallIsTheResult) {
  BeginWaitingCall(1);
  sender_->EndBy(end_);
  RunUntil(end_ - milliseconds(100));
  Answer({.outcome = call_outcome::kAnswer, .status = 200});
  EXPECT_EQ(results_[1].status, 200);
}

// The link to the target is not up: nothing was sent.
TEST_F(stopping_sender_fixture, CallOnItsWayIsNotRunAtTheRecall) {
  down_ = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  BeginWaitingCall(1);
  sender_->EndBy(clock_.now + milliseconds(100));
  RunUntil(clock_.now + milliseconds(20));
  ASSERT_TRUE(results_.contains(1));
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
}

// The outcome of an attempt whose link was lost can't be asked for in time.
TEST_F(stopping_sender_fixture, CallThatAttachesEndsAsUnknown) {
  BeginWaitingCall(1);
  sender_->EndBy(end_);
  down_ = {sent_.back().first};
  sender_->OnLinkDown(sent_.back().first);
  RunUntil(end_);
  ASSERT_TRUE(results_.contains(1));
  EXPECT_EQ(results_[1].outcome, call_outcome::kUnknown);
}

// A target that refuses the call because it stops as well, before the recall:
// the call goes elsewhere, and never later than the recall.
TEST_F(stopping_sender_fixture, SecondStopInSeriesMovesTheCallUntilTheRecall) {
  BeginWaitingCall(1);
  sender_->EndBy(end_);
  RunUntil(clock_.now + seconds(1));
  Refuse(refusal_reason::kLeaving);
  EXPECT_EQ(sent_.size(), 2U);
  RunUntil(end_ - milliseconds(100));
  Refuse(refusal_reason::kLeaving);
  EXPECT_EQ(sent_.size(), 2U);
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
}

// The time that targets get to know is what the daemon has left.
TEST_F(stopping_sender_fixture, CallDuringAStopHasTheTimeUntilItsEnd) {
  sender_->EndBy(clock_.now + seconds(2));
  BeginWaitingCall(1);
  EXPECT_EQ(sent_.back().second.deadline_ms, 2000U);
  EXPECT_LE(sent_.back().second.objective_ms, 2000U);
  BeginWaitingCall(2);
  RunUntil(clock_.now + milliseconds(1900));
  BeginWaitingCall(3);
  EXPECT_EQ(results_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(results_[3].reason, refusal_reason::kLeaving);
}

TEST_F(stopping_sender_fixture, CallThatEndsBeforeTheStopIsNotRecalled) {
  Begin(1);  // one second until its deadline
  sender_->EndBy(end_);
  RunUntil(clock_.now + milliseconds(900));
  EXPECT_TRUE(cancelled_.empty());
}

class stopping_target_fixture : public target_fixture {
 protected:
  // A call with 20 s until its deadline.
  void CallWithTime(std::uint64_t sequence) {
    call_request message = Message(sequence);
    message.deadline_ms = 20000;
    message.objective_ms = 15000;
    Send(message);
  }
};

// Guards against calls that wait beside the instance until their daemon ends,
// and whose senders then see a lost link (unknown).
TEST_F(stopping_target_fixture, RefusesWaitingCallsThatCannotEndInTime) {
  LearnServiceTime(milliseconds(400));
  for (std::uint64_t i = 1; i <= 8; ++i) {
    CallWithTime(i);
  }
  ASSERT_EQ(started_.size(), 2U);
  target_->EndBy(clock_.now + milliseconds(1300));
  target_->Tick();
  // Two run, and two pairs can follow them.
  for (const std::uint64_t refused : {7, 8}) {
    ASSERT_TRUE(answers_.contains(refused)) << refused;
    EXPECT_EQ(answers_[refused].outcome, call_outcome::kNotRun);
    EXPECT_EQ(answers_[refused].reason, refusal_reason::kLeaving);
  }
  for (const std::uint64_t waiting : {3, 4, 5, 6}) {
    EXPECT_FALSE(answers_.contains(waiting)) << waiting;
  }
  Complete(1, milliseconds(1000));
  EXPECT_EQ(started_.size(), 2U);
  for (const std::uint64_t refused : {3, 4, 5, 6}) {
    EXPECT_EQ(answers_[refused].reason, refusal_reason::kLeaving);
  }
}

TEST_F(stopping_target_fixture, RefusesNewCallsThatCannotEndInTime) {
  LearnServiceTime(milliseconds(400));
  target_->EndBy(clock_.now + milliseconds(300));
  CallWithTime(1);
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(started_.empty());
}

TEST_F(stopping_target_fixture, WithholdsRequestsThatWaitForAConnection) {
  hold_writes_ = true;
  LearnServiceTime(milliseconds(10));
  WriteHeldRequests();
  cancelled_.clear();
  CallWithTime(1);
  target_->EndBy(clock_.now + seconds(1));
  clock_.now += milliseconds(900);
  target_->Tick();
  EXPECT_EQ(cancelled_, std::vector<std::uint64_t>{1});
  WriteHeldRequests();
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kLeaving);
}

TEST_F(stopping_target_fixture, RecallRefusesOnlyWhatWasNotWritten) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CallWithTime(i);
  }
  ASSERT_EQ(started_.size(), 2U);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    target_->OnCancel(
        {.id = {.origin = 9, .sequence = i}, .unless_written = true});
  }
  EXPECT_TRUE(cancelled_.empty());
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  Complete(1);
  EXPECT_EQ(answers_[1].outcome, call_outcome::kAnswer);
}

// Guards against calls that wait for a slot although nothing can let them run
// any more: their callers would learn it only at the deadline, as unknown.
TEST_F(stopping_target_fixture, RefusesWaitingCallsOnceTheInstanceLeaves) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CallWithTime(i);
  }
  ASSERT_EQ(started_.size(), 2U);
  known_instance draining = Instance("i", "10.0.0.1", "north-a");
  draining.registration.draining = true;
  SetView({draining});
  target_->Tick();
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kLeaving);
}

TEST_F(stopping_target_fixture, RefusesWaitingCallsOnceTheDomainIsEvacuated) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CallWithTime(i);
  }
  SetView({Instance("i", "10.0.0.1", "north-a")});
  view_->evacuated.insert("north-a");
  target_->Tick();
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].reason, refusal_reason::kFailureDomainOut);
}

TEST_F(stopping_target_fixture, RefusesWaitingCallsJustBeforeTheirDeadline) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    Call(i);  // one second until the deadline
  }
  clock_.now += milliseconds(960);
  target_->Tick();
  EXPECT_FALSE(answers_.contains(3));
  clock_.now += milliseconds(30);
  target_->Tick();
  ASSERT_TRUE(answers_.contains(3));
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kDeadlinePassed);
}

TEST(WaitQueue, CallsBehindOnesThatAreTakenOutMoveUp) {
  wait_queue queue;
  const instance_capacity capacity{
      .running = 1, .limit = 1, .service_time = milliseconds(100)};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    queue.Enqueue({.id = {.origin = 1, .sequence = i},
                   .due_at = instant(seconds(1)),
                   .service_time = milliseconds(i == 1 ? 500 : 100)});
  }
  const auto popped = queue.PopCallsThatOutlast(milliseconds(300), capacity);
  ASSERT_EQ(popped.size(), 1U);
  EXPECT_EQ(popped[0].id.sequence, 1U);
  EXPECT_EQ(queue.size(), 2U);
}

}  // namespace
}  // namespace parsleyyard::testing
