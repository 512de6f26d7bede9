// Counts and latency histograms, as a text page. Internal to
// daemon/.

#ifndef PARSLEYYARD_DAEMON_METRICS_H_
#define PARSLEYYARD_DAEMON_METRICS_H_

#include "calls/calls.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

namespace parsleyyard {

// What is kept of one ended call. Never its content.
struct call_record {
  std::string request;  // request id
  std::string service;
  std::string route;
  std::string instance;  // that answered, or was tried last
  std::uint32_t priority = 0;
  call_outcome outcome = call_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  std::uint16_t status = 0;  // that the caller got
  std::uint32_t tries = 0;
  duration took{};
};

class metrics {
 public:
  metrics();
  ~metrics();

  void OnCall(const call_record& record);
  void OnDecision(std::string line);

  // Prometheus text exposition of the calls.
  std::string Text() const;
  // What is remembered of a request that did not end in an answer; empty if
  // nothing.
  std::string FindRequest(const std::string& request) const;
  // The latest decisions, oldest first, one a line, that contain `text`.
  std::string Decisions(std::string_view text) const;

 private:
  struct latency;
  using call_key =
      std::tuple<std::string, std::uint32_t, call_outcome, refusal_reason>;

  mutable std::mutex mutex_;  // leaf: nothing else is locked while it is held
  std::map<call_key, std::uint64_t> calls_;
  std::map<std::pair<std::string, std::uint32_t>, std::unique_ptr<latency>>
      latencies_;  // by service and priority
  std::deque<call_record> refused_;
  std::deque<std::string> decisions_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_METRICS_H_
