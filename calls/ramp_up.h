// Limit of concurrent calls to an instance that has just started or recovered.
// Internal to calls/.
//
// Designed for instances with 4 to 64 slots and service times of 20 to 1,000 ms
// that tolerate only a part of their slots for some seconds. The limit starts
// small. It doubles after each round of calls whose latency stays flat, and is
// cut at once if the latency rises or the instance rejects a call. After a cut
// it rises by a quarter a round. Latency is compared with the usual one of the
// same route, and with that of the first round: an instance that is slow
// whatever its load is not held back. Load beyond the limit waits in the queue
// or is refused as with fewer slots.

#ifndef PARSLEYYARD_CALLS_RAMP_UP_H_
#define PARSLEYYARD_CALLS_RAMP_UP_H_

#include "calls/calls.h"

#include <array>
#include <map>
#include <string>

namespace parsleyyard {

// Why the instance has to prove itself.
enum class ramp_up_cause : std::uint8_t {
  kDaemonStart,  // the instance may have started with the daemon
  kInstanceStart,
  kRefusedConnection,
  kEvacuationEnd,
  kRejections
};
inline constexpr std::array<std::string_view, 5> kRampUpCauseNames = {
    "start of the daemon", "start of the instance", "refused connection",
    "end of an evacuation", "run of rejections"};
constexpr std::string_view NameOf(ramp_up_cause cause) {
  return kRampUpCauseNames[static_cast<std::size_t>(cause)];
}

// A call that the instance ended.
struct ramp_up_sample {
  std::string route;
  instant started_at{};
  duration usual_time{};  // time that it took, at usual speed of the instance
  // Usual time of the route before the ramp-up; empty: not known.
  std::optional<duration> expected;
};

class ramp_up {
 public:
  // Begins, or begins anew. The limit starts at a quarter of the slots, at
  // most 8.
  void Begin(ramp_up_cause cause, std::uint32_t slots, instant now);
  void End() { active_ = false; }
  // The instance is known to be warm. Raises the limit to half of the slots if
  // the ramp-up has begun only because the daemon started.
  void OnWarm();
  // Call it at each update of the view and of the time. Ends a ramp-up that
  // low demand would keep from its end.
  void Update(std::uint32_t slots, instant now);

  // A call was started; `running` includes it.
  void OnStarted(std::uint32_t running);
  void OnAnswered(const ramp_up_sample& sample, instant now);
  // The instance rejected a call. `running` counts the calls that it still
  // runs.
  void OnRejected(instant started_at, std::uint32_t running, instant now);

  bool IsActive() const { return active_; }
  // Returns the limit of concurrent calls, at most the slots.
  std::uint32_t Limit() const { return active_ ? limit_ : slots_; }
  // Returns a line for the log if a ramp-up began or ended since the last call.
  std::optional<ramp_up_line> TakeChange(instant now);

  std::uint64_t Begun() const { return begun_; }
  std::uint64_t Raises() const { return raises_; }
  std::uint64_t Cuts() const { return cuts_; }

 private:
  // Usual time of a route, from the ramp-up itself.
  struct route_reference {
    double mean_us = 0;
    std::uint32_t calls = 0;
  };

  std::optional<double> LogRatio(const ramp_up_sample& sample);
  void BeginRound(instant now);
  void EndRound(double mean, instant now);
  void Cut(double limit, instant now);

  bool active_ = false;
  ramp_up_cause cause_ = ramp_up_cause::kDaemonStart;
  std::uint32_t slots_ = 1;
  std::uint32_t limit_ = 1;
  bool was_cut_ = false;
  instant began_at_{};
  instant quiet_since_{};  // latest cut, or the begin
  std::map<std::string, route_reference> references_;
  // Lowest mean of a round, as the logarithm of the ratio to the usual time;
  // empty before the end of the first round.
  std::optional<double> lowest_mean_;
  std::uint32_t steep_rounds_ = 0;  // rounds in a row that were not flat
  // Present round: calls that were started since it began.
  instant round_began_at_{};
  std::uint32_t calls_ = 0;
  std::uint32_t compared_ = 0;  // calls with a time to compare with
  double log_sum_ = 0;
  std::uint32_t peak_running_ = 0;
  // Rejections in a row while no ramp-up is active.
  std::uint32_t rejected_in_a_row_ = 0;

  bool reported_active_ = false;
  std::uint64_t begun_ = 0;
  std::uint64_t raises_ = 0;
  std::uint64_t cuts_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_RAMP_UP_H_
