#include "daemon/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace parsleyyard {

namespace {

namespace json = boost::json;

// Lines a second of each kind but good calls, by log_kind. They cover what one
// daemon can fail or believe in a second.
constexpr std::array<std::uint32_t, 3> kRates = {100, 200, 200};
// A pipe that reports room takes this much without blocking (PIPE_BUF).
constexpr std::size_t kWriteAtOnce = 4096;  // bytes

std::string TimeOfDay() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  constexpr std::int64_t kSecond = 1000;
  const std::time_t seconds = ms / kSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%FT%T", &parts);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                static_cast<int>(ms % kSecond));
  return text.data();
}

}  // namespace

bool event_log::MayWrite(log_kind kind) {
  kind_rate& rate = rates_[static_cast<std::size_t>(kind)];
  const instant now = clock_.Now();
  if (now - rate.second >= std::chrono::seconds(1)) {
    rate = {.second = now};
  }
  const std::uint32_t most = kind == log_kind::kGoodCall
                                 ? options_.good_calls
                                 : kRates[static_cast<std::size_t>(kind)];
  return ++rate.lines <= most;
}

void event_log::Add(std::string line) {
  if (waiting_.size() + line.size() > options_.queue_bytes) {
    ++dropped_;
    return;
  }
  waiting_ += line;
  waiting_ += '\n';
}

void event_log::SayWhatWasDropped() {
  const std::uint64_t dropped = dropped_;
  if (dropped == dropped_said_) {
    return;
  }
  Add(json::serialize(json::object{{"time", TimeOfDay()},
                                   {"host", options_.host},
                                   {"level", "warning"},
                                   {"part", "log"},
                                   {"event", "lines dropped"},
                                   {"count", dropped - dropped_said_}}));
  dropped_said_ = dropped;
}

void event_log::Write(log_kind kind,
                      log_level level,
                      std::string_view part,
                      std::string_view event,
                      json::object fields) {
  const std::lock_guard lock(mutex_);
  if (level < options_.lowest) {
    return;
  }
  if (!MayWrite(kind)) {
    dropped_ += kind == log_kind::kGoodCall ? 0 : 1;
    return;
  }
  json::object line{{"time", TimeOfDay()},
                    {"host", options_.host},
                    {"level", kLogLevelNames[static_cast<std::size_t>(level)]},
                    {"part", part},
                    {"event", event}};
  for (auto& field : fields) {
    line.insert_or_assign(field.key(), std::move(field.value()));
  }
  Add(json::serialize(line));
}

void event_log::SetLimits(log_level lowest, std::uint32_t good_calls) {
  const std::lock_guard lock(mutex_);
  options_.lowest = lowest;
  options_.good_calls = good_calls;
}

void event_log::Flush() {
  const std::lock_guard lock(mutex_);
  SayWhatWasDropped();
  std::size_t written = 0;
  while (written < waiting_.size()) {
    pollfd ready{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kWriteAtOnce, waiting_.size() - written);
    const ssize_t taken =
        ::write(options_.descriptor, waiting_.data() + written, size);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  waiting_.erase(0, written);
}

}  // namespace parsleyyard
