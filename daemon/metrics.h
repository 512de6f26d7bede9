// Call counters, latency histograms and the records behind /explain and
// /decisions. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_METRICS_H_
#define PARSLEYYARD_DAEMON_METRICS_H_

#include "calls/calls.h"

#include <array>
#include <deque>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace parsleyyard {

// One ended call, without its headers and bodies.
struct call_record {
  std::string request;  // request id
  std::string service;
  std::string route;
  std::string workspace;  // empty: none, or not known
  std::string instance;   // id of the instance that answered or was tried last
  std::uint32_t priority = 0;
  call_outcome outcome = call_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  std::uint16_t status = 0;  // HTTP status sent to the caller
  std::uint32_t attempts = 0;
  duration took{};  // time from the request until the result
};

// Thread-safe.
class metrics {
 public:
  metrics();
  ~metrics();

  // Counts an ended call. Calls of workspaces beyond a bound are counted
  // together.
  void OnCall(const call_record& record);
  // Counts a request that the HTTP server ended by itself.
  void OnRejected(std::uint16_t status, std::string_view cause);
  // Counts a request that a quota decided on, with its result.
  void OnQuota(const std::string& workspace, std::string_view result);
  // Keeps a line about a change of the view, for FindDecisions().
  void OnDecision(std::string line);

  // Returns the call counters and latency histograms in the Prometheus text
  // format.
  std::string RenderPrometheusText() const;
  // Describes the calls with this request id that ended without an answer, one
  // a line. Empty if none of the recent ones has that id.
  std::string DescribeFailedCall(const std::string& request) const;
  // Returns the recent decisions that contain `text`, oldest first, one a line.
  std::string FindDecisions(std::string_view text) const;

 private:
  struct latency_histogram;
  using outcome_counts = std::array<std::uint64_t, kCallOutcomeNames.size()>;
  using call_counter_key =
      std::tuple<std::string, std::uint32_t, call_outcome, refusal_reason>;

  mutable std::mutex mutex_;  // guards all below; last in the lock order
  std::map<call_counter_key, std::uint64_t> call_counts_;
  std::map<std::string, outcome_counts> workspace_counts_;  // by name
  std::map<std::pair<std::uint16_t, std::string>, std::uint64_t>
      rejection_counts_;  // by status and cause
  // By workspace; "(other)" counts those beyond the bound on their number.
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>>
      quota_counts_;
  // Calls that were not sent because no instance was expected to have room, by
  // service and priority.
  std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> unsent_counts_;
  std::map<std::pair<std::string, std::uint32_t>,
           std::unique_ptr<latency_histogram>>
      latency_histograms_;  // by service and priority

  void CountWorkspace(const call_record& record);
  void RenderWorkspaces(std::ostream& page) const;
  void RenderQuotas(std::ostream& page) const;
  std::deque<call_record> failed_calls_;  // recent calls without an answer
  std::deque<std::string> decisions_;     // recent changes of the view
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_METRICS_H_
