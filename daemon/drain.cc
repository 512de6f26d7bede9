// Drain: announced stop, end of the calls in flight, stop of the daemon.

#include "daemon/component_options.h"
#include "daemon/daemon_internals.h"

#include <boost/asio/post.hpp>

namespace parsleyyard {

namespace {

constexpr duration kDrainCheckInterval = std::chrono::milliseconds(20);

std::int64_t ToMilliseconds(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace

// Made anew at each step, since a reload may change the grace time.
stop_plan daemon_internals::PlanThisStop() const {
  return PlanStop(BuildStopOptions(settings_, grace_));
}

// Until the plan's `notice`, the stop is announced while new requests are still
// accepted, so that callers and peers stop sending here. Then the listener
// closes, and the calls in flight finish. Calls that can't finish by the plan's
// `timeout` are recalled and refused before it; at the timeout, those that run
// end with an unknown outcome. Once all calls have ended, the peers are asked
// to send nothing more. Calls that were on their way are refused, since a call
// that nobody reads would have an unknown outcome. The daemon stops when all
// peers have done so and the last responses are written.
void daemon_internals::BeginDrain() {
  asio::post(context_, [this] {
    if (draining_.exchange(true)) {
      return;
    }
    const stop_plan plan = PlanThisStop();
    log_.Write(log_kind::kProcess, log_level::kInfo, "daemon", "stopping",
               {{"grace_ms", ToMilliseconds(grace_)},
                {"notice_ms", ToMilliseconds(plan.notice)},
                {"timeout_ms", ToMilliseconds(plan.timeout)}});
    drain_started_at_ = clock_.Now();
    readiness_handler_.BeginDrain();
    gate_.BeginDrain();
    {
      const std::lock_guard lock(target_mutex_);
      target_.BeginDrain();
    }
    EndCallsBy(drain_started_at_ + plan.timeout);
    RunPeriodically(drain_timer_, kDrainCheckInterval,
                    &daemon_internals::ContinueDrain);
  });
}

void daemon_internals::EndCallsBy(instant end) {
  {
    const std::lock_guard lock(sender_mutex_);
    sender_.EndBy(end);
  }
  const std::lock_guard lock(target_mutex_);
  target_.EndBy(end);
}

void daemon_internals::ContinueDrain() {
  if (closed_) {
    context_.stop();
    return;
  }
  const duration elapsed = clock_.Now() - drain_started_at_;
  const stop_plan plan = PlanThisStop();
  EndCallsBy(drain_started_at_ + plan.timeout);
  if (elapsed >= plan.late_after) {
    gate_.RefuseBeyond(drain_started_at_ + plan.timeout);
  }
  if (elapsed < plan.notice) {
    return;
  }
  const bool idle = EndCalls();
  if (!peers_asked_at_ && (idle || elapsed >= plan.timeout)) {
    stop_timed_out_ = !idle;
    peers_asked_at_ = clock_.Now();
    mesh_.BeginClose();
    caller_server_.CloseIdle();
  }
  const bool all_closed =
      !mesh_.HasIncomingStreams() && caller_server_.IsClosed();
  if (peers_asked_at_ &&
      (all_closed || clock_.Now() - *peers_asked_at_ >= plan.close_timeout)) {
    Stop();
  }
}

// Takes no further calls. Returns true once those in flight have ended.
bool daemon_internals::EndCalls() {
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
  return idle && caller_server_.IsClosed();
}

// States what the stop cuts off.
void daemon_internals::LogEndOfCalls() {
  load_report load;
  {
    const std::lock_guard lock(target_mutex_);
    load = target_.Load();
  }
  const std::size_t callers_calls = gate_.in_flight() + gate_.CutOffCalls();
  const bool cuts_off =
      callers_calls > 0 || load.running > 0 || load.waiting > 0;
  log_.Write(log_kind::kProcess,
             cuts_off ? log_level::kWarning : log_level::kInfo, "daemon",
             cuts_off ? "calls cut off by stop" : "calls ended before stop",
             {{"because", stop_timed_out_ ? "timeout" : "idle"},
              {"after_ms", ToMilliseconds(clock_.Now() - drain_started_at_)},
              {"callers_calls", callers_calls},
              {"connections", caller_server_.connections()},
              {"instance_runs", load.running},
              {"instance_queue", load.waiting}});
  gate_.LogUnfinishedCalls();
}

// The next check ends the process, once what was sent has left.
void daemon_internals::Stop() {
  LogEndOfCalls();
  mesh_.Close();
  closed_ = true;
}

}  // namespace parsleyyard
