// Choice among instances that state their speed, by their free capacity.
//
// Designed for 30 to 80 senders that each place 10 to 50 calls a second at 30
// to 60 instances with a few slots, at 0.5 to 1.5 times the capacity, and that
// know the load of each instance by reports up to some 100 ms old. In that
// time, the other senders place several calls at the same instance; a random
// choice in proportion to the free capacity spreads them.

#include "calls/placement.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

// As the target does: factor on the expected service time, and share of the
// rest of its time that a call may wait. See kServiceTimeMargin and
// kMaxWaitShare in call_target.cc.
constexpr double kServiceTimeMargin = 1.4;
constexpr double kMaxWaitShare = 0.5;
// Share of the greatest wait at a target up to which a call is sent there:
// other senders place calls there too.
constexpr double kSafeWaitShare = 0.8;
// Share of it up to which a call stays in the own failure domain though others
// have free slots.
constexpr double kNearWaitShare = 0.25;
// Calls less urgent than others of the service may wait this much less: the
// more urgent ones that arrive later start before them.
constexpr double kLessUrgentFactor = 0.5;
// Calls in progress per slot of the region from which calls that may leave it
// begin to, and from which all do that can. A class that may not leave needs
// the rest of the slots while it bursts.
constexpr double kFirstSpillLoad = 0.8;
constexpr double kFullSpillLoad = 1.0;
// Delay between regions beyond the usual at which no call spills any more: the
// link is busy, and other traffic needs it.
constexpr duration kMaxLinkDelay = std::chrono::milliseconds(40);
// Age of the last measured delay from which the link counts as idle.
constexpr duration kLinkDelayLifetime = std::chrono::seconds(2);
// Share of the objective within which a call that spills must be answered.
constexpr double kSpillObjectiveShare = 0.7;
// Share of failed or rejected calls from which an instance is a last resort.
constexpr double kShunnedFailureShare = 0.5;
// Weight of the latest call in the mean delay between regions.
constexpr double kLinkDelayWeight = 0.2;

duration Scale(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

std::uint32_t CountLessUrgent(const load_report& report,
                              std::uint32_t priority) {
  std::uint32_t calls = 0;
  for (const waiting_group& group : report.waiting_by_priority) {
    calls += group.priority > priority ? group.calls : 0;
  }
  return calls;
}

}  // namespace

void placement::OnLoadUpdate(const host_address& host,
                             const load_report& report,
                             instant now) {
  if (loads_.contains(host)) {
    OnLoad(host, report, "", now);
  }
}

void placement::OnRegionRoundTrip(duration round_trip, instant now) {
  const duration excess =
      std::max(duration::zero(), round_trip - kRoundTripTimes[kTiers - 1]);
  link_delay_ += Scale(excess - link_delay_, kLinkDelayWeight);
  link_delay_at_ = now;
}

bool placement::StateTheirSpeed(
    const std::vector<const known_instance*>& targets) const {
  return std::any_of(targets.begin(), targets.end(),
                     [&](const known_instance* target) {
                       return StatesSpeed(target->registration.host);
                     });
}

bool placement::StatesSpeed(const host_address& host) const {
  const auto load = loads_.find(host);
  return load != loads_.end() && load->second.report.speed_percent > 0;
}

// An instance that has not reported is taken for an idle one of mean speed.
placement::paced_candidate placement::Evaluate(const known_instance& target,
                                               const call_plan& plan,
                                               const call_time& left,
                                               duration mean_service_time,
                                               instant now) const {
  const auto found = loads_.find(target.registration.host);
  static const host_load kNoLoad;
  const host_load& load = found == loads_.end() ? kNoLoad : found->second;
  const bool reported = load.report.limit > 0 && load.report.service_us > 0;
  const duration route_time =
      reported ? ServiceTime(load, plan.route) : mean_service_time;
  const duration any_route_time =
      reported ? ServiceTime(load, "") : mean_service_time;
  const std::uint32_t limit = LimitOf(load, target);
  const std::uint32_t in_progress = CallsInProgress(load, now);
  const bool current = IsCurrent(load, now);
  paced_candidate result{.target = &target,
                         .tier = TierOf(target),
                         .is_free = in_progress < limit,
                         .limit = limit,
                         .in_progress = in_progress,
                         .report_is_new = current};
  if (!result.is_free) {
    // The target displaces less urgent calls if needed.
    const std::uint32_t less_urgent =
        current ? CountLessUrgent(load.report, plan.priority) : 0;
    const std::uint32_t before =
        std::max(limit, in_progress - std::min(in_progress, less_urgent));
    result.wait = any_route_time * (before - limit + 1) / limit;
  }
  const duration transit = kRoundTripTimes[result.tier];
  const bool past_objective = left.objective < transit + route_time;
  const duration due_in =
      (past_objective ? left.deadline : left.objective) - transit / 2;
  result.max_wait = std::max(
      duration::zero(),
      Scale(due_in - Scale(route_time, kServiceTimeMargin), kMaxWaitShare));
  const double failure_share = std::max(
      load.failure_share, current ? load.report.rejected_percent / 100.0 : 0.0);
  result.shunned = failure_share >= kShunnedFailureShare ||
                   load.avoid_until > now || load.report.leaving;
  result.latency = transit + route_time + result.wait +
                   Scale(kFailurePenalty, failure_share);
  const duration spare_wait = std::max(
      duration::zero(), Scale(result.max_wait, kSafeWaitShare) - result.wait);
  const double seconds_per_call =
      std::max(1e-6, std::chrono::duration<double>(any_route_time).count());
  const double room = result.is_free
                          ? limit - in_progress
                          : std::chrono::duration<double>(spare_wait).count() *
                                limit / seconds_per_call;
  result.weight = room * (1 - failure_share) / seconds_per_call;
  return result;
}

placement::paced_view placement::EvaluatePaced(
    const snapshot& view,
    const call_plan& plan,
    const call_time& left,
    const std::set<host_address>& tried_hosts,
    instant now) const {
  paced_view result;
  const duration mean_service_time = MeanServiceTime(view, plan);
  for (const known_instance* target :
       view.by_service.find(plan.service)->second) {
    const host_address& host = target->registration.host;
    if (!IsEligible(view, plan, *target)) {
      continue;
    }
    const paced_candidate evaluated =
        Evaluate(*target, plan, left, mean_service_time, now);
    const bool refuses = RefusesCalls(host, plan.route, now);
    if (evaluated.tier < kTiers - 1) {
      result.slots += evaluated.limit;
      result.in_progress +=
          refuses ? std::max(evaluated.limit, evaluated.in_progress)
                  : evaluated.in_progress;
    }
    if (!refuses && !tried_hosts.contains(host)) {
      result.candidates.push_back(evaluated);
    }
  }
  return result;
}

// Draws one candidate with a probability in proportion to its weight.
const placement::paced_candidate* placement::DrawOne(const pool& from) {
  double sum = 0;
  for (const paced_candidate* each : from) {
    sum += each->weight;
  }
  constexpr std::uint64_t kSteps = 1U << 30;
  double rest =
      sum * static_cast<double>(random_.UniformBelow(kSteps)) / kSteps;
  for (const paced_candidate* each : from) {
    rest -= each->weight;
    if (rest < 0) {
      return each;
    }
  }
  return from.back();
}

// Returns the better one of two draws. Null if there is no candidate.
const placement::paced_candidate* placement::DrawTwoChoices(const pool& from) {
  if (from.empty()) {
    return nullptr;
  }
  const paced_candidate* first = DrawOne(from);
  const paced_candidate* second = DrawOne(from);
  return second->latency < first->latency ? second : first;
}

const placement::service_routes& placement::RoutesOf(
    const snapshot& view,
    const std::string& service) {
  if (routes_from_ != view.config) {
    routes_from_ = view.config;
    routes_by_service_.clear();
    for (const route& each : view.config->routes()) {
      for (const weighted_service& target : each.targets) {
        const auto [known, added] = routes_by_service_.try_emplace(
            target.service, service_routes{.first_priority = each.priority});
        known->second.first_priority =
            std::min(known->second.first_priority, each.priority);
        known->second.bound_to_region |=
            each.home_regions.size() == 1 &&
            each.home_regions.front() == options_.region;
      }
    }
  }
  return routes_by_service_[service];
}

// Returns the share of the calls that may leave the region and do so though it
// has room for them.
double placement::SpillShare(const paced_view& evaluated, instant now) const {
  const double load = evaluated.in_progress / std::max(1.0, evaluated.slots);
  const bool delay_is_known = now - link_delay_at_ < kLinkDelayLifetime;
  const double link_share =
      delay_is_known ? 1 - std::chrono::duration<double>(link_delay_) /
                               std::chrono::duration<double>(kMaxLinkDelay)
                     : 1;
  return std::clamp(
             (load - kFirstSpillLoad) / (kFullSpillLoad - kFirstSpillLoad), 0.0,
             1.0) *
         std::max(0.0, link_share);
}

// Returns a free instance of another region that answers well in the objective,
// or null.
const placement::paced_candidate* placement::ChooseElsewhere(
    const paced_view& evaluated,
    const call_time& left) {
  pool elsewhere;
  for (const paced_candidate& each : evaluated.candidates) {
    if (each.tier == kTiers - 1 && each.is_free && !each.shunned &&
        each.weight > 0 &&
        each.latency <= Scale(left.objective, kSpillObjectiveShare)) {
      elsewhere.push_back(&each);
    }
  }
  return DrawTwoChoices(elsewhere);
}

// Returns, of the first of these groups that is not empty: instances in the own
// failure domain without a long queue, free ones in the region, others there
// with room, those with room in other regions, those whose refusal is not
// certain. Within a group, instances that would miss the objective come last.
const placement::paced_candidate* placement::ChoosePaced(
    const paced_view& evaluated,
    const snapshot& view,
    const call_plan& plan,
    const call_time& left,
    instant now) {
  const service_routes& routes = RoutesOf(view, plan.service);
  constexpr std::uint64_t kSteps = 1000;
  if (routes.bound_to_region &&
      static_cast<double>(random_.UniformBelow(kSteps)) <
          kSteps * SpillShare(evaluated, now)) {
    if (const paced_candidate* spilled = ChooseElsewhere(evaluated, left)) {
      return spilled;
    }
  }
  const double safe_share =
      kSafeWaitShare *
      (plan.priority > routes.first_priority ? kLessUrgentFactor : 1);
  constexpr std::size_t kGroups = 4;
  std::array<pool, kGroups> groups;
  std::array<pool, kGroups> late;
  const paced_candidate* uncertain = nullptr;
  for (const paced_candidate& each : evaluated.candidates) {
    const bool leaves_region = each.tier == kTiers - 1;
    const bool has_room =
        each.is_free || each.wait <= Scale(each.max_wait, safe_share);
    const bool refuses = each.report_is_new && !has_room;
    if (!refuses &&
        (uncertain == nullptr || each.latency < uncertain->latency)) {
      uncertain = &each;
    }
    if (!has_room || each.shunned || each.weight <= 0) {
      continue;
    }
    const bool near =
        each.tier == 0 &&
        (each.is_free || each.wait <= Scale(each.max_wait, kNearWaitShare));
    const std::size_t group = leaves_region  ? 3
                              : near         ? 0
                              : each.is_free ? 1
                                             : 2;
    (each.latency <= left.objective ? groups : late)[group].push_back(&each);
  }
  for (const auto& by_group : {groups, late}) {
    for (const pool& from : by_group) {
      if (!from.empty()) {
        return DrawTwoChoices(from);
      }
    }
  }
  return uncertain;
}

}  // namespace parsleyyard
