// Quota owner and quota client of this daemon, with their lock. Internal to
// daemon/.

#ifndef PARSLEYYARD_DAEMON_QUOTA_SERVICE_H_
#define PARSLEYYARD_DAEMON_QUOTA_SERVICE_H_

#include "daemon/caller_gate.h"
#include "daemon/event_log.h"
#include "daemon/metrics.h"
#include "daemon/shared_view.h"
#include "workspaces/quota.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace parsleyyard {

// Thread-safe.
class quota_service : public request_quotas, private quota_port {
 public:
  using send_function =
      std::function<void(const host_address& owner, const quota_request&)>;
  using decided_function = std::function<void(const quota_decision&)>;

  quota_service(const quota_client_options& options,
                const clock_source& clock,
                random_source& random,
                const shared_view& view,
                metrics& call_metrics,
                event_log& log)
      : address_(options.address),
        clock_(clock),
        view_(view),
        metrics_(call_metrics),
        log_(log),
        owner_(options.address, random),
        client_(options, random, *this) {}

  // Call this before all others. `send` is called with the lock held, `decided`
  // without it.
  void SetCallbacks(send_function send, decided_function decided);
  void SetLimits(const quota_limits& limits);

  // request_quotas
  quota_decision Admit(std::uint64_t call,
                       const std::string& workspace,
                       duration max_wait) override;
  void Cancel(std::uint64_t call, const std::string& workspace) override;
  void Return(const std::string& workspace, const quota_token& token) override;

  // Answers the request of another daemon.
  quota_grant OnRequest(const quota_request& request);
  void OnGrant(const quota_grant& grant);
  // Takes over the newest view, and ends waits. Call it every 10 to 20 ms.
  void Tick();

  // For metrics: workspaces owned, calls that wait, messages sent to others.
  struct counts {
    std::size_t owned = 0;
    std::size_t waiting = 0;
    std::uint64_t messages_sent = 0;
  };
  counts Counts() const;

 private:
  std::optional<quota_grant> Request(const host_address& owner,
                                     const quota_request& message) override;
  bool HasNewConfiguration(const snapshot& view) const;
  quota_ownership_change UpdateView(instant now);
  void Record(const quota_decision& decision);
  void Report(const std::vector<quota_decision>& decisions);
  void LogChange(const quota_ownership_change& change);

  const host_address address_;
  const clock_source& clock_;
  const shared_view& view_;
  metrics& metrics_;
  event_log& log_;
  send_function send_;
  decided_function decided_;
  mutable std::mutex mutex_;  // guards all below
  quota_owner owner_;
  quota_client client_;
  std::shared_ptr<const snapshot> seen_;  // that `map_` was made from
  std::shared_ptr<const quota_map> map_;
  instant map_made_at_ = instant::min() / 2;
  std::uint64_t messages_sent_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_QUOTA_SERVICE_H_
