// Decisions beside the instance: plan, fences, admission, order, cold pace.

#include "calls/cold_pacer.h"
#include "calls/wait_queue.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// ---------------------------------------------------------------------------
// Plan
// ---------------------------------------------------------------------------

std::shared_ptr<const configuration> Routes() {
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

TEST(Plan, TheLongestPrefixOfTheHostWins) {
  const auto config = Routes();
  EXPECT_EQ(config->FindRoute("shop.example", "/a/b/c")->name, "long");
  EXPECT_EQ(config->FindRoute("shop.example:8080", "/a/bc")->name, "short");
  EXPECT_EQ(config->FindRoute("SHOP.example", "/a/")->name, "short");
  EXPECT_EQ(config->FindRoute("shop.example", "/a"), nullptr);
  EXPECT_EQ(config->FindRoute("other.example", "/a/b/"), nullptr);
}

TEST(Plan, TheDeadlineIsTheShorterOfCallerAndRoute) {
  fixed_random random;
  route_splitter splitter(random);
  snapshot view;
  view.config = Routes();
  const auto plan = [&](duration deadline) {
    return DecideHead(view,
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

TEST(Plan, WithoutAConfigurationNothingIsSaidOfRoutes) {
  fixed_random random;
  route_splitter splitter(random);
  EXPECT_EQ(DecideHead({}, {}, splitter).refusal, refusal_reason::kStarting);
}

TEST(Plan, ASplitKeepsItsWeights) {
  fixed_random random;
  route_splitter splitter(random);
  const auto config = Routes();
  std::map<std::string, int> picked;
  for (int i = 0; i < 300; ++i) {
    ++picked[splitter.PickService(config->routes()[1])];
  }
  EXPECT_NEAR(picked["t"], 30, 1);
}

// ---------------------------------------------------------------------------
// Target: at most once
// ---------------------------------------------------------------------------

TEST_F(target_fixture, FencedIdNeverRuns) {
  target_->OnAttach("10.0.0.2",
                    {.id = {.origin = 9, .sequence = 1}, .deadline_ms = 1000});
  EXPECT_EQ(answers_[1].reason, refusal_reason::kFenced);
  Call(1);
  EXPECT_TRUE(started_.empty());
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
}

TEST_F(target_fixture, FullTableDoesNotClaimAFence) {
  Restart({.max_tracked_attempts = 8});
  for (std::uint64_t i = 1; i <= 9; ++i) {
    target_->OnAttach(
        "10.0.0.2", {.id = {.origin = 9, .sequence = i}, .deadline_ms = 1000});
  }
  EXPECT_EQ(answers_[9].outcome, call_outcome::kUnknown);
}

TEST_F(target_fixture, SameIdTwiceRunsOnce) {
  Call(1);
  Call(1);
  EXPECT_EQ(started_.size(), 1u);
}

TEST_F(target_fixture, CallForAnotherIncarnationIsRefused) {
  call_request message = Message(1);
  message.target_incarnation = 4;
  Send(message);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kWrongIncarnation);
  EXPECT_TRUE(started_.empty());
}

TEST_F(target_fixture, AnAnswerIsKeptForASenderThatLostItsLink) {
  Call(1);
  Done(1);
  answers_.clear();
  target_->OnAttach("10.0.0.2",
                    {.id = {.origin = 9, .sequence = 1}, .deadline_ms = 1000});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kAnswer);
}

TEST_F(target_fixture, LostAnswerIsUnknownAndARefusedConnectionIsNotRun) {
  Call(1);
  target_->OnUpstreamDone({.origin = 9, .sequence = 1}, {.sent = true});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kUnknown);
  Call(2);
  target_->OnUpstreamDone({.origin = 9, .sequence = 2}, {});
  EXPECT_EQ(answers_[2].outcome, call_outcome::kNotRun);
  EXPECT_FALSE(answers_[2].reached_instance);
  Call(3);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kUpstreamRefused)
      << "down until it answers a health check";
  target_->Tick();
  EXPECT_EQ(probes_, 1);
  target_->OnUpstreamReport({.reachable = true, .healthy = true});
  Call(4);
  EXPECT_EQ(started_.back(), 4u);
}

TEST_F(target_fixture, AnInstanceThatSaysNotRunIsBelieved) {
  Call(1);
  target_->OnUpstreamDone(
      {.origin = 9, .sequence = 1},
      {.sent = true, .complete = true, .not_run = true, .status = 503});
  EXPECT_EQ(answers_[1].outcome, call_outcome::kNotRun);
  EXPECT_TRUE(answers_[1].reached_instance) << "it counts as a repeat";
}

// ---------------------------------------------------------------------------
// Target: what the view forbids
// ---------------------------------------------------------------------------

TEST_F(target_fixture, QueuedCallIsCheckedAgainBeforeItRuns) {
  Call(1);
  Call(2);
  Call(3);
  view_->evacuated.insert("north-a");
  Done(1);
  EXPECT_EQ(started_, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(answers_[3].reason, refusal_reason::kFailureDomainOut);
}

TEST_F(target_fixture, ADrainingInstanceGetsNothingNew) {
  known_instance leaving = Instance("i", "10.0.0.1", "north-a");
  leaving.registration.draining = true;
  SetView({leaving});
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kLeaving);
}

TEST_F(target_fixture, AnInstanceThatIsGoneGetsNothingNew) {
  Call(1);
  SetView({});
  Call(2);
  EXPECT_EQ(answers_[2].reason, refusal_reason::kLeaving);
}

TEST_F(target_fixture, AnAddressThatIsUsedAgainRunsNoCallForItsFormerInstance) {
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

// Found by tests/processes_test.py: a daemon that was stopped by a signal
// started calls in a domain that had been evacuated meanwhile.
TEST_F(target_fixture, AfterAPauseNothingStartsBeforeTheViewIsConfirmed) {
  confirmed_at_ = clock_.now;
  target_->Tick();
  clock_.now += seconds(5);
  Call(1);
  EXPECT_EQ(answers_[1].reason, refusal_reason::kPaused);
  confirmed_at_ = clock_.now;
  Call(2);
  EXPECT_EQ(started_, std::vector<std::uint64_t>{2});
}

TEST_F(target_fixture, AfterAPauseWithoutAStoreItServesOn) {
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

TEST_F(target_fixture, DrainFinishesWhatRuns) {
  Call(1);
  target_->BeginDrain();
  EXPECT_TRUE(target_->Load().leaving);
  Call(2);
  EXPECT_EQ(started_.size(), 2u) << "callers still come while they are told";
  target_->RefuseNewCalls();
  Call(3);
  EXPECT_EQ(answers_[3].reason, refusal_reason::kLeaving);
  Done(1);
  Done(2);
  EXPECT_EQ(answers_[2].outcome, call_outcome::kAnswer);
  EXPECT_TRUE(target_->idle());
}

// ---------------------------------------------------------------------------
// Target: admission and order
// ---------------------------------------------------------------------------

TEST_F(target_fixture, DeadlineThatPassedInTheQueueIsNotRun) {
  Call(1);
  Call(2);
  Call(3);
  clock_.now += seconds(2);
  Done(1);
  EXPECT_EQ(answers_[3].outcome, call_outcome::kNotRun);
  EXPECT_EQ(started_.size(), 2u);
}

// Load: twice what the instance can run, for four seconds, with times that
// spread. What is admitted must be answered in time, and the slots must not run
// empty.
TEST_F(target_fixture, UnderOverloadWhatIsAdmittedIsAnsweredInTime) {
  Learn(milliseconds(200));
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> spread(5.2, 0.45);  // mean 200 ms
  std::multimap<instant, std::uint64_t> ends;
  std::map<std::uint64_t, instant> arrived;
  std::size_t placed = 0;
  std::size_t good = 0;
  std::size_t late = 0;
  const instant begin = clock_.now;
  for (std::uint64_t i = 1; i <= 80; ++i) {
    const instant arrival = begin + milliseconds(50) * i;
    while (!ends.empty() && ends.begin()->first <= arrival) {
      const auto [end, sequence] = *ends.begin();
      ends.erase(ends.begin());
      clock_.now = end;
      Done(sequence, duration::zero());
      (end - arrived[sequence] <= milliseconds(500) ? good : late) += 1;
      for (; placed < started_.size(); ++placed) {
        ends.emplace(end + milliseconds(static_cast<int>(spread(random))),
                     started_[placed]);
      }
    }
    clock_.now = arrival;
    arrived[i] = arrival;
    Call(i);
    for (; placed < started_.size(); ++placed) {
      ends.emplace(arrival + milliseconds(static_cast<int>(spread(random))),
                   started_[placed]);
    }
  }
  EXPECT_GE(good + late, 34u) << "the slots are kept busy";
  EXPECT_LE(late * 10, good) << late << " late of " << good + late;
}

// Load: more than the instance can answer within the objective.
TEST_F(target_fixture, ACallThatWouldBeLateIsRefusedAtOnce) {
  Learn(milliseconds(200));
  std::uint64_t admitted = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Call(i);
    admitted += answers_.contains(i) ? 0 : 1;
  }
  // Two run, and one round of 200 ms may be waited for within 500 ms.
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
  EXPECT_EQ(answers_[4].reason, refusal_reason::kOverloaded) << "the newest";
  Done(1);
  EXPECT_EQ(started_.back(), 6u);
}

TEST_F(target_fixture, ShortCallsOfInstancesGoBeforeNewWork) {
  Learn(milliseconds(100));
  Call(1);
  Call(2);
  Call(3);
  call_request nested = Message(4);
  nested.objective_ms = 250;
  nested.deadline_ms = 500;
  Send(nested);
  Done(1, milliseconds(1));
  EXPECT_EQ(started_.back(), 4u);
}

TEST_F(target_fixture, CancelStopsWhatHasNotStarted) {
  Call(1);
  Call(2);
  Call(3);
  target_->OnCancel({.id = {.origin = 9, .sequence = 3}});
  Done(1);
  EXPECT_EQ(started_.size(), 2u);
}

TEST_F(target_fixture, CancelBreaksOffOnlyWhatMayBeRepeated) {
  call_request repeatable = Message(1);
  Send(repeatable);
  call_request once = Message(2);
  once.never_repeat = true;
  Send(once);
  target_->OnCancel({.id = {.origin = 9, .sequence = 1}});
  target_->OnCancel({.id = {.origin = 9, .sequence = 2}});
  EXPECT_EQ(cancelled_, (std::vector<std::uint64_t>{1}));
}

TEST_F(target_fixture, TheInstanceIsToldWhatIsLeftOfTheDeadline) {
  Call(1);
  Call(2);
  Call(3);
  Done(1, milliseconds(300));
  EXPECT_EQ(time_left_[3], duration(milliseconds(700)));
}

// Load: a cold instance bears ten requests in any second.
TEST_F(target_fixture, AColdInstanceGetsNoMoreThanItBearsInAnySecond) {
  const std::vector<instant> sent = SendWhileCold();
  for (std::size_t i = 10; i < sent.size(); ++i) {
    EXPECT_GT(sent[i] - sent[i - 10], duration(milliseconds(999)));
  }
  EXPECT_GE(sent.size(), 20u) << "it gets what it bears";
}

// Load: every instance is cold after a loss of power, and 50 calls a second are
// offered to one that may get 10 * 1.5 + 5 = 20 in any second.
TEST_F(target_fixture, AColdInstanceGetsWhatTheBoundAllows) {
  Restart({.cold = {.factor = 1.5, .slack = 5}});
  const std::vector<instant> sent = SendWhileCold();
  for (std::size_t i = 20; i < sent.size(); ++i) {
    EXPECT_GT(sent[i] - sent[i - 20], duration(milliseconds(999)));
  }
  EXPECT_GE(sent.size(), 33u) << "above the plain rate, which makes 30";
}

// Found in hunts: of 26 and 29 allowed in one second 28 and 33 arrived,
// although the pacer had kept to the bound: what was sent late met what was
// sent in time. Requests may be late by four tenths of a second.
TEST_F(target_fixture, AColdInstanceIsNotOverrunBySendsThatAreLate) {
  Restart({.cold = {.factor = 1.5, .slack = 5}});
  const std::vector<instant> sent = SendWhileCold();
  for (std::size_t i = 20; i < sent.size(); ++i) {
    EXPECT_GT(sent[i] - sent[i - 20], duration(milliseconds(1300)));
  }
}

TEST_F(target_fixture, AfterAnEvacuationTheInstanceIsTakenForCold) {
  known_instance wide = Instance("i", "10.0.0.1", "north-a", 50);
  SetView({wide});
  clock_.now += seconds(5);
  view_->evacuated.insert("north-a");
  target_->Tick();
  SetView({wide});
  target_->Tick();
  for (std::uint64_t i = 1; i <= 30; ++i) {
    Call(i);
  }
  EXPECT_LE(started_.size(), 10u);
  EXPECT_EQ(probes_, 1);
  target_->OnUpstreamReport({.reachable = true, .healthy = true});
  const std::size_t before = started_.size();
  for (std::uint64_t i = 31; i <= 60; ++i) {
    Call(i);
  }
  EXPECT_EQ(started_.size(), before + 30) << "it says that it is warm";
}

TEST(ColdPacer, AFreshProcessTakesItsPredecessorForASecondsWorth) {
  cold_pacer pacer(seconds(100));
  EXPECT_FALSE(pacer.Allows(10, seconds(100) + milliseconds(900)));
  EXPECT_TRUE(pacer.Allows(10, seconds(101) + milliseconds(50)));
}

}  // namespace
}  // namespace parsleyyard::testing
