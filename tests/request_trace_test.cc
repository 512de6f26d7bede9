// Traces of one request from the log lines of several daemons.

#include "tools/request_trace.h"

#include <gtest/gtest.h>

#include <sstream>

namespace parsleyyard::tools {
namespace {

std::string LogLine(const std::string& time,
                    const std::string& event,
                    const std::string& more) {
  return R"({"time":"2026-12-04T10:00:)" + time +
         R"(Z","host":"h","level":"info","part":"call","event":")" + event +
         R"(","request":"a1",)" + more + "}\n";
}

std::string TraceFromLogs(const std::vector<std::string>& logs) {
  request_trace trace("a1");
  int log_number = 0;
  for (const std::string& log : logs) {
    std::istringstream in(log);
    trace.Read(in, "log" + std::to_string(++log_number), [](std::uint64_t) {});
  }
  return trace.Text();
}

TEST(RequestTrace, OrdersStepsOfAllDaemonsByTimeAndDescribesReason) {
  const std::string text = TraceFromLogs(
      {LogLine("02.000", "ended",
               R"("outcome":"not_run","reason":"overloaded","instance":"i-1")"),
       LogLine("01.000", "refused", R"("reason":"overloaded","waiting":7)")});
  EXPECT_LT(text.find("refused  "), text.find("ended  "));
  EXPECT_NE(text.find("waiting=7"), std::string::npos);
  EXPECT_NE(text.find("It has not run: the instances that were asked could not "
                      "have answered in time (tried last: i-1)."),
            std::string::npos);
}

TEST(RequestTrace, AttributesServerErrorToInstance) {
  const std::string text = TraceFromLogs({LogLine(
      "02.000", "ended",
      R"("outcome":"answer","reason":"none","instance":"i-1","status":500)")});
  EXPECT_NE(text.find("The instance itself failed: i-1 gave status 500."),
            std::string::npos);
}

TEST(RequestTrace, RefusalAtHeadShowsConfigurationVersion) {
  const std::string text = TraceFromLogs({LogLine(
      "02.000", "refused at head", R"("reason":"no_route","version":12)")});
  EXPECT_NE(text.find("(version 12)"), std::string::npos);
}

TEST(RequestTrace, CountsAndLocatesUnreadableLines) {
  const std::string text =
      TraceFromLogs({"noise\n" + LogLine("01.000", "sent", R"("tries":1)") +
                     R"({"time":"cut)" + "\n"});
  EXPECT_NE(text.find("2 lines could not be read: log1:1 log1:3"),
            std::string::npos);
  EXPECT_NE(text.find("No line says how it ended"), std::string::npos);
}

TEST(RequestTrace, IgnoresLinesOfOtherRequests) {
  EXPECT_EQ(TraceFromLogs({R"({"request":"b2","event":"ended"})"
                           "\n"}),
            "No line names request a1.\n");
}

}  // namespace
}  // namespace parsleyyard::tools
