// Unit tests of the plan and the call target: fences, admission, order of the
// queue. tests/cold_test.cc has those of a cold instance.

#include "calls/wait_queue.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// ---------------------------------------------------------------------------
// Plan
// ---------------------------------------------------------------------------

std::shared_ptr<const configuration> RouteConfiguration() {
  return configuration::Create(
             {.version = 1,
              .routes = {{.name = "short",
                          .virtual_host = "Shop.example",
                          .prefix = "/a/",
                          .targets = {{.service = "s"}}},
                         {.name = "long",
                          .virtual_host = "shop.example",
                          .prefix = "/a/b/",
                          .targets = {{.service = "s", .weight = 9},
                                      {.service = "t", .weight = 1}},
                          .idempotent = true,
                          .timeout = milliseconds(800)}},
              .services = {{.name = "s"}, {.name = "t"}}})
      .value();
}

TEST(Plan, FindsLongestPrefixOfHost) {
  const auto config = RouteConfiguration();
  EXPECT_EQ(config->FindRoute("shop.example", "/a/b/c")->name, "long");
  EXPECT_EQ(config->FindRoute("shop.example:8080", "/a/bc")->name, "short");
  EXPECT_EQ(config->FindRoute("SHOP.example", "/a/")->name, "short");
  EXPECT_EQ(config->FindRoute("shop.example", "/a"), nullptr);
  EXPECT_EQ(config->FindRoute("other.example", "/a/b/"), nullptr);
}

TEST(Plan, DeadlineIsShorterOfCallerAndRoute) {
  seeded_random random;
  route_splitter splitter(random);
  snapshot view;
  view.config = RouteConfiguration();
  const auto plan = [&](duration deadline) {
    return DecideHead(view, duration::zero(),
                      {.virtual_host = "shop.example",
                       .path = "/a/b/",
                       .deadline = deadline},
                      splitter)
        .plan;
  };
  EXPECT_EQ(plan(milliseconds(300)).deadline, duration(milliseconds(300)));
  EXPECT_EQ(plan(seconds(5)).deadline, duration(milliseconds(800)));
  EXPECT_EQ(plan(duration::zero()).deadline, duration(milliseconds(800)));
  EXPECT_FALSE(plan(seconds(5)).never_repeat);
}

TEST(Plan, RefusesAsStartingWithoutConfiguration) {
  seeded_random random;
  route_splitter splitter(random);
  EXPECT_EQ(DecideHead({}, {}, {}, splitter).refusal,
            refusal_reason::kStarting);
}

// Guards against a 404 for a route that an old view does not have yet.
TEST(Plan, RouteMissingFromOldViewIsNotRefusedForGood) {
  seeded_random random;
  route_splitter splitter(random);
  snapshot view;
  view.config = RouteConfiguration();
  const auto refusal = [&](const std::string& path, duration age) {
    return DecideHead(view, age, {.virtual_host = "shop.example", .path = path},
                      splitter)
        .refusal;
  };
  EXPECT_EQ(refusal("/new/", milliseconds(1500)), refusal_reason::kNoRoute);
  EXPECT_EQ(refusal("/new/", milliseconds(1501)), refusal_reason::kStaleView);
  EXPECT_EQ(refusal("/a/", seconds(60)), refusal_reason::kNone);
}

// Guards against a 413 for a body that the configuration in force allows.
TEST(Plan, OnlyConfiguredLimitOfConfirmedViewRefusesForGood) {
  snapshot view;
  const auto check = [&](std::size_t applied, duration age) {
    return CheckLimit(
        view, age,
        {.configured = &caller_limits::max_body_bytes, .applied = applied});
  };
  EXPECT_EQ(check(1 << 20, {}), refusal_reason::kStarting);
  view.config = RouteConfiguration();
  EXPECT_EQ(check(1 << 20, {}), refusal_reason::kNone);
  EXPECT_EQ(check((1 << 20) - 1, {}), refusal_reason::kOverBound);
  EXPECT_EQ(check(1 << 20, seconds(2)), refusal_reason::kStaleView);
}

TEST(Plan, SplitsRequestsByWeight) {
  seeded_random random;
  route_splitter splitter(random);
  const auto config = RouteConfiguration();
  std::map<std::string, int> picked;
  for (int i = 0; i < 300; ++i) {
    ++picked[splitter.PickService(config->routes()[1])];
  }
  EXPECT_NEAR(picked["t"], 30, 1);
}

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

// ---------------------------------------------------------------------------
// Target: admission and order
// ---------------------------------------------------------------------------

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
