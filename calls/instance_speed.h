// Speed of the instance of this host, as its responses state it. Internal to
// calls/.
//
// Designed for hosts that share their machine: for 0.15 of the time, in phases
// of about 600 ms, work takes 2.5 times as long. A response states how long
// work takes at that moment. Nothing is scaled until a response has stated it,
// while the statement is older than its lifetime, and while the service times
// contradict it.

#ifndef PARSLEYYARD_CALLS_INSTANCE_SPEED_H_
#define PARSLEYYARD_CALLS_INSTANCE_SPEED_H_

#include "model/model.h"

#include <deque>
#include <optional>

namespace parsleyyard {

class instance_speed {
 public:
  // Records the load that a response states, of a call or of a health check.
  void OnResponse(const std::optional<instance_load>& load, instant now);
  // Compares a call that ran between the two times with the usual service time
  // of its route. Decides whether the statements are trusted.
  void Compare(instant from, instant to, duration usual);

  // Returns true if the recent responses state the speed.
  bool IsStated() const { return stated_; }
  // Returns true unless the service times contradict the statements.
  bool IsTrusted() const { return trusted_; }
  // Returns the time that work takes now, relative to the usual.
  double Factor(instant now) const;
  // Returns the time that work takes from now on which usually takes `usual`.
  // Only the lifetime of the latest statement is scaled by it.
  duration Scale(duration usual, instant now) const;
  // Returns the time that the work between two times takes at usual speed. `to`
  // must not be before the latest statement.
  duration UsualTime(instant from, instant to) const;

 private:
  struct statement {
    instant at{};
    double factor = 1;
  };

  duration UsualTimeAsStated(instant from, instant to) const;

  std::deque<statement> statements_;  // oldest first
  bool stated_ = false;
  unsigned responses_without_ = 0;  // in a row
  // Mean by which the statements make the prediction of service times worse, as
  // a logarithm; below zero if they improve it.
  double contradiction_ = 0;
  bool trusted_ = true;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_INSTANCE_SPEED_H_
