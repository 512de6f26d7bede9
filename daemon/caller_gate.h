// HTTP from callers: decides on heads, begins calls, turns results into
// responses. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_CALLER_GATE_H_
#define PARSLEYYARD_DAEMON_CALLER_GATE_H_

#include "daemon/event_log.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/shared_view.h"
#include "net/net.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace parsleyyard {

class caller_gate : public http_handler,
                    public call_sink,
                    public call_listener {
 public:
  using begin_function =
      std::function<void(std::uint64_t call, const call_plan&, call_request)>;
  using cancel_function = std::function<void(std::uint64_t call)>;

  caller_gate(const daemon_settings& settings,
              std::uint64_t incarnation,
              const clock_source& clock,
              random_source& random,
              const shared_view& view,
              const http_dialect& dialect,
              metrics& counts,
              event_log& log)
      : settings_(settings),
        incarnation_(incarnation),
        clock_(clock),
        view_(view),
        dialect_(dialect),
        metrics_(counts),
        log_(log),
        splitter_(random) {}

  // Must be set before the server listens.
  void Connect(begin_function begin, cancel_function cancel);
  // From now on connections end after their answer, and new requests are
  // refused once RefuseAll() was called.
  void BeginDrain() { draining_ = true; }
  void RefuseAll() { refusing_ = true; }
  std::size_t in_flight() const;

  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override;
  void OnResult(std::uint64_t call, call_result result) override;
  // Steps of the sender; kept until the call ends, and logged if it fails.
  void OnCallEvent(const call_event_line& line) override;

 private:
  struct waiting_call {
    response_callback reply;
    call_record record;
    instant began{};
  };
  struct traced_step {
    call_event_line line;
    instant at{};
  };

  std::optional<refusal_reason> CheckBounds(const http_request& head) const;
  request_facts FactsOf(const http_request& head) const;
  http_response Refusal(const call_result& result,
                        const std::string& request) const;
  http_response RefuseHead(const http_request& head, refusal_reason reason);
  std::string RequestIdOf(const http_request& head);
  void LogEnd(const waiting_call& ended);

  const daemon_settings& settings_;
  const std::uint64_t incarnation_;
  const clock_source& clock_;
  const shared_view& view_;
  const http_dialect& dialect_;
  metrics& metrics_;
  event_log& log_;
  begin_function begin_;
  cancel_function cancel_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> refusing_{false};
  std::atomic<std::uint64_t> last_call_{0};
  mutable std::mutex
      mutex_;  // guards what follows; after the sender's and target's tables
  route_splitter splitter_;
  std::unordered_map<std::uint64_t, waiting_call> waiting_;
  std::unordered_map<std::string, std::vector<traced_step>>
      steps_;  // by request id
};

// The fields of a log line about one step of a call.
boost::json::object FieldsOf(const call_event_line& line);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_CALLER_GATE_H_
