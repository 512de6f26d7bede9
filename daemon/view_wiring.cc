// Calls between the view keeper and its store, peers, log and readers.

#include "daemon/daemon_internals.h"

namespace parsleyyard {

void daemon_internals::SendUpdate(const host_address& to,
                                  const view_update& message) {
  mesh_.Send(to, message, send_mode::kUrgent);
}

bool daemon_internals::IsReachable(const host_address& peer) const {
  return mesh_.IsReachable(peer);
}

void daemon_internals::OnSnapshot(std::shared_ptr<const snapshot> view) {
  view_.SetSnapshot(std::move(view));
}

void daemon_internals::OnEvent(const view_event& event) {
  metrics_.OnDecision(std::string(event.name) + ": " + event.subject);
  log_.Write(log_kind::kView, log_level::kInfo, "view", event.name,
             {{"subject", event.subject},
              {"era", event.position.era},
              {"revision", event.position.revision},
              {"age_ms", event.age.count() / 1000},
              {"because", event.because}});
}

void daemon_internals::OnFullRead(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnFullRead(std::move(update));
  view_.SetConfirmedAt(control_.Status().confirmed_at);
}

void daemon_internals::OnStateRead(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnStateRead(std::move(update));
}

void daemon_internals::OnWatchResult(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnWatchResult(std::move(update));
  view_.SetConfirmedAt(control_.Status().confirmed_at);
}

void daemon_internals::OnSourceFailure(source_failure reason,
                                       std::string detail) {
  log_.Write(log_kind::kView, log_level::kWarning, "store", "read failed",
             {{"because", std::move(detail)}});
  const std::lock_guard lock(control_mutex_);
  control_.OnSourceFailure(reason);
}

}  // namespace parsleyyard
