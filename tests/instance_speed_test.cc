// Speed of the instance as its responses state it: what is believed, and what
// admission and load reports make of it. No network.

#include "calls/instance_speed.h"
#include "calls/wait_queue.h"
#include "platform/platform.h"
#include "tests/call_fixtures.h"

#include <random>

namespace parsleyyard::testing {
namespace {

std::optional<instance_load> ParsedLoad(const std::string& value) {
  return platform::dialect()
      .ParseResponse({.status = 200,
                      .headers = {{.name = "instance-load", .value = value}}})
      .load;
}

instance_load Stating(double percent) {
  return {.running = 1, .slots = 2, .work_time_percent = percent};
}

// ---------------------------------------------------------------------------
// Header field
// ---------------------------------------------------------------------------

TEST(InstanceLoad, StatesCountsAndOptionallyTheSpeed) {
  const auto plain = ParsedLoad("3,1,12");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->running, 3u);
  EXPECT_EQ(plain->waiting, 1u);
  EXPECT_EQ(plain->slots, 12u);
  EXPECT_FALSE(plain->work_time_percent);
  EXPECT_EQ(ParsedLoad(" 3, 1 ,12 , 250 ")->work_time_percent, 250);
  EXPECT_EQ(ParsedLoad("3,1,12,87.5,7")->work_time_percent, 87.5);
  EXPECT_EQ(platform::dialect()
                .ParseHealthResponse({.status = 200,
                                      .headers = {{.name = "Instance-Load",
                                                   .value = "0,0,4,160"}}})
                .load->work_time_percent,
            160);
}

// Guards against a figure that is not one and still changes decisions.
TEST(InstanceLoad, IgnoresInvalidValues) {
  for (const char* value :
       {"", ",", "3", "3,1", "3,1,", "-1,1,12,100", "x,1,12,100",
        "3,1,9999999999999999999999,100", "3,1,1.5,100", "1000001,0,1,100"}) {
    EXPECT_FALSE(ParsedLoad(value)) << value;
  }
  for (const char* figure : {"", "0", "-100", "19", "1001", "1e300", "1e999",
                             "nan", "inf", "100x", "x", "0x64", "1 00"}) {
    const auto load = ParsedLoad(std::string("3,1,12,") + figure);
    ASSERT_TRUE(load) << figure;
    EXPECT_FALSE(load->work_time_percent) << figure;
  }
}

// ---------------------------------------------------------------------------
// Statements and their lifetime
// ---------------------------------------------------------------------------

TEST(InstanceSpeed, ScalesOnlyTheLifetimeOfTheStatement) {
  instance_speed speed;
  const instant now = seconds(10);
  EXPECT_EQ(speed.Scale(milliseconds(100), now), milliseconds(100));
  speed.OnResponse(Stating(250), now);
  EXPECT_EQ(speed.Scale(milliseconds(100), now), milliseconds(250));
  EXPECT_EQ(speed.Scale(milliseconds(400), now), milliseconds(760))
      << "240 ms of the work in 600 ms, and 160 ms at usual speed";
  EXPECT_EQ(speed.Factor(now + milliseconds(600)), 2.5);
  EXPECT_EQ(speed.Factor(now + milliseconds(601)), 1);
  EXPECT_EQ(speed.Scale(milliseconds(100), now + milliseconds(700)),
            milliseconds(100));
}

TEST(InstanceSpeed, ConvertsTimeAtSeveralSpeedsToTimeAtUsualSpeed) {
  instance_speed speed;
  const instant begin = seconds(10);
  EXPECT_EQ(speed.UsualTime(begin, begin + seconds(1)), seconds(1));
  for (const int at : {0, 100, 200, 300}) {
    speed.OnResponse(Stating(at < 200 ? 100 : 250), begin + milliseconds(at));
  }
  EXPECT_EQ(speed.UsualTime(begin, begin + milliseconds(300)),
            milliseconds(100 + 70 + 40));
  EXPECT_EQ(
      speed.UsualTime(begin + milliseconds(250), begin + milliseconds(300)),
      milliseconds(20));
}

// Guards against a statement that counts for the time before it without limit.
TEST(InstanceSpeed, LateStatementCountsForItsLifetimeOnly) {
  instance_speed speed;
  const instant begin = seconds(10);
  speed.OnResponse(Stating(100), begin);
  speed.OnResponse(Stating(250), begin + seconds(3));
  EXPECT_EQ(speed.UsualTime(begin, begin + seconds(3)),
            milliseconds(2400 + 420));
}

// Load: calls of 100 ms with the usual spread, for 15 s. The statement is right
// (the calls take as much longer as it says), then wrong (random, the calls
// take their usual time), then right again.
TEST(InstanceSpeed, TrustsStatementsOnlyWhileServiceTimesConfirmThem) {
  instance_speed speed;
  std::mt19937_64 random(3);
  std::lognormal_distribution<double> spread(0, 0.45);
  instant now = seconds(10);
  const auto run_calls = [&](bool right) {
    for (int i = 0; i < 50; ++i) {
      const double factor = random() % 3 == 0 ? 2.5 : 1;
      speed.OnResponse(Stating(factor * 100), now);
      const duration took(static_cast<duration::rep>(100'000 * spread(random) *
                                                     (right ? factor : 1)));
      speed.OnResponse(Stating(factor * 100), now + took);
      speed.Compare(now, now + took, milliseconds(100));
      now += took + milliseconds(1);
    }
  };
  run_calls(true);
  EXPECT_TRUE(speed.IsTrusted());
  run_calls(false);
  EXPECT_FALSE(speed.IsTrusted());
  EXPECT_EQ(speed.Factor(now), 1);
  EXPECT_EQ(speed.UsualTime(now - milliseconds(50), now), milliseconds(50));
  run_calls(true);
  EXPECT_TRUE(speed.IsTrusted());
}

TEST(InstanceSpeed, ForgetsInstanceThatNoLongerStatesIt) {
  instance_speed speed;
  speed.OnResponse(Stating(250), seconds(10));
  EXPECT_TRUE(speed.IsStated());
  for (int i = 0; i < 20; ++i) {
    speed.OnResponse(instance_load{.slots = 2}, seconds(10));
  }
  EXPECT_FALSE(speed.IsStated());
  EXPECT_EQ(speed.Factor(seconds(10)), 1);
}

// ---------------------------------------------------------------------------
// Decisions
// ---------------------------------------------------------------------------

class speed_fixture : public target_fixture {
 protected:
  void CompleteStating(std::uint64_t sequence,
                       duration run_time,
                       const std::optional<instance_load>& load) {
    clock_.now += run_time;
    target_->OnUpstreamDone(
        {.origin = 9, .sequence = sequence},
        {.sent = true, .complete = true, .status = 200, .load = load});
  }
};

// Guards against load reports and admission that lag by 20 calls behind the
// instance.
TEST_F(speed_fixture, LoadReportFollowsTheLatestStatement) {
  LearnServiceTime(milliseconds(100));
  Call(1);
  CompleteStating(1, milliseconds(100), Stating(250));
  EXPECT_NEAR(target_->Load().service_us, 250'000, 10'000);
  Call(2);
  CompleteStating(2, milliseconds(250), Stating(100));
  EXPECT_NEAR(target_->Load().service_us, 100'000, 5'000);
  EXPECT_NEAR(answers_[2].load.route_us, 100'000, 5'000)
      << "the slow phase does not count as service time";
}

TEST_F(speed_fixture, HealthCheckStatesTheSpeedToo) {
  LearnServiceTime(milliseconds(100));
  target_->OnUpstreamReport(
      {.reachable = true, .healthy = true, .load = Stating(200)});
  EXPECT_NEAR(target_->Load().service_us, 200'000, 5'000);
}

// Load: two slots, 200 ms a call, objective 500 ms; six calls arrive at once.
TEST_F(speed_fixture, AdmitsFewerCallsWhileTheInstanceIsSlow) {
  Restart({.ramp_up = false});
  LearnServiceTime(milliseconds(200));
  const auto count_admitted = [&](std::uint64_t first) {
    std::uint64_t admitted = 0;
    for (std::uint64_t i = first; i < first + 6; ++i) {
      Call(i);
      admitted += answers_.contains(i) ? 0 : 1;
    }
    return admitted;
  };
  const std::uint64_t usual = count_admitted(1);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    Complete(i, milliseconds(100));
  }
  target_->OnUpstreamReport({.reachable = true, .load = Stating(250)});
  EXPECT_EQ(count_admitted(11), 2u) << "those that start at once";
  EXPECT_GT(usual, 2u);
}

// Guards against a queue whose order stays that of the speed at which its calls
// arrived: the longer of two routes needs to start earlier when work is slow.
TEST(WaitQueue, OrdersAnewByUpdatedServiceTimes) {
  wait_queue queue;
  queue.Enqueue({.id = {.origin = 1, .sequence = 1},
                 .due_at = milliseconds(500),
                 .service_time = milliseconds(50)});
  queue.Enqueue({.id = {.origin = 1, .sequence = 2},
                 .due_at = milliseconds(700),
                 .service_time = milliseconds(200)});
  EXPECT_EQ(queue.List().front().id.sequence, 1u);
  queue.UpdateServiceTimes(
      [](const waiting_call& call) { return call.service_time * 5 / 2; });
  EXPECT_EQ(queue.List().front().id.sequence, 2u);
  EXPECT_EQ(queue.size(), 2u);
}

// Guards deployments whose instances do not state their speed: the averages of
// the service time are those of the measured times.
TEST_F(speed_fixture, NothingIsScaledWithoutTheStatement) {
  LearnServiceTime(milliseconds(100));
  const std::uint32_t before = target_->Load().service_us;
  for (std::uint64_t i = 1; i <= 40; ++i) {
    Call(i);
    CompleteStating(i, milliseconds(100), instance_load{.slots = 2});
  }
  EXPECT_EQ(target_->Load().service_us, before);
}

}  // namespace
}  // namespace parsleyyard::testing
