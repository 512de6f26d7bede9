// Structured log lines on standard output. Internal to daemon/.
//
// One JSON object a line. Lines wait in a bounded queue and are written by
// Flush(), which never blocks: what standard output does not take stays in the
// queue, and what does not fit there is dropped, counted and said in a line.

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

// What a line is about. Each kind has its own rate, so that lines about calls
// can't crowd out lines about what the daemon believes.
enum class log_kind : std::uint8_t { kProcess, kView, kFailedCall, kGoodCall };
inline constexpr std::array<std::string_view, 4> kLogKindNames = {
    "process", "view", "failed_call", "good_call"};

struct event_log_options {
  std::string host;                     // in each line
  log_level lowest = log_level::kInfo;  // lines below are left out
  std::size_t queue_bytes = std::size_t{256} * 1024;  // lines that wait
  std::uint32_t good_calls = 2;  // lines a second about them
  int descriptor = 1;            // standard output
};

class event_log {
 public:
  event_log(event_log_options options, const clock_source& clock)
      : clock_(clock), options_(std::move(options)) {}

  // `fields` follow time, host, level, part and event in the line. May be
  // called from any thread.
  void Write(log_kind kind,
             log_level level,
             std::string_view part,
             std::string_view event,
             boost::json::object fields = {});
  // From any thread.
  void SetLimits(log_level lowest, std::uint32_t good_calls);
  void Flush();  // from any thread; writes what can be written at once
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct kind_rate {
    instant second{};         // that is counted
    std::uint32_t lines = 0;  // in it
  };

  bool MayWrite(log_kind kind);
  void Add(std::string line);
  void SayWhatWasDropped();

  const clock_source& clock_;
  std::mutex mutex_;  // guards all below; leaf
  event_log_options options_;
  std::array<kind_rate, kLogKindNames.size()> rates_;
  std::string waiting_;
  std::atomic<std::uint64_t> dropped_{0};
  std::uint64_t dropped_said_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_EVENT_LOG_H_
