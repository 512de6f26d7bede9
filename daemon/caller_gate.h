// HTTP from callers: decides on heads, begins calls, turns results into
// responses. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_CALLER_GATE_H_
#define PARSLEYYARD_DAEMON_CALLER_GATE_H_

#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/shared_view.h"
#include "net/net.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace parsleyyard {

class caller_gate : public http_handler, public call_sink {
 public:
  using begin_function =
      std::function<void(std::uint64_t call, const call_plan&, call_request)>;
  using cancel_function = std::function<void(std::uint64_t call)>;

  caller_gate(const daemon_settings& settings,
              std::uint64_t incarnation,
              const clock_source& clock,
              const shared_view& view,
              metrics& counts)
      : settings_(settings),
        incarnation_(incarnation),
        clock_(clock),
        view_(view),
        metrics_(counts) {}

  // Must be set before the server listens.
  void Connect(begin_function begin, cancel_function cancel);
  // From now on connections end after their answer, and new requests are
  // refused once `closed` is set.
  void BeginDrain() { draining_ = true; }
  void RefuseAll() { refusing_ = true; }
  std::size_t in_flight() const;

  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  http_reply reply) override;
  void OnResult(std::uint64_t call, call_result result) override;

 private:
  struct waiting_call {
    http_reply reply;
    call_record record;
    instant began{};
  };

  head_verdict Decide(const http_request& head) const;
  std::optional<refusal_reason> CheckBounds(const http_request& head) const;
  http_response Refusal(call_outcome outcome,
                        refusal_reason reason,
                        const std::string& request) const;
  http_response RefuseHead(const http_request& head,
                           refusal_reason reason,
                           const head_verdict& verdict);
  std::string NewRequestId();

  const daemon_settings& settings_;
  const std::uint64_t incarnation_;
  const clock_source& clock_;
  const shared_view& view_;
  metrics& metrics_;
  begin_function begin_;
  cancel_function cancel_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> refusing_{false};
  std::atomic<std::uint64_t> last_call_{0};
  mutable std::mutex
      mutex_;  // guards waiting_; after the sender's and target's tables
  std::unordered_map<std::uint64_t, waiting_call> waiting_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_CALLER_GATE_H_
