// Event log: behaviour with a full output pipe, and rate limits.

#include "daemon/event_log.h"
#include "net/net.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace parsleyyard {
namespace {

// A log that writes to a pipe. Only ReadAll() reads from the pipe.
class event_log_fixture : public ::testing::Test {
 protected:
  event_log_fixture() { EXPECT_EQ(pipe(pipe_ends_.data()), 0); }
  ~event_log_fixture() override {
    close(pipe_ends_[0]);
    close(pipe_ends_[1]);
  }

  event_log CreateLog(std::size_t queue_bytes) {
    return event_log({.host = "h",
                      .queue_bytes = queue_bytes,
                      .good_calls_per_second = 3,
                      .descriptor = pipe_ends_[1]},
                     clock_);
  }
  // Returns the current content of the pipe.
  std::string ReadAll() const {
    fcntl(pipe_ends_[0], F_SETFL, O_NONBLOCK);
    std::string output;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(pipe_ends_[0], buffer.data(), buffer.size())) > 0) {
      output.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return output;
  }

  monotonic_clock clock_;
  std::array<int, 2> pipe_ends_{};
};

// The log writes 150 KB and the pipe holds 64 KB, so a blocking write would
// hang this test.
TEST_F(event_log_fixture, FlushDoesNotBlockAndDroppedLinesAreReported) {
  constexpr std::size_t kQueueBytes = std::size_t{16} * 1024;
  event_log log = CreateLog(kQueueBytes);
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

TEST_F(event_log_fixture, RateLimitOfGoodCallsDoesNotAffectViewLines) {
  event_log log = CreateLog(std::size_t{256} * 1024);
  for (int i = 0; i < 50; ++i) {
    log.Write(log_kind::kGoodCall, log_level::kInfo, "call", "ended", {});
  }
  log.Write(log_kind::kView, log_level::kInfo, "view", "evacuation", {});
  log.Flush();
  const std::string output = ReadAll();
  const auto lines = std::count(output.begin(), output.end(), '\n');
  EXPECT_LE(lines, 7)
      << "1 view line and 3 good calls a second, over 2 seconds at most";
  EXPECT_NE(output.find("evacuation"), std::string::npos);
}

}  // namespace
}  // namespace parsleyyard
