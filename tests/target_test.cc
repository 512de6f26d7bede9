// Unit tests of the call target: each attempt runs at most once, and only as
// the view and the instance allow. tests/cold_test.cc has those of a cold
// instance, tests/admission_test.cc those of the queue.

#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// ---------------------------------------------------------------------------
// Target: at most once
// ---------------------------------------------------------------------------

TEST_F(target_fixture, FencedAttemptNeverRuns) {
  target_->OnAttach("10.0.0.2",
                    {.id = {.origin = 9, .sequence = 1}, .deadline_ms = 1000});
  EXPECT_EQ(answers_[1].reason, refusal_reason::kFenced);
  Call(1);
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
}

TEST_F(target_fixture, FullTableReportsUnknownInsteadOfFence) {
  Restart({.max_tracked_attempts = 8});
  for (std::uint64_t i = 1; i <= 9; ++i) {
    target_->OnAttach(
        "10.0.0.2", {.id = {.origin = 9, .sequence = i}, .deadline_ms = 1000});
  }
  EXPECT_EQ(answers_[9].outcome, call_outcome::kUnknown);
}

TEST_F(target_fixture, DuplicateAttemptRunsOnce) {
  Call(1);
  Call(1);
  EXPECT_EQ(started_.size(), 1u);
}

TEST_F(target_fixture, RefusesCallsForAnotherIncarnation) {
  call_request message = Message(1);
  message.target_incarnation = 4;
  Send(message);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kWrongIncarnation);
  EXPECT_TRUE(started_.empty());
}

TEST_F(target_fixture, KeepsAnswerForSenderThatAttaches) {
  Call(1);
  Complete(1);
  answers_.clear();
  target_->OnAttach("10.0.0.2",
                    {.id = {.origin = 9, .sequence = 1}, .deadline_ms = 1000});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kAnswer);
}

TEST_F(target_fixture, LostResponseIsUnknownAndRefusedConnectionIsNotRun) {
  Call(1);
  target_->OnUpstreamDone({.origin = 9, .sequence = 1}, {.sent = true});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kUnknown);
  Call(2);
  target_->OnUpstreamDone({.origin = 9, .sequence = 2}, {});
  EXPECT_EQ(answers_[2].outcome, call_outcome::kNotRun);
  EXPECT_FALSE(answers_[2].reached_instance);
  Call(3);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kUpstreamRefused)
      << "the instance is down until it responds to a health check";
  target_->Tick();
  EXPECT_EQ(probes_, 1);
  target_->OnUpstreamReport(
      {.reachable = true, .healthy = true, .cold_left = duration::zero()});
  Call(4);
  EXPECT_EQ(started_.back(), 4u);
}

TEST_F(target_fixture, InstanceRejectionIsNotRun) {
  Call(1);
  target_->OnUpstreamDone(
      {.origin = 9, .sequence = 1},
      {.sent = true, .complete = true, .not_run = true, .status = 503});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(answers_[1].reached_instance) << "it counts as a retry";
}

// ---------------------------------------------------------------------------
// Target: an instance that refuses connections
// ---------------------------------------------------------------------------

class refused_connection_fixture : public target_fixture {
 protected:
  // The instance refuses the connection of call 1.
  refused_connection_fixture() {
    Call(1);
    RefuseConnection(1);
  }
  void RefuseConnection(std::uint64_t sequence) {
    target_->OnUpstreamDone({.origin = 9, .sequence = sequence}, {});
  }
  void ReportHealth(bool healthy) {
    target_->OnUpstreamReport(
        {.reachable = true, .healthy = healthy, .cold_left = duration::zero()});
  }
  bool IsStarted(std::uint64_t sequence) {
    Call(sequence);
    return started_.back() == sequence;
  }
};

TEST_F(refused_connection_fixture, FailingHealthCheckDoesNotBringInstanceBack) {
  ReportHealth(false);
  EXPECT_FALSE(IsStarted(2));
  EXPECT_EQ(answers_[2].reason, refusal_reason::kUpstreamRefused);
}

TEST_F(refused_connection_fixture,
       PassingHealthCheckLetsOneCallTryTheInstance) {
  ReportHealth(true);
  EXPECT_TRUE(IsStarted(2));
  EXPECT_FALSE(IsStarted(3)) << "the first call has not ended yet";
  Complete(2);
  EXPECT_TRUE(IsStarted(4));
  EXPECT_TRUE(IsStarted(5));
}

TEST_F(refused_connection_fixture,
       PassingHealthCheckDoesNotBringBackAnInstanceThatFailsCalls) {
  int tries = 0;
  for (std::uint64_t i = 2; i < 102; ++i) {
    clock_.now += milliseconds(100);
    target_->Tick();
    ReportHealth(true);
    if (IsStarted(i)) {
      ++tries;
      target_->OnUpstreamDone({.origin = 9, .sequence = i},
                              {.sent = true, .complete = true, .status = 500});
    }
  }
  EXPECT_LE(tries, 11) << "tries in 10 s";
  EXPECT_GE(tries, 5) << "tries in 10 s";
}

TEST_F(refused_connection_fixture,
       FailingHealthCheckDoesNotKeepServingInstanceOut) {
  clock_.now += seconds(2);
  ReportHealth(false);
  EXPECT_TRUE(IsStarted(2)) << "one call tries the instance";
  Complete(2);
  EXPECT_TRUE(IsStarted(3));
  EXPECT_TRUE(IsStarted(4));
}

TEST_F(refused_connection_fixture,
       HealthCheckWithoutResponseDoesNotKeepServingInstanceOut) {
  clock_.now += seconds(2);
  target_->OnUpstreamReport({});
  EXPECT_TRUE(IsStarted(2)) << "one call tries the instance";
  Complete(2);
  EXPECT_TRUE(IsStarted(3));
  EXPECT_TRUE(IsStarted(4));
}

TEST_F(target_fixture, FailingHealthCheckDoesNotTakeServingInstanceOut) {
  target_->OnUpstreamReport({.reachable = true, .healthy = false});
  Call(1);
  target_->OnUpstreamReport({});
  Call(2);
  EXPECT_EQ(started_, (std::vector<std::uint64_t>{1, 2}));
}

// ---------------------------------------------------------------------------
// Target: checks against the view
// ---------------------------------------------------------------------------

TEST_F(target_fixture, RechecksViewBeforeStartingQueuedCall) {
  Call(1);
  Call(2);
  Call(3);
  view_->evacuated.insert("north-a");
  Complete(1);
  EXPECT_EQ(started_, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(answers_[3].reason, refusal_reason::kFailureDomainOut);
}

// Guards against calls to an evacuated instance from a new daemon.
TEST_F(target_fixture, RefusesCallsBeforeAnythingOfTheStoreIsKnown) {
  view_ = std::make_shared<snapshot>();
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kStarting);
  EXPECT_TRUE(started_.empty());
}

TEST_F(target_fixture, RefusesCallsForDrainingInstance) {
  known_instance draining = Instance("i", "10.0.0.1", "north-a");
  draining.registration.draining = true;
  SetView({draining});
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kLeaving);
}

TEST_F(target_fixture, RefusesCallsForUnregisteredInstance) {
  Call(1);
  SetView({});
  Call(2);
  EXPECT_EQ(answers_[2].reason, refusal_reason::kLeaving);
}

TEST_F(target_fixture, RefusesCallsForFormerInstanceAtReusedAddress) {
  SetView({Instance("new", "10.0.0.1", "north-a")});
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kWrongInstance);
  call_request other = Message(2);
  other.instance = "new";
  other.service = "t";
  Send(other);
  EXPECT_EQ(answers_[2].reason, refusal_reason::kNoUpstream);
  EXPECT_TRUE(started_.empty());
}

// Guards against calls that start in an evacuated failure domain. A daemon that
// was suspended by a signal during the evacuation started calls by its old
// view when it resumed (found by tests/processes_test.py).
TEST_F(target_fixture, StartsNothingAfterPauseUntilViewIsConfirmed) {
  confirmed_at_ = clock_.now;
  target_->Tick();
  clock_.now += seconds(5);
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kPaused);
  confirmed_at_ = clock_.now;
  Call(2);
  EXPECT_EQ(started_, std::vector<std::uint64_t>{2});
}

// Guards against requests that are started before an evacuation, written after.
TEST_F(target_fixture, WithholdsRequestIfFailureDomainWasEvacuated) {
  hold_writes_ = true;
  Call(1);
  view_->evacuated.insert("north-a");
  WriteHeldRequests();
  EXPECT_EQ(answers_[1].reason, refusal_reason::kFailureDomainOut);
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(written_.empty());
}

// Guards against requests that are started before a pause and written after it.
TEST_F(target_fixture, WithholdsRequestAfterPause) {
  confirmed_at_ = clock_.now;
  target_->Tick();
  hold_writes_ = true;
  call_request patient = Message(1);
  patient.deadline_ms = 10000;
  Send(patient);
  clock_.now += seconds(5);
  WriteHeldRequests();
  EXPECT_EQ(answers_[1].reason, refusal_reason::kPaused);
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(written_.empty());
}

// Stops the process for 5 s when the target reads the view.
class stopped_check_fixture : public target_fixture {
 protected:
  std::shared_ptr<const snapshot> Current() const override {
    if (stop_next_check_) {
      *stop_next_check_ += seconds(5);
      stop_next_check_ = nullptr;
    }
    return target_fixture::Current();
  }
  mutable instant* stop_next_check_ = nullptr;
};

// Guards against requests that are written after a pause during their check.
TEST_F(stopped_check_fixture, WithholdsRequestAfterPauseDuringTheCheck) {
  confirmed_at_ = clock_.now;
  target_->Tick();
  hold_writes_ = true;
  call_request patient = Message(1);
  patient.deadline_ms = 10000;
  Send(patient);
  stop_next_check_ = &clock_.now;
  WriteHeldRequests();
  EXPECT_EQ(answers_[1].reason, refusal_reason::kPaused);
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(written_.empty());
}

// Guards against an instance that counts as down since a request was withheld.
TEST_F(target_fixture, WithheldRequestDoesNotMakeInstanceDown) {
  hold_writes_ = true;
  Call(1);
  for (int i = 0; i < 60; ++i) {
    clock_.now += milliseconds(20);
    target_->Tick();
  }
  WriteHeldRequests();
  EXPECT_EQ(answers_[1].reason, refusal_reason::kDeadlinePassed);
  hold_writes_ = false;
  Call(2);
  EXPECT_EQ(written_.size(), 1u);
}

TEST_F(target_fixture, ServesAfterPauseIfStoreStaysUnavailable) {
  confirmed_at_ = clock_.now;
  target_->Tick();
  clock_.now += seconds(5);
  target_->Tick();
  for (int i = 0; i < 100; ++i) {
    clock_.now += milliseconds(20);
    target_->Tick();
  }
  Call(1);
  EXPECT_EQ(started_, std::vector<std::uint64_t>{1});
}

TEST_F(target_fixture, DrainFinishesAdmittedCalls) {
  Call(1);
  target_->BeginDrain();
  EXPECT_TRUE(target_->Load().leaving);
  Call(2);
  EXPECT_EQ(started_.size(), 2u) << "admits calls while it advertises draining";
  target_->RefuseNewCalls();
  Call(3);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kLeaving);
  Complete(1);
  Complete(2);
  EXPECT_EQ(answers_[2].outcome, call_outcome::kAnswer);
  EXPECT_TRUE(target_->idle());
}

}  // namespace
}  // namespace parsleyyard::testing
