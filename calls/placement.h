// Choice of the instance that a call is sent to. Internal to calls/.
//
// Answers this load: bytes between failure domains are dear and add delay, so a
// call stays near as long as it is answered in time there; instances differ in
// speed; some fail although their health is good.

#ifndef PARSLEYYARD_CALLS_PLACEMENT_H_
#define PARSLEYYARD_CALLS_PLACEMENT_H_

#include "calls/calls.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

// An instance to send a call to.
struct placed_call {
  host_address host;
  std::string instance;
};

class placement {
 public:
  placement(const sender_options& options, random_source& random)
      : options_(options), random_(random) {}

  // The nearest instance that is expected to answer within the objective; else
  // the one that is expected to answer first.
  std::optional<placed_call> Choose(const snapshot& view,
                                    const call_plan& plan,
                                    duration objective_left,
                                    const std::set<host_address>& tried,
                                    instant now);
  // True unless the view forbids sending the call to that host.
  bool IsAllowed(const snapshot& view,
                 const call_plan& plan,
                 const host_address& host) const;

  void OnSent(const host_address& host);
  void OnEnded(const host_address& host);
  // `route`: of the call that brought the report; empty if not known.
  void OnLoad(const host_address& host,
              const load_report& report,
              const std::string& route,
              instant now);
  // A try there failed (true) or was answered (false).
  void OnOutcome(const host_address& host, bool failed);
  // Keeps calls away from a host for a while.
  void Avoid(const host_address& host, instant until);
  // Time that such a call takes at its instances, as they report.
  duration UsualServiceTime(const snapshot& view, const call_plan& plan) const;

 private:
  static constexpr std::size_t kTiers = 3;

  struct host_load {
    std::uint32_t outstanding = 0;   // sent by this daemon and not ended
    std::uint32_t since_report = 0;  // of these, sent after the last report
    load_report report;
    std::map<std::string, duration> by_route;  // service times
    instant reported_at{};
    double failing = 0;  // share of tries that failed of late
    instant avoid_until{};
  };
  struct candidate {
    const known_instance* target = nullptr;
    duration expected{};  // until the answer is here
    std::uint64_t tie = 0;
  };

  bool IsEligible(const snapshot& view,
                  const call_plan& plan,
                  const known_instance& target) const;
  std::size_t TierOf(const known_instance& target) const;
  duration ServiceTime(const host_load& load, const std::string& route) const;
  duration Expected(const known_instance& target,
                    const std::string& route,
                    std::size_t tier,
                    instant now) const;

  const sender_options& options_;
  random_source& random_;
  std::unordered_map<host_address, host_load> loads_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_PLACEMENT_H_
