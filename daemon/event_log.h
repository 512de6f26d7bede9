// Structured log lines on standard output. Internal to daemon/.
//
// One JSON object a line. Lines wait in a bounded queue until Flush() writes
// them. Flush() never blocks: lines that standard output does not accept stay
// in the queue. Lines that do not fit into the queue or exceed the rate limit
// of their kind are dropped. A "lines dropped" line reports the number of
// dropped lines, without the good calls over their rate limit.

#ifndef PARSLEYYARD_DAEMON_EVENT_LOG_H_
#define PARSLEYYARD_DAEMON_EVENT_LOG_H_

#include "model/model.h"

#include <boost/json.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace parsleyyard {

enum class log_level : std::uint8_t { kInfo, kWarning, kError };
inline constexpr std::array<std::string_view, 3> kLogLevelNames = {
    "info", "warning", "error"};

// Subject of a line. Each kind has its own rate limit, so that lines about
// calls can't crowd out lines about the view.
enum class log_kind : std::uint8_t {
  kProcess,
  kView,
  kFailedCall,
  kColdInstance,
  kGoodCall
};
inline constexpr std::array<std::string_view, 5> kLogKindNames = {
    "process", "view", "failed_call", "cold_instance", "good_call"};

struct event_log_options {
  std::string host;                        // value of "host" in each line
  log_level min_level = log_level::kInfo;  // lines below it are discarded
  std::size_t queue_bytes = std::size_t{256} * 1024;  // limit on queued lines
  std::uint32_t good_calls_per_second = 2;  // limit on log_kind::kGoodCall
  int descriptor = 1;  // file descriptor to write to; 1: standard output
};

// Thread-safe.
class event_log {
 public:
  event_log(event_log_options options, const clock_source& clock)
      : clock_(clock), options_(std::move(options)) {}

  // Queues one line. `fields` follow time, host, level, part and event.
  void Write(log_kind kind,
             log_level level,
             std::string_view part,
             std::string_view event,
             boost::json::object fields = {});
  void SetLimits(log_level min_level, std::uint32_t good_calls_per_second);
  // Writes as many queued lines as possible without blocking.
  void Flush();
  // Lines dropped since the start, apart from good calls over their rate limit.
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct rate_counter {
    instant window_start{};   // start of the current one-second window
    std::uint32_t lines = 0;  // lines in that window
  };

  // Counts a line; false if it exceeds the rate limit of its kind.
  bool CountAgainstRate(log_kind kind);
  void Enqueue(std::string line);
  void ReportDroppedLines();

  const clock_source& clock_;
  std::mutex mutex_;  // guards all below; last in the lock order
  event_log_options options_;
  std::array<rate_counter, kLogKindNames.size()> rates_;
  std::string queue_;  // unwritten lines; the first may be partly written
  std::atomic<std::uint64_t> dropped_{0};
  std::uint64_t dropped_reported_ = 0;  // part of dropped_ reported so far
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_EVENT_LOG_H_
