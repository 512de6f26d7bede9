// Times of a planned stop.

#include "daemon/stop_plan.h"

#include "daemon/settings.h"

#include <gtest/gtest.h>

#include <array>

namespace parsleyyard {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The plan with the default settings.
stop_plan PlanForGrace(duration grace) {
  const daemon_settings defaults;
  return PlanStop({.grace = grace,
                   .notice = defaults.calls.drain_notice,
                   .timeout = defaults.calls.drain_timeout});
}

constexpr std::array<duration, 8> kGraceTimes = {
    milliseconds(500), seconds(1),  seconds(2),  seconds(3),
    seconds(6),        seconds(10), seconds(30), seconds(120)};

TEST(StopPlan, KeepsTheTimesOfAGraceTimeOfSixSeconds) {
  const stop_plan plan = PlanForGrace(seconds(6));
  EXPECT_EQ(plan.notice, duration(milliseconds(2300)));
  EXPECT_EQ(plan.timeout, duration(milliseconds(5500)));
  EXPECT_EQ(plan.close_timeout, duration(milliseconds(200)));
}

// Guards against a request with 4 s to its deadline that came before the
// listener closed and is cut off, though the grace time is 10 s.
TEST(StopPlan, LongGraceTimeLeavesEachRequestItsDeadline) {
  const stop_plan plan = PlanForGrace(seconds(10));
  EXPECT_GE(plan.timeout, plan.notice + seconds(4));
  EXPECT_EQ(plan.notice, duration(milliseconds(2300)));
}

// Guards against a process that is killed before it has ended its calls.
TEST(StopPlan, EndsBeforeTheKill) {
  for (const duration grace : kGraceTimes) {
    const stop_plan plan = PlanForGrace(grace);
    EXPECT_LT(plan.timeout + plan.close_timeout, grace) << grace.count();
    EXPECT_LE(plan.notice, plan.timeout) << grace.count();
  }
}

// Guards against a stop that cuts off a request before the last sixth of the
// grace time.
TEST(StopPlan, CutsOffNothingBeforeTheLastSixth) {
  for (const duration grace : kGraceTimes) {
    EXPECT_GE(PlanForGrace(grace).timeout, grace - grace / 6) << grace.count();
  }
}

TEST(StopPlan, NoticeLeavesMostOfTheGraceTimeToTheCalls) {
  for (const duration grace : kGraceTimes) {
    const stop_plan plan = PlanForGrace(grace);
    EXPECT_LE(plan.notice, grace * 2 / 5) << grace.count();
    EXPECT_GT(plan.notice, duration::zero()) << grace.count();
  }
}

TEST(StopPlan, ShorterNoticeOfTheSettingsCounts) {
  const stop_plan plan = PlanStop({.grace = seconds(10),
                                   .notice = milliseconds(300),
                                   .timeout = milliseconds(5500)});
  EXPECT_EQ(plan.notice, duration(milliseconds(300)));
}

TEST(StopPlan, FollowsTheSettingsWithoutAGraceTime) {
  const stop_plan plan =
      PlanStop({.notice = milliseconds(700), .timeout = milliseconds(1500)});
  EXPECT_EQ(plan.notice, duration(milliseconds(700)));
  EXPECT_EQ(plan.timeout, duration(milliseconds(1500)));
  EXPECT_EQ(plan.close_timeout, duration(milliseconds(200)));
  EXPECT_EQ(
      PlanStop({.notice = seconds(9), .timeout = milliseconds(1500)}).notice,
      duration(milliseconds(1500)));
}

// Guards against a request that may be cut off though it was sent 3 s after the
// stop began or later.
TEST(StopPlan, RequestsAreLateBeforeThreeSeconds) {
  for (const duration grace : kGraceTimes) {
    EXPECT_LT(PlanForGrace(grace).late_after, duration(seconds(3)))
        << grace.count();
  }
}

}  // namespace
}  // namespace parsleyyard
