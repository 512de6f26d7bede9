#include "daemon/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace parsleyyard {

namespace {

namespace json = boost::json;

// Rate limits by log_kind, except for good calls, whose limit is in the
// options. The limits are high enough for all failed calls and view changes of
// one daemon in a second.
constexpr std::array<std::uint32_t, 4> kMaxLinesPerSecond = {100, 200, 200,
                                                             100};
// PIPE_BUF: a pipe that poll() reports as writable accepts this much without
// blocking.
constexpr std::size_t kMaxWriteBytes = 4096;

std::string FormatCurrentTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::time_t seconds = ms / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%FT%T", &parts);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                static_cast<int>(ms % kMsPerSecond));
  return text.data();
}

}  // namespace

bool event_log::CountAgainstRate(log_kind kind) {
  rate_counter& rate = rates_[static_cast<std::size_t>(kind)];
  const instant now = clock_.Now();
  if (now - rate.window_start >= std::chrono::seconds(1)) {
    rate = {.window_start = now};
  }
  const std::uint32_t max_lines =
      kind == log_kind::kGoodCall
          ? options_.good_calls_per_second
          : kMaxLinesPerSecond[static_cast<std::size_t>(kind)];
  return ++rate.lines <= max_lines;
}

void event_log::Enqueue(std::string line) {
  if (queue_.size() + line.size() > options_.queue_bytes) {
    ++dropped_;
    return;
  }
  queue_ += line;
  queue_ += '\n';
}

void event_log::ReportDroppedLines() {
  const std::uint64_t dropped = dropped_;
  if (dropped == dropped_reported_) {
    return;
  }
  Enqueue(
      json::serialize(json::object{{"time", FormatCurrentTime()},
                                   {"host", options_.host},
                                   {"level", "warning"},
                                   {"part", "log"},
                                   {"event", "lines dropped"},
                                   {"count", dropped - dropped_reported_}}));
  dropped_reported_ = dropped;
}

void event_log::Write(log_kind kind,
                      log_level level,
                      std::string_view part,
                      std::string_view event,
                      json::object fields) {
  const std::lock_guard lock(mutex_);
  if (level < options_.min_level) {
    return;
  }
  if (!CountAgainstRate(kind)) {
    dropped_ += kind == log_kind::kGoodCall ? 0 : 1;
    return;
  }
  json::object line{{"time", FormatCurrentTime()},
                    {"host", options_.host},
                    {"level", kLogLevelNames[static_cast<std::size_t>(level)]},
                    {"part", part},
                    {"event", event}};
  for (auto& field : fields) {
    line.insert_or_assign(field.key(), std::move(field.value()));
  }
  Enqueue(json::serialize(line));
}

void event_log::SetLimits(log_level min_level,
                          std::uint32_t good_calls_per_second) {
  const std::lock_guard lock(mutex_);
  options_.min_level = min_level;
  options_.good_calls_per_second = good_calls_per_second;
}

void event_log::Flush() {
  const std::lock_guard lock(mutex_);
  ReportDroppedLines();
  std::size_t written = 0;
  while (written < queue_.size()) {
    pollfd ready{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kMaxWriteBytes, queue_.size() - written);
    const ssize_t accepted =
        ::write(options_.descriptor, queue_.data() + written, size);
    if (accepted <= 0) {
      break;
    }
    written += static_cast<std::size_t>(accepted);
  }
  queue_.erase(0, written);
}

}  // namespace parsleyyard
