// Wiring of the daemon: its components, the locks that guard them, and the
// calls between them. Internal to daemon/.
//
// Lock order. A thread that holds one of these may lock only later ones:
//   1. control_mutex_   the view keeper
//   2. sender_mutex_    the call sender
//   3. target_mutex_    the call target
//   4. the mutex inside quota_service
//   5. the mutexes inside caller_gate, upstream_runner, peer_mesh, http_client,
//      http_server, shared_view, locked_random, metrics, event_log and
//      memory_budget. No two of these are held together, with three exceptions:
//      caller_gate's before shared_view's or locked_random's, peer_mesh's
//      before shared_view's, and upstream_runner's before http_client's
// A call that would need an earlier lock is posted to the io_context instead.

#ifndef PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_
#define PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_

#include "calls/load_push.h"
#include "daemon/caller_gate.h"
#include "daemon/daemon.h"
#include "daemon/event_log.h"
#include "daemon/metrics.h"
#include "daemon/quota_service.h"
#include "daemon/readiness_handler.h"
#include "daemon/shared_view.h"
#include "daemon/stop_plan.h"
#include "daemon/upstream_runner.h"
#include "net/memory_budget.h"
#include "net/net.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <string>
#include <unordered_map>

namespace parsleyyard {

// Thread-safe random source, shared by the call sender and the caller gate.
class locked_random : public random_source {
 public:
  explicit locked_random(std::uint64_t seed) : random_(seed) {}
  std::uint64_t Next() override {
    const std::lock_guard lock(mutex_);
    return random_.Next();
  }

 private:
  std::mutex mutex_;  // guards random_; last in the lock order
  seeded_random random_;
};

class daemon_internals : public view_transport,
                         public view_listener,
                         public source_listener,
                         public call_link,
                         public target_listener,
                         public answer_link,
                         public mesh_listener,
                         public http_handler {
 public:
  daemon_internals(daemon_settings settings, const daemon_platform& platform);

  leaf::result<void> Listen();
  void Run();
  void BeginDrain();
  void Reload(const daemon_settings& settings, const platform_limits& limits);
  void LogRejectedReload(const std::string& reason);

  // view_transport
  void SendUpdate(const host_address& to, const view_update& message) override;
  bool IsReachable(const host_address& peer) const override;

  // view_listener
  void OnSnapshot(std::shared_ptr<const snapshot> view) override;
  void OnEvent(const view_event& event) override;

  // source_listener
  void OnFullRead(source_update update) override;
  void OnStateRead(source_update update) override;
  void OnWatchResult(source_update update) override;
  void OnSourceFailure(source_failure reason, std::string detail) override;

  // call_link
  std::optional<std::uint64_t> PeerIncarnation(const host_address& to) override;
  void Open(const host_address& to) override;
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override;
  void SendAttach(const host_address& to, const call_attach& message) override;
  void SendCancel(const host_address& to, const call_cancel& message) override;

  // target_listener for the call target; the caller gate is the one for the
  // call sender
  void OnCallEvent(const call_event_line& line) override;
  void OnColdLimit(const cold_limit_line& line) override;
  void OnColdRequest(const cold_request_line& line) override;
  void OnRampUp(const ramp_up_line& line) override;

  // answer_link
  void SendAnswer(const host_address& to,
                  std::shared_ptr<const call_answer> message) override;

  // mesh_listener
  void OnMessage(const host_address& from, any_message message) override;
  void OnCallDropped(const host_address& from, const call_id& id) override;
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation) override;
  void OnPeerStops(const host_address& peer) override;
  void OnLinkDown(const host_address& peer) override;
  void OnLinkError(const host_address& peer, const net_error& error) override;
  void OnUndelivered(const host_address& to,
                     const any_message& message) override;
  void ReplaceUndeliveredAnswer(const host_address& to,
                                const call_answer& answer);

  // http_handler of the admin port
  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override;

 private:
  using periodic_function = void (daemon_internals::*)();

  void RunPeriodically(asio::steady_timer& timer,
                       duration interval,
                       periodic_function action);
  void Tick();
  void PushLoad();
  void OpenMissingLinks();
  void FlushLog();
  void LogMemoryRefusals();
  stop_plan PlanThisStop() const;
  void EndCallsBy(instant end);
  void ContinueDrain();
  bool EndCalls();
  void LogEndOfCalls();
  void Stop();
  bool IsSelf(const host_address& to) const {
    return to == settings_.host.address;
  }
  http_limits CallerLimits() const;
  std::shared_ptr<const call_request> HoldCall(
      std::shared_ptr<const call_request> call,
      std::size_t bytes);
  host_address ResolveConnectAddress(const host_address& peer) const;
  std::string HealthPath() const;
  void InstallCallbacks();

  // Admin pages
  std::string RenderStatusPage();
  std::string RenderMetricsPage();
  std::string RenderExplainPage(const std::string& target);

  // Reload() changes only process.log_level, process.log_good_calls and
  // platform.bounds, on reload_strand_. Nothing else reads these after the
  // constructor.
  daemon_settings settings_;
  const std::uint64_t incarnation_;
  const monotonic_clock clock_;
  locked_random random_;
  asio::io_context context_;
  // Reloads are applied one after the other, in the order of their arrival.
  asio::strand<asio::io_context::executor_type> reload_strand_ =
      asio::make_strand(context_);
  event_log log_;
  shared_view view_;
  metrics metrics_;
  const std::uint64_t host_memory_;  // bytes
  const memory_limits memory_limits_;
  const std::shared_ptr<memory_budget> memory_;
  std::uint64_t logged_refusals_ = 0;  // of memory_
  peer_mesh mesh_;
  std::unique_ptr<config_source> source_;
  upstream_runner upstream_;
  caller_gate gate_;
  quota_service quotas_;
  readiness_handler readiness_handler_;
  http_server caller_server_;
  http_server ready_server_;
  http_server admin_server_;

  std::mutex control_mutex_;
  view_keeper control_;
  std::unordered_map<host_address, std::uint64_t>
      peer_incarnations_;  // latest of each peer; guarded by control_mutex_
  std::mutex sender_mutex_;
  call_sender sender_;
  std::mutex target_mutex_;
  call_target target_;
  load_push load_push_{load_push_options()};  // guarded by target_mutex_
  std::atomic<std::uint64_t> load_updates_received_{0};

  asio::steady_timer tick_timer_;
  asio::steady_timer link_timer_;
  asio::steady_timer log_timer_;
  asio::steady_timer memory_timer_;
  asio::steady_timer drain_timer_;
  std::atomic<duration> grace_;  // platform_limits::grace
  std::atomic<bool> draining_{false};
  instant drain_started_at_{};
  bool stop_timed_out_ = false;  // it did not wait for all calls in flight
  std::optional<instant> peers_asked_at_;  // to send nothing more
  bool closed_ = false;                    // the streams to peers are closed
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_
