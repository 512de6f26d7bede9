// Tests of the decision which daemons get a load report pushed.

#include "calls/load_push.h"
#include "calls/wait_queue.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

class load_push_fixture : public ::testing::Test {
 protected:
  static load_report Free() {
    return {
        .running = 1, .limit = 4, .service_us = 100'000, .speed_percent = 100};
  }
  static load_report Full() {
    load_report load = Free();
    load.running = 4;
    return load;
  }
  static load_report WithQueue(std::uint32_t calls) {
    load_report load = Full();
    load.waiting = calls;
    load.waiting_by_priority = {{.priority = 1, .calls = calls}};
    return load;
  }
  // Makes the daemon one that calls and knows that load.
  void Introduce(const host_address& daemon, const load_report& knows) {
    for (int i = 0; i < 10; ++i) {
      push_.OnCall(daemon, now_);
    }
    push_.OnAnswer(daemon, knows, now_);
  }
  std::size_t PushesAfter(duration time, const load_report& load) {
    now_ += time;
    return push_.TakeReceivers(load, now_).size();
  }

  instant now_ = instant(seconds(100));
  load_push push_{load_push_options()};
};

TEST_F(load_push_fixture, TellsWhenSlotsBecomeFreeOrFull) {
  Introduce("10.0.0.2", Free());
  EXPECT_EQ(PushesAfter(milliseconds(100), Free()), 0U);
  EXPECT_EQ(PushesAfter(milliseconds(100), Full()), 1U);
  EXPECT_EQ(PushesAfter(milliseconds(100), Full()), 0U);
  EXPECT_EQ(PushesAfter(milliseconds(100), Free()), 1U);
  EXPECT_EQ(push_.CountPushes(), 2U);
}

// Guards against bytes between zones for loads that go to and fro.
TEST_F(load_push_fixture, TellsADaemonAtMostEvery100Ms) {
  Introduce("10.0.0.2", Free());
  EXPECT_EQ(PushesAfter(milliseconds(100), Full()), 1U);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(PushesAfter(milliseconds(20), i % 2 == 0 ? Free() : Full()), 0U);
  }
  EXPECT_EQ(PushesAfter(milliseconds(20), Full()), 0U) << "known to be full";
}

TEST_F(load_push_fixture, TellsOfAServiceTimeThatChangesByAFifth) {
  Introduce("10.0.0.2", Free());
  load_report slower = Free();
  slower.service_us = 119'000;
  EXPECT_EQ(PushesAfter(milliseconds(100), slower), 0U);
  slower.service_us = 120'000;
  EXPECT_EQ(PushesAfter(milliseconds(100), slower), 1U);
  slower.speed_percent = 250;
  EXPECT_EQ(PushesAfter(milliseconds(100), slower), 1U);
}

// Guards against senders that refuse urgent calls for a queue of others.
TEST_F(load_push_fixture, TellsOfQueuesAsEachPrioritySeesThem) {
  Introduce("10.0.0.2", WithQueue(4));
  load_report mixed = WithQueue(4);
  mixed.waiting_by_priority = {{.priority = 0, .calls = 3},
                               {.priority = 1, .calls = 1}};
  EXPECT_EQ(PushesAfter(milliseconds(100), mixed), 1U);
  EXPECT_EQ(PushesAfter(milliseconds(100), WithQueue(8)), 1U);
}

// Guards against senders that take a busy instance for idle when its last
// report is old.
TEST_F(load_push_fixture, RepeatsTheLoadOfABusyInstanceOnly) {
  Introduce("10.0.0.2", Full());
  EXPECT_EQ(PushesAfter(milliseconds(900), Full()), 0U);
  EXPECT_EQ(PushesAfter(milliseconds(100), Full()), 1U);
  EXPECT_EQ(PushesAfter(milliseconds(100), Free()), 1U);
  EXPECT_EQ(PushesAfter(seconds(5), Free()), 0U);
}

TEST_F(load_push_fixture, AnswersCountAsReports) {
  Introduce("10.0.0.2", Free());
  now_ += milliseconds(200);
  push_.OnAnswer("10.0.0.2", Full(), now_);
  EXPECT_EQ(PushesAfter(milliseconds(100), Full()), 0U);
}

TEST_F(load_push_fixture, OnlyDaemonsThatCalledLatelyAreTold) {
  Introduce("10.0.0.2", Free());
  push_.OnAnswer("10.0.0.3", Free(), now_);  // has never called
  EXPECT_EQ(PushesAfter(seconds(11), Full()), 0U);
}

// Other deployments get no message that they did not get before. A daemon that
// stops tells it in its answers.
TEST_F(load_push_fixture, NoPushWithoutStatedSpeedOrWhileLeaving) {
  Introduce("10.0.0.2", Free());
  load_report load = Full();
  load.speed_percent = 0;
  EXPECT_EQ(PushesAfter(milliseconds(100), load), 0U);
  load = Full();
  load.leaving = true;
  EXPECT_EQ(PushesAfter(milliseconds(100), load), 0U);
}

// Load: a large fleet. Many daemons call an instance, each rarely; those that
// called last come first.
TEST_F(load_push_fixture, PushesAreInProportionToCalls) {
  constexpr int kDaemons = 1000;
  const double calls = 2 * kDaemons;
  for (int i = 0; i < calls; ++i) {
    push_.OnCall("10.0.0." + std::to_string(i % kDaemons), now_);
    if (i % 20 == 0) {
      PushesAfter(milliseconds(100), i % 40 == 0 ? Full() : Free());
    }
  }
  const load_push_options options;
  EXPECT_LE(push_.CountPushes(),
            calls * options.max_per_call + options.max_burst);
  EXPECT_GE(push_.CountPushes(), calls * options.max_per_call / 2);
  const auto told = push_.TakeReceivers(Full(), now_ + milliseconds(100));
  ASSERT_FALSE(told.empty());
  EXPECT_GE(told.front(), "10.0.0.980") << "one of the last 20 callers";
}

// Guards against answers that can't be encoded: the list of priorities in a
// load report has a greatest length.
TEST(WaitQueue, CountByPriorityFitsALoadReport) {
  constexpr std::uint32_t kPriorities = 40;
  wait_queue queue;
  for (std::uint32_t i = 0; i < kPriorities; ++i) {
    queue.Enqueue({.id = {.origin = 1, .sequence = i}, .priority = i});
  }
  const std::vector<waiting_group> groups = queue.CountByPriority();
  EXPECT_EQ(groups.size(), 16U);
  std::uint32_t calls = 0;
  for (const waiting_group& group : groups) {
    calls += group.calls;
  }
  EXPECT_EQ(calls, kPriorities);
  EXPECT_EQ(groups.front().priority, 0U);
}

}  // namespace
}  // namespace parsleyyard::testing
