// Burn rates and reports of samples with known results.

#include "tools/burn.h"

#include <gtest/gtest.h>

#include <sstream>

namespace parsleyyard::tools {
namespace {

burn_sample SampleAt(int second, double good, double total) {
  burn_sample sample{.at = std::chrono::seconds(second)};
  sample.counts[{"agenda", "booking", "mvd-a"}] = {.good = good,
                                                   .total = total};
  return sample;
}

const burn_options kOptions{.objectives = {{"agenda", 0.99}},
                            .short_window = std::chrono::seconds(1),
                            .long_window = std::chrono::seconds(10)};

TEST(Burn, RateIsTheShareOfBadCallsOverTheBudget) {
  const auto rows =
      ComputeBurn({SampleAt(0, 0, 0), SampleAt(1, 95, 100)}, kOptions);
  ASSERT_EQ(rows.size(), 1u);
  EXPECT_NEAR(rows[0].long_rate, 5, 1e-9);
  EXPECT_FALSE(rows[0].alert);
}

TEST(Burn, AlertRequiresBothWindows) {
  EXPECT_TRUE(ComputeBurn({SampleAt(0, 0, 0), SampleAt(1, 50, 100),
                           SampleAt(2, 100, 200)},
                          kOptions)[0]
                  .alert);
  EXPECT_FALSE(ComputeBurn({SampleAt(0, 0, 0), SampleAt(1, 50, 100),
                            SampleAt(2, 150, 200)},
                           kOptions)[0]
                   .alert);
}

TEST(Burn, CounterResetDoesNotReduceTotals) {
  const auto rows = ComputeBurn(
      {SampleAt(0, 1000, 1000), SampleAt(1, 10, 10), SampleAt(2, 20, 20)},
      kOptions);
  EXPECT_EQ(rows[0].bad, 0);
  EXPECT_EQ(rows[0].total, 10);
}

TEST(Burn, ReadsMetricsPageAndReportsUnreachableDaemons) {
  burn_sample sample;
  AddMetricsPage(
      "parsleyyard_calls_total{service=\"agenda\",priority=\"booking\",outcome="
      "\"answer\",reason=\"none\"} 7\n"
      "parsleyyard_calls_total{service=\"agenda\",priority=\"booking\",outcome="
      "\"not_run\",reason=\"overloaded\"} 2\n"
      "parsleyyard_calls_total{service=\"\",priority=\"browse\",outcome=\"not_"
      "run\",reason=\"no_route\"} 5\n"
      "parsleyyard_info{address=\"h\",failure_domain=\"mvd-a\",region=\"r\"} "
      "1\n",
      sample);
  ASSERT_EQ(sample.counts.size(), 1u);
  EXPECT_EQ((sample.counts.at({"agenda", "booking", "mvd-a"}).total), 9);
  sample.unreachable.push_back("127.1.1.9");
  std::stringstream saved;
  WriteSamples({sample}, saved);
  const auto read = ReadSamples(saved);
  ASSERT_EQ(read.size(), 1u);
  EXPECT_NE(TextReport(ComputeBurn(read, kOptions), read).find("127.1.1.9"),
            std::string::npos);
  EXPECT_NE(HtmlReport(ComputeBurn(read, kOptions), read).find("127.1.1.9"),
            std::string::npos);
}

}  // namespace
}  // namespace parsleyyard::tools
