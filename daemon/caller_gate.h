// HTTP handler for callers: accepts or refuses request heads, starts calls and
// turns their results into responses. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_CALLER_GATE_H_
#define PARSLEYYARD_DAEMON_CALLER_GATE_H_

#include "daemon/event_log.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/shared_view.h"
#include "net/net.h"
#include "workspaces/quota.h"
#include "workspaces/workspaces.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace parsleyyard {

// Decides whether the quota of a workspace admits a request. Thread-safe.
class request_quotas {
 public:
  virtual ~request_quotas() = default;
  // If the verdict is kWaiting, the decision is passed to
  // caller_gate::OnQuotaDecision() later, possibly before Admit() returns.
  virtual quota_decision Admit(std::uint64_t call,
                               const std::string& workspace,
                               duration max_wait) = 0;
  virtual void Cancel(std::uint64_t call, const std::string& workspace) = 0;
  virtual void Return(const std::string& workspace,
                      const quota_token& token) = 0;
};

class caller_gate : public http_handler,
                    public call_sink,
                    public call_listener {
 public:
  using begin_call_function =
      std::function<void(std::uint64_t call, const call_plan&, call_request)>;
  using cancel_call_function = std::function<void(std::uint64_t call)>;

  caller_gate(const daemon_settings& settings,
              std::uint64_t incarnation,
              const clock_source& clock,
              random_source& random,
              const shared_view& view,
              const http_dialect& dialect,
              metrics& call_metrics,
              event_log& log)
      : settings_(settings),
        incarnation_(incarnation),
        clock_(clock),
        view_(view),
        dialect_(dialect),
        metrics_(call_metrics),
        log_(log),
        splitter_(random) {}

  // Call this before the server listens. `begin` starts a call under a handle
  // that is never reused; `cancel` cancels the call with that handle.
  void SetCallbacks(begin_call_function begin, cancel_call_function cancel);
  // Call this before the server listens. Without it, quotas do not apply.
  void SetQuotas(request_quotas& quotas) { quotas_ = &quotas; }
  // The decision on a call that waited for it.
  void OnQuotaDecision(const quota_decision& decision);
  // From now on each connection is closed after its response. New requests are
  // still accepted.
  void BeginDrain() { draining_ = true; }
  // From now on requests whose deadline lies after `end` are refused, since
  // their calls could be cut off then.
  void RefuseBeyond(instant end) { last_deadline_ = end; }
  // Without a call, keys are accepted by a view of any age.
  void SetKeyLimits(const key_limits& limits) {
    max_key_view_age_ = MaxKeyViewAge(limits);
  }
  std::size_t in_flight() const;
  // Number of calls that ended with an unknown outcome because of the stop.
  std::size_t CutOffCalls() const { return cut_off_; }
  // Logs each call that has no result yet, with its steps. Call this when the
  // daemon ends: nobody gets their results.
  void LogUnfinishedCalls();

  bool MayPipeline(const http_request& head) override;
  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override;
  std::optional<http_response> OnRejected(
      const http_rejection& rejection) override;
  void OnResult(std::uint64_t call, call_result result) override;
  // Receives the steps of the call sender. They are kept until the call ends
  // and logged if it failed or took more than one step.
  void OnCallEvent(const call_event_line& line) override;

 private:
  // A call that waits for the decision about its quota.
  struct held_call {
    call_plan plan;
    call_request message;
  };
  struct pending_call {
    response_callback reply;
    call_record record;
    instant started_at{};
    quota_token token;
    std::optional<held_call> held;
  };
  // The view at one moment, and the time since the store confirmed it.
  struct observed_view {
    std::shared_ptr<const snapshot> view;
    duration age{};
  };
  struct call_step {
    call_event_line line;
    instant at{};
  };

  std::optional<refusal_reason> CheckMessageLimits(
      const http_request& head) const;
  request_facts ExtractFacts(const http_request& head) const;
  http_response BuildRefusal(const call_result& result,
                             const std::string& request) const;
  http_response RefuseHead(const http_request& head,
                           refusal_reason reason,
                           const observed_view& observed,
                           const std::string& workspace = "");
  key_decision CheckHeadAndKey(const http_request& head,
                               const observed_view& observed) const;
  head_decision DecideRequest(const http_request& request,
                              const observed_view& observed);
  void BeginOrHold(std::uint64_t call, held_call held);
  void RefuseByQuota(std::uint64_t call, const quota_decision& decision);
  std::optional<pending_call> TakePending(std::uint64_t call);
  void EndCall(pending_call ended, call_result result);
  call_request BuildMessage(http_request request,
                            const call_plan& plan,
                            const snapshot& view);
  std::function<void()> StartCall(const call_plan& plan,
                                  call_request message,
                                  response_callback reply);
  std::string RequestIdFor(const http_request& head);
  observed_view Observe() const;
  static void AddViewFields(boost::json::object& fields,
                            const observed_view& observed);
  void LogCallEnd(const pending_call& ended);
  void OnDisconnect(std::uint64_t call);
  std::vector<call_step> TakeSteps(const std::string& request);
  void LogSteps(const pending_call& ended, const std::vector<call_step>& steps);

  const daemon_settings& settings_;
  const std::uint64_t incarnation_;
  const clock_source& clock_;
  const shared_view& view_;
  const http_dialect& dialect_;
  metrics& metrics_;
  event_log& log_;
  request_quotas* quotas_ = nullptr;
  begin_call_function begin_call_;
  cancel_call_function cancel_call_;
  std::atomic<bool> draining_{false};
  std::atomic<instant> last_deadline_{instant::max()};
  std::atomic<duration> max_key_view_age_{duration::max()};
  std::atomic<std::uint64_t> last_call_{0};
  std::atomic<std::size_t> cut_off_{0};
  mutable std::mutex
      mutex_;  // guards the members below; locked after sender_mutex_
               // and target_mutex_ of daemon_internals
  route_splitter splitter_;
  std::unordered_map<std::uint64_t, pending_call> pending_calls_;
  std::unordered_map<std::string, std::vector<call_step>>
      steps_by_request_;  // key: request id
};

// Returns the fields of a log line about one step of a call.
boost::json::object LogFieldsFor(const call_event_line& line);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_CALLER_GATE_H_
