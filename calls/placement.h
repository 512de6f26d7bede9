// Choice of the instance that a call is sent to. Internal to calls/.
//
// Traffic between failure domains is expensive and adds delay, so a call stays
// as near as possible while it is expected to meet its objective. Traffic
// between regions shares a narrow link: a call leaves the region only if no
// instance there is expected to answer well before the deadline. The choice
// takes into account that instances differ in speed, that some fail calls
// although their health checks pass, and that a full host refuses the next
// calls of a route as well.
//
// Instances that state their speed are chosen by their free capacity instead
// (paced_placement.cc): at random among those that have some, since all senders
// would choose the same best one.

#ifndef PARSLEYYARD_CALLS_PLACEMENT_H_
#define PARSLEYYARD_CALLS_PLACEMENT_H_

#include "calls/calls.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

// Instance that Choose() has selected, and its host.
struct chosen_instance {
  host_address host;
  std::string instance;
  bool leaves_region = false;
};

// Time that a call has left.
struct call_time {
  duration objective{};  // until its latency objective; negative: missed
  duration deadline{};
};

class placement {
 public:
  placement(const sender_options& options, random_source& random)
      : options_(options), random_(random) {}

  // Returns the nearest instance that is expected to answer within the
  // objective, else the one that is expected to answer first. Skips the hosts
  // in `tried_hosts` and those that are full or stop. Empty if no instance is
  // left. If instances state their speed, also empty if all are expected to
  // refuse the call.
  std::optional<chosen_instance> Choose(
      const snapshot& view,
      const call_plan& plan,
      const call_time& left,
      const std::set<host_address>& tried_hosts,
      instant now);
  // Returns true if the view has an instance on that host that may run the
  // call.
  bool IsAllowed(const snapshot& view,
                 const call_plan& plan,
                 const host_address& host) const;

  // Returns true if the view has an instance that may run the call.
  bool HasEligible(const snapshot& view, const call_plan& plan) const;

  // Records that an attempt at that host was begun.
  void OnSent(const host_address& host);
  // Records that an attempt at that host has ended.
  void OnEnded(const host_address& host);
  // Stores a load report. `route` is the route of the answer that carried it;
  // empty if unknown.
  void OnLoad(const host_address& host,
              const load_report& report,
              const std::string& route,
              instant now);
  // Stores a load report that the host sent by itself. Ignored if no call was
  // sent there.
  void OnLoadUpdate(const host_address& host,
                    const load_report& report,
                    instant now);
  // Records the time that a call to another region and its answer were on their
  // way.
  void OnRegionRoundTrip(duration round_trip, instant now);
  // Records whether an attempt at that host failed.
  void OnOutcome(const host_address& host, bool failed);
  // Records that the host refused a call of that route because it is full. It
  // gets no other one until some of its calls have ended.
  void OnFull(const host_address& host, const std::string& route, instant now);
  // Returns true if the last load report of the host stated the speed of its
  // instance.
  bool StatesSpeed(const host_address& host) const;
  // Returns true if the last load report of the host announced that its daemon
  // stops.
  bool HasAnnouncedStop(const host_address& host) const;
  // Records that the daemon of the host stops and refuses all calls. It gets no
  // other one until the link to it is lost.
  void OnDaemonStops(const host_address& host);
  // Records that the link to the host was lost. Its daemon may start again.
  void OnLinkDown(const host_address& host);
  // Adds a penalty to the host until the given time, so that calls go elsewhere
  // if they can.
  void Avoid(const host_address& host, instant until);
  // Returns the mean service time of such a call over the instances of its
  // service that have reported, or a default if none has.
  duration MeanServiceTime(const snapshot& view, const call_plan& plan) const;
  // Returns the time until the instances that may run the call are expected to
  // have room for a new one like it, as a mean weighted by the calls that each
  // can end in a second. Zero if there is none.
  duration TimeUntilRoom(const snapshot& view,
                         const call_plan& plan,
                         instant now) const;

 private:
  // Tiers of distance: own failure domain, own region, another region.
  static constexpr std::size_t kTiers = 3;
  // Network round trip to an instance, by tier.
  static constexpr std::array<duration, kTiers> kRoundTripTimes = {
      std::chrono::milliseconds(1), std::chrono::milliseconds(3),
      std::chrono::milliseconds(26)};
  // Added to the expected latency of an instance: in proportion to its failure
  // share, and once more if it drains or calls avoid its host.
  static constexpr duration kFailurePenalty = std::chrono::seconds(2);

  // Service time of a route, and the stated speed that it was reported with.
  struct route_time {
    duration service_time{};
    std::uint32_t speed_percent = 0;
  };
  struct host_load {
    std::uint32_t outstanding = 0;        // attempts of this daemon in flight
    std::uint32_t sent_since_report = 0;  // attempts sent after the last report
    load_report report;
    std::map<std::string, route_time> service_time_by_route;
    instant reported_at{};
    double failure_share = 0;  // moving average, 0 to 1
    instant avoid_until{};
    bool stopping = false;  // its daemon refuses all calls until it restarts
    std::map<std::string, instant> full_until_by_route;
  };
  struct candidate {
    const known_instance* target = nullptr;
    duration expected_latency{};    // until the answer arrives here
    std::uint64_t tie_breaker = 0;  // random
  };

  bool IsEligible(const snapshot& view,
                  const call_plan& plan,
                  const known_instance& target) const;
  bool RefusesCalls(const host_address& host,
                    const std::string& route,
                    instant now) const;
  chosen_instance ToChosen(const known_instance& target) const;
  using candidates = std::array<candidate, kTiers>;
  candidates FindBestByTier(const snapshot& view,
                            const call_plan& plan,
                            const std::set<host_address>& tried_hosts,
                            instant now);
  static const candidate* PickTier(const candidates& best_by_tier,
                                   const call_time& left);
  std::size_t TierOf(const known_instance& target) const;
  duration ServiceTime(const host_load& load, const std::string& route) const;
  duration TimeUntilRoom(const host_load& load,
                         const known_instance& target,
                         const call_plan& plan,
                         instant now) const;
  static bool IsCurrent(const host_load& load, instant now);
  static std::uint32_t CallsInProgress(const host_load& load, instant now);
  static std::uint32_t LimitOf(const host_load& load,
                               const known_instance& target);
  duration ExpectedLatency(const known_instance& target,
                           const std::string& route,
                           std::size_t tier,
                           instant now) const;

  // An instance as a target of one call, by what is known of its capacity.
  struct paced_candidate {
    const known_instance* target = nullptr;
    std::size_t tier = 0;
    bool is_free = false;     // a slot is free
    std::uint32_t limit = 1;  // slots
    std::uint32_t in_progress = 0;
    bool shunned = false;        // fails calls, leaves or is avoided
    bool report_is_new = false;  // recent enough to rely on a refusal
    duration wait{};             // expected until the call starts
    duration max_wait{};         // above it, the target refuses the call
    duration latency{};          // expected until the answer arrives here
    double weight = 0;           // calls a second that it has room for
    std::uint64_t tie_breaker = 0;
  };
  // Instances that may get a call, and how full those in the region are.
  struct paced_view {
    std::vector<paced_candidate> candidates;
    double slots = 0;        // in the region, also of hosts that refuse calls
    double in_progress = 0;  // calls there, running or waiting
  };
  // What the routes that lead to a service have in common.
  struct service_routes {
    std::uint32_t first_priority = 0;  // of the most urgent route
    bool bound_to_region = false;  // a route has this region alone as its home
  };
  using pool = std::vector<const paced_candidate*>;
  bool StateTheirSpeed(const std::vector<const known_instance*>& targets) const;
  paced_view EvaluatePaced(const snapshot& view,
                           const call_plan& plan,
                           const call_time& left,
                           const std::set<host_address>& tried_hosts,
                           instant now) const;
  paced_candidate Evaluate(const known_instance& target,
                           const call_plan& plan,
                           const call_time& left,
                           duration mean_service_time,
                           instant now) const;
  const paced_candidate* ChoosePaced(const paced_view& evaluated,
                                     const snapshot& view,
                                     const call_plan& plan,
                                     const call_time& left,
                                     instant now);
  const service_routes& RoutesOf(const snapshot& view,
                                 const std::string& service);
  double SpillShare(const paced_view& evaluated, instant now) const;
  const paced_candidate* ChooseElsewhere(const paced_view& evaluated,
                                         const call_time& left);
  const paced_candidate* DrawOne(const pool& from);
  const paced_candidate* DrawTwoChoices(const pool& from);

  const sender_options& options_;
  random_source& random_;
  std::unordered_map<host_address, host_load> loads_;
  duration link_delay_{};  // mean delay between regions beyond the usual
  instant link_delay_at_{};
  std::shared_ptr<const configuration> routes_from_;
  std::map<std::string, service_routes> routes_by_service_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_PLACEMENT_H_
