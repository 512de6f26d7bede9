// Wiring of the daemon: shared tables, their locks, and who calls whom.
// Internal to daemon/.
//
// Lock order. A thread that holds one of these may lock only later ones:
//   1. control_mutex_   the control plane
//   2. sender_mutex_    the call sender
//   3. target_mutex_    the call target
//   4. the mutexes inside caller_gate, upstream_runner, peer_mesh, http_client,
//      http_server, shared_view and metrics, of which no two are held together
//      but caller_gate's or upstream_runner's before http_client's
// What leads back up is posted to the io_context in place of being called.

#ifndef PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_
#define PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_

#include "daemon/caller_gate.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"
#include "daemon/shared_view.h"
#include "daemon/upstream_runner.h"
#include "net/net.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <string>

namespace parsleyyard {

// Random draws under a lock, since several tables share one source.
class locked_random : public random_source {
 public:
  explicit locked_random(std::uint64_t seed) : random_(seed) {}
  std::uint64_t Next() override {
    const std::lock_guard lock(mutex_);
    return random_.Next();
  }

 private:
  std::mutex mutex_;  // leaf
  seeded_random random_;
};

class daemon_internals : public control_link,
                         public config_source,
                         public control_listener,
                         public call_link,
                         public answer_link,
                         public mesh_listener,
                         public http_handler {
 public:
  explicit daemon_internals(daemon_settings settings);

  leaf::result<void> Listen();
  void Run();
  void BeginDrain();

  // control_link
  void SendDigest(const host_address& to, const digest& message) override;
  void SendUpdate(const host_address& to,
                  std::shared_ptr<const document_update> message) override;
  void SendRequest(const host_address& to,
                   const document_request& message) override;

  // config_source
  void ReadHeads(std::uint64_t after_index, duration wait) override;
  void ReadPart(document_kind kind, const part_ref& part) override;

  // control_listener
  void OnSnapshot(std::shared_ptr<const snapshot> view) override;
  void OnLease(const admission_lease& lease) override;
  void OnDecision(std::string_view line) override;

  // call_link
  std::optional<std::uint64_t> PeerIncarnation(const host_address& to) override;
  void Open(const host_address& to) override;
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override;
  void SendAttach(const host_address& to, const call_attach& message) override;
  void SendCancel(const host_address& to, const call_cancel& message) override;

  // answer_link
  void SendAnswer(const host_address& to,
                  std::shared_ptr<const call_answer> message) override;

  // mesh_listener
  void OnMessage(const host_address& from, any_message message) override;
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation) override;
  void OnLinkDown(const host_address& peer) override;
  void OnUndelivered(const host_address& to,
                     const any_message& message) override;

  // http_handler of the admin port
  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  http_reply reply) override;

 private:
  using tick_function = void (daemon_internals::*)();

  void Repeat(asio::steady_timer& timer, duration interval, tick_function tick);
  void TickControl();
  void TickCalls();
  void ProbeUpstream();
  void ContinueDrain();
  void Stop();
  bool IsSelf(const host_address& to) const {
    return to == settings_.host.address;
  }
  host_address Resolve(const host_address& peer) const;
  void Dispatch(const host_address& from, any_message message);
  void OnHeadsRead(http_exchange exchange);
  void OnPartRead(document_kind kind,
                  const part_ref& part,
                  http_exchange exchange);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void ReportUpstreamState();

  // Admin pages.
  std::string StatusPage();
  std::string MetricsPage();
  std::string ExplainPage(const std::string& target);

  const daemon_settings settings_;
  const std::uint64_t incarnation_;
  const monotonic_clock clock_;
  locked_random random_;
  asio::io_context context_;
  shared_view view_;
  metrics metrics_;
  peer_mesh mesh_;
  http_client platform_heads_;
  http_client platform_parts_;
  upstream_runner upstream_;
  caller_gate gate_;
  http_server callers_;
  http_server admin_;

  std::mutex control_mutex_;
  control_plane control_;
  std::mutex sender_mutex_;
  call_sender sender_;
  std::mutex target_mutex_;
  call_target target_;

  asio::steady_timer control_timer_;
  asio::steady_timer call_timer_;
  asio::steady_timer probe_timer_;
  asio::steady_timer drain_timer_;
  std::atomic<bool> draining_{false};
  std::atomic<std::uint64_t> source_reads_{0};
  std::string
      upstream_state_;  // last one logged; touched by the probe timer alone
  instant drain_began_{};
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_DAEMON_INTERNALS_H_
