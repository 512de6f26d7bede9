// State and decisions of the call target. Internal to calls/.
//
// call_target.cc admits calls, target_runs.cc starts and ends them, and
// target_pace.cc follows the speed of the instance and its ramp-up.

#ifndef PARSLEYYARD_CALLS_TARGET_INTERNALS_H_
#define PARSLEYYARD_CALLS_TARGET_INTERNALS_H_

#include "calls/call_table.h"
#include "calls/calls.h"
#include "calls/cold_limiter.h"
#include "calls/instance_watch.h"
#include "calls/own_instance.h"
#include "calls/ramp_up.h"
#include "calls/wait_queue.h"
#include "model/pause_guard.h"
#include "model/transit_clock.h"

namespace parsleyyard {

class target_internals {
 public:
  target_internals(target_options options,
                   const clock_source& clock,
                   const view_source& view,
                   upstream_port& upstream,
                   answer_link& link,
                   target_listener& listener)
      : options_(std::move(options)),
        clock_(clock),
        view_(view),
        upstream_(upstream),
        link_(link),
        listener_(listener),
        own_instance_(options_),
        table_(options_.max_tracked_attempts, options_.max_kept_answer_bytes),
        cold_limiter_(options_.cold, clock.Now()),
        pause_guard_(clock.Now()) {}

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  bool OnUpstreamWrite(const call_id& id);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamReport(const upstream_report& report);
  void BeginDrain() { draining_ = true; }
  void RefuseNewCalls() { refuses_new_calls_ = true; }
  void EndBy(instant end) { end_at_ = end; }
  void SetColdLimits(const cold_limits& limits) {
    cold_limiter_.SetLimits(limits);
  }
  bool idle() const { return running_ == 0 && queue_.empty(); }
  load_report Load(const std::string& route = "") const;
  instance_pace Pace() const;
  // Returns how long work takes at the instance now, in percent of the usual
  // time; 0 if the instance does not state it.
  std::uint32_t SpeedPercent() const;

 private:
  refusal_reason FindRefusal(const call_request& message,
                             bool trial,
                             instant now) const;
  refusal_reason FindStartRefusal(const table_entry& call, instant now) const;
  refusal_reason RepeatStartCheck(const table_entry& call, instant now);
  void UpdateFromView(instant now);
  void ReportColdLimit(instant now);
  instance_capacity Capacity(instant now) const;
  waiting_call ToWaitingCall(const call_request& message,
                             const table_entry& entry,
                             instant now) const;
  bool Fits(const waiting_call& candidate, instant now) const;
  bool TryAdmit(const waiting_call& candidate, instant now);
  void StartWaitingCalls();
  void StartOrRefuse(const waiting_call& next, instant now);
  bool IsTooLate(const waiting_call& next, instant now) const;
  void FollowSpeed(instant now);
  std::uint32_t Limit() const;
  void RequestRampUp(ramp_up_cause cause, instant now);
  void UpdateRampUp(instant now);
  void RecordForRampUp(const table_entry& call,
                       const upstream_result& result,
                       instant now);
  void RefuseHopelessCalls(instant now);
  void RefuseCallsThatOutlastDaemon(instant now);
  void WithholdUnwrittenCalls();
  void EndAttempt(const call_id& id, call_answer answer);
  void RefuseWaitingCall(const call_id& id, refusal_reason reason);
  void SendOutcome(const host_address& to,
                   const call_id& id,
                   call_outcome outcome,
                   refusal_reason reason);
  void ReportEvent(const call_request& message,
                   std::string_view event,
                   refusal_reason reason,
                   duration estimate = {}) const;

  target_options options_;
  const clock_source& clock_;
  const view_source& view_;
  upstream_port& upstream_;
  answer_link& link_;
  target_listener& listener_;
  own_instance own_instance_;
  call_table table_;
  wait_queue queue_;
  cold_limiter cold_limiter_;
  instance_watch watch_;
  ramp_up ramp_up_;
  // Ramp-up that begins once the instance has stated its speed.
  std::optional<ramp_up_cause> requested_ramp_up_ = ramp_up_cause::kDaemonStart;
  pause_guard pause_guard_;
  transit_clock transit_clock_;
  double queued_factor_ = 1;  // speed by which the queue is ordered
  std::uint32_t running_ = 0;
  std::uint32_t probes_in_progress_ = 0;
  instant oldest_probe_at_{};  // begin of the probes in progress
  bool draining_ = false;
  bool refuses_new_calls_ = false;
  instant end_at_ = instant::max();  // the daemon stops then
  bool withholds_unwritten_ = false;
  // The waiting calls were checked against it.
  std::shared_ptr<const snapshot> checked_view_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_TARGET_INTERNALS_H_
