// Limit on the requests to the instance of this host while it is cold. Internal
// to calls/.
//
// Combines what is known of the warm-up, the limits of the service and of the
// platform, and the count of the requests. After a power failure of all hosts,
// daemons and instances start together. A health check then shows that the
// instance started with this process, so callers need not wait for a window
// in which an earlier process could have sent requests.
//
// An instance may become cold again at any moment, and only the store or a
// health check can tell. While the store is silent, a warm instance gets no
// more requests than a cold one may get in a second until a health check
// confirms that it is still warm; after that, the limit applies.

#ifndef PARSLEYYARD_CALLS_COLD_LIMITER_H_
#define PARSLEYYARD_CALLS_COLD_LIMITER_H_

#include "calls/calls.h"
#include "calls/cold_pacer.h"
#include "calls/warm_up.h"

#include <deque>
#include <optional>

namespace parsleyyard {

class cold_limiter {
 public:
  cold_limiter(const cold_limits& limits, instant process_started_at)
      : limits_(limits),
        process_started_at_(process_started_at),
        pacer_(process_started_at) {}

  void SetLimits(const cold_limits& limits) { limits_ = limits; }
  // Sets the configuration of the instance's service; null: not known.
  void SetService(const service* config);
  void OnRegistration(instant cold_until) {
    warm_up_.OnRegistration(cold_until);
  }
  // The store has confirmed the view, and so what it says of the instance, at
  // that time.
  void OnViewConfirmed(instant confirmed_at);
  // The failure domain is no longer evacuated: the instance may have become
  // cold meanwhile.
  void OnEvacuationEnd(instant now);
  // `asked_at`: time at which the health check was begun, or an earlier one.
  void OnHealthCheck(const upstream_report& report,
                     instant asked_at,
                     instant now);

  bool IsCold(instant now) const { return warm_up_.IsCold(now); }
  // A call is about to be started.
  void OnStarted(instant now);
  // Returns true if only a health check can say whether the instance is cold,
  // or whether it became cold after the start of this process.
  bool NeedsHealthCheck(instant now) const;
  // Returns true if a health check is needed since the store can't say whether
  // the instance is still warm: it is due at once.
  bool NeedsConfirmation(instant now) const;
  // Returns the number of requests allowed in any second; empty: no limit.
  std::optional<double> MaxRate(instant now) const;
  // Returns true if a call may be started now.
  bool Allows(instant now) const;
  // Records the calls. See cold_pacer.
  cold_pacer& Pacer() { return pacer_; }

  // Returns a line for the log if the limit has changed since the last call.
  std::optional<cold_limit_line> TakeChange(instant now);

 private:
  // What the configuration says of the service.
  struct service_limits {
    duration warm_up{};
    double cold_rate = 0;  // requests a second; 0: no limit
  };

  std::optional<double> ColdRate() const;
  void Confirm(instant at);
  bool IsUnconfirmed(instant now) const;
  bool IsLimited(instant now) const;
  instant WarmAtTheLatest(instant now) const;
  bool IsColdSinceStart(duration cold_left, instant asked_at) const;

  cold_limits limits_;
  std::optional<service_limits> service_;  // empty: not known
  instant process_started_at_;
  warm_up warm_up_;
  cold_pacer pacer_;
  instant next_confirmation_{};  // earliest time of the next health check
  instant view_confirmed_at_{};  // by the store
  // The store or a health check has confirmed the state of the instance.
  instant confirmed_at_{};
  // Starts of calls since then, the latest ones.
  std::deque<instant> unconfirmed_starts_;
  // Last returned by TakeChange().
  bool reported_limited_ = false;
  std::optional<double> reported_rate_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_COLD_LIMITER_H_
