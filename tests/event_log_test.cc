// Log lines when nobody reads standard output, and the limits on their number.

#include "daemon/event_log.h"
#include "net/net.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace parsleyyard {
namespace {

// A pipe whose reader may stop.
class event_log_fixture : public ::testing::Test {
 protected:
  event_log_fixture() { EXPECT_EQ(pipe(ends_.data()), 0); }
  ~event_log_fixture() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  event_log Make(std::size_t queue_bytes) {
    return event_log({.host = "h",
                      .queue_bytes = queue_bytes,
                      .good_calls = 3,
                      .descriptor = ends_[1]},
                     clock_);
  }
  // All that the pipe holds.
  std::string ReadAll() const {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> part{};
    ssize_t size = 0;
    while ((size = read(ends_[0], part.data(), part.size())) > 0) {
      all.append(part.data(), static_cast<std::size_t>(size));
    }
    return all;
  }

  monotonic_clock clock_;
  std::array<int, 2> ends_{};
};

// The pipe holds 64 KB: a write that blocked would hang this test.
TEST_F(event_log_fixture, AStoppedReaderBlocksNothingAndWhatIsLostIsSaid) {
  constexpr std::size_t kQueue = std::size_t{16} * 1024;
  event_log log = Make(kQueue);
  const std::string long_text(1000, 'x');
  for (int i = 0; i < 150; ++i) {
    log.Write(log_kind::kFailedCall, log_level::kInfo, "call", "ended",
              {{"text", long_text}});
    log.Flush();
  }
  EXPECT_GT(log.dropped(), 0u);
  ReadAll();
  log.Flush();
  log.Flush();
  EXPECT_NE(ReadAll().find("lines dropped"), std::string::npos);
}

TEST_F(event_log_fixture, GoodCallsAreASampleAndDoNotCrowdOutTheView) {
  event_log log = Make(std::size_t{256} * 1024);
  for (int i = 0; i < 50; ++i) {
    log.Write(log_kind::kGoodCall, log_level::kInfo, "call", "ended", {});
  }
  log.Write(log_kind::kView, log_level::kInfo, "view", "evacuation", {});
  log.Flush();
  const std::string all = ReadAll();
  const auto lines = std::count(all.begin(), all.end(), '\n');
  EXPECT_LE(lines, 7) << "three good calls a second, over two seconds at most";
  EXPECT_NE(all.find("evacuation"), std::string::npos);
}

}  // namespace
}  // namespace parsleyyard
