// Drain: announced stop, end of the calls in flight, stop of the daemon.

#include "daemon/daemon_internals.h"

#include <boost/asio/post.hpp>

namespace parsleyyard {

namespace {

constexpr duration kDrainCheckInterval = std::chrono::milliseconds(20);
// Longest wait for the peers to stop sending.
constexpr duration kPeerTimeout = std::chrono::milliseconds(200);

}  // namespace

// For drain_notice after the drain begins, the stop is announced while new
// requests are still accepted, so that callers and peers stop sending here.
// Then the listener closes, and the calls in flight finish. Once they have, or
// drain_timeout after the drain began, the peers are asked to send nothing
// more. Calls that were on their way are refused, since a call that nobody
// reads would have an unknown outcome. The daemon stops when all peers have
// done so.
void daemon_internals::BeginDrain() {
  asio::post(context_, [this] {
    if (draining_.exchange(true)) {
      return;
    }
    log_.Write(log_kind::kProcess, log_level::kInfo, "daemon", "stopping");
    drain_started_at_ = clock_.Now();
    readiness_handler_.BeginDrain();
    gate_.BeginDrain();
    {
      const std::lock_guard lock(target_mutex_);
      target_.BeginDrain();
    }
    RunPeriodically(drain_timer_, kDrainCheckInterval,
                    &daemon_internals::ContinueDrain);
  });
}

void daemon_internals::ContinueDrain() {
  const duration elapsed = clock_.Now() - drain_started_at_;
  const duration notice = settings_.calls.drain_notice;
  if (elapsed < notice) {
    return;
  }
  caller_server_.StopAccepting();
  bool target_idle = false;
  {
    const std::lock_guard lock(target_mutex_);
    target_.RefuseNewCalls();
    target_idle = target_.idle();
  }
  const bool idle = target_idle && gate_.in_flight() == 0;
  if (idle) {
    caller_server_.CloseIdle();
  }
  const bool ended = (idle && caller_server_.IsClosed()) ||
                     elapsed >= settings_.calls.drain_timeout;
  if (ended && !peers_asked_at_) {
    peers_asked_at_ = clock_.Now();
    mesh_.BeginClose();
  }
  if (peers_asked_at_ && (!mesh_.HasIncomingStreams() ||
                          clock_.Now() - *peers_asked_at_ >= kPeerTimeout)) {
    Stop();
  }
}

void daemon_internals::Stop() {
  mesh_.Close();
  drain_timer_.expires_after(2 * kDrainCheckInterval);
  drain_timer_.async_wait(
      [this](const boost::system::error_code&) { context_.stop(); });
}

}  // namespace parsleyyard
