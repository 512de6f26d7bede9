// Prometheus text of call counters and latencies.

#include "daemon/metrics.h"

#include <gtest/gtest.h>

namespace parsleyyard {
namespace {

call_record AnsweredCall(duration took) {
  return {.service = "agenda",
          .priority = 1,
          .outcome = call_outcome::kAnswer,
          .took = took};
}

TEST(Metrics, LatencyBucketsAreCumulativeByServiceAndPriority) {
  metrics call_metrics;
  call_metrics.OnCall(AnsweredCall(std::chrono::milliseconds(1)));
  call_metrics.OnCall(AnsweredCall(std::chrono::milliseconds(150)));
  call_metrics.OnCall(AnsweredCall(std::chrono::seconds(20)));
  const std::string page = call_metrics.RenderPrometheusText();
  const std::string bucket =
      R"(parsleyyard_call_seconds_bucket{service="agenda",priority="1",le=)";
  EXPECT_NE(page.find(bucket + "\"0.005\"} 1\n"), std::string::npos) << page;
  EXPECT_NE(page.find(bucket + "\"0.1\"} 1\n"), std::string::npos);
  EXPECT_NE(page.find(bucket + "\"0.2\"} 2\n"), std::string::npos);
  EXPECT_NE(page.find(bucket + "\"5\"} 2\n"), std::string::npos);
  EXPECT_NE(page.find(bucket + "\"+Inf\"} 3\n"), std::string::npos);
}

TEST(Metrics, FailedCallsAreCountedByReasonWithoutLatency) {
  metrics call_metrics;
  call_metrics.OnCall({.service = "agenda",
                       .outcome = call_outcome::kNotRun,
                       .reason = refusal_reason::kCold});
  const std::string page = call_metrics.RenderPrometheusText();
  EXPECT_NE(page.find(R"(outcome="not_run",reason="cold"} 1)"),
            std::string::npos);
  EXPECT_EQ(page.find("_bucket{"), std::string::npos);
}

// An operator tells calls that no instance had room for from calls that targets
// refused.
TEST(Metrics, CallsWithoutCapacityAreThoseThatWereNotSent) {
  metrics call_metrics;
  call_record record{.service = "agenda",
                     .priority = 1,
                     .outcome = call_outcome::kNotRun,
                     .reason = refusal_reason::kOverloaded};
  call_metrics.OnCall(record);
  record.attempts = 2;
  call_metrics.OnCall(record);
  const std::string labels = R"({service="agenda",priority="1"} 1)";
  EXPECT_NE(call_metrics.RenderPrometheusText().find(
                "parsleyyard_calls_without_capacity_total" + labels),
            std::string::npos);
}

}  // namespace
}  // namespace parsleyyard
