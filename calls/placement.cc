#include "calls/placement.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// The load in a report counts as current for this long; after that, the
// instance has ended most of the calls that the report counted. The reported
// limit and service times stay in use.
constexpr duration kReportLifetime = std::chrono::milliseconds(1000);
// The same for a report of an instance that states its speed: while it is busy,
// its daemon pushes a report at least each second (load_push_options).
constexpr duration kPushedReportLifetime = std::chrono::milliseconds(2500);
// Service time of a service of which no instance has reported.
constexpr duration kDefaultServiceTime = std::chrono::milliseconds(100);
// Service time of an instance that has not reported. It is short, so that a new
// instance gets calls and reports.
constexpr duration kUnreportedServiceTime = std::chrono::milliseconds(5);
// Routes per host with a service time of their own.
constexpr std::size_t kMaxRoutes = 256;
// Weight of the latest attempt in the failure share: averages over about 10
// attempts.
constexpr double kFailureWeight = 0.1;
// Instances whose expected latencies differ by less than this share the calls.
constexpr duration kTieTolerance = std::chrono::milliseconds(2);
// A call leaves the region if the best instance there is not expected to answer
// within the time left until the deadline, divided by this. The rest is for the
// error of the estimate.
constexpr int kRegionDeadlineDivisor = 2;
// Share of the spare time of a call that it may wait at a target, as a divisor.
constexpr int kWaitDivisor = 2;
// Limits of the time for which a host counts as full. Within them it is the
// service time of the route, in which some of the host's calls end.
constexpr duration kMinFullTime = std::chrono::milliseconds(20);
constexpr duration kMaxFullTime = std::chrono::milliseconds(100);

}  // namespace

void placement::OnSent(const host_address& host) {
  host_load& load = loads_[host];
  ++load.outstanding;
  ++load.sent_since_report;
}

void placement::OnEnded(const host_address& host) {
  host_load& load = loads_[host];
  load.outstanding -= load.outstanding > 0 ? 1 : 0;
}

void placement::OnLoad(const host_address& host,
                       const load_report& report,
                       const std::string& route,
                       instant now) {
  host_load& load = loads_[host];
  load.report = report;
  load.reported_at = now;
  load.sent_since_report = 0;
  const bool known = load.service_time_by_route.contains(route);
  if (report.route_us > 0 &&
      (known || load.service_time_by_route.size() < kMaxRoutes)) {
    load.service_time_by_route[route] = {
        .service_time = duration(report.route_us),
        .speed_percent = report.speed_percent};
  }
  const bool has_free_slot = report.running + report.waiting < report.limit;
  if (report.speed_percent > 0 && has_free_slot) {
    load.full_until_by_route.clear();
  }
}

void placement::OnOutcome(const host_address& host, bool failed) {
  double& failure_share = loads_[host].failure_share;
  failure_share += kFailureWeight * ((failed ? 1.0 : 0.0) - failure_share);
}

void placement::Avoid(const host_address& host, instant until) {
  instant& known = loads_[host].avoid_until;
  known = std::max(known, until);
}

void placement::OnFull(const host_address& host,
                       const std::string& route,
                       instant now) {
  host_load& load = loads_[host];
  const bool known = load.full_until_by_route.contains(route);
  if (known || load.full_until_by_route.size() < kMaxRoutes) {
    load.full_until_by_route[route] =
        now + std::clamp(ServiceTime(load, route), kMinFullTime, kMaxFullTime);
  }
}

bool placement::HasAnnouncedStop(const host_address& host) const {
  const auto load = loads_.find(host);
  return load != loads_.end() && load->second.report.leaving;
}

void placement::OnDaemonStops(const host_address& host) {
  loads_[host].stopping = true;
}

void placement::OnLinkDown(const host_address& host) {
  host_load& load = loads_[host];
  load.stopping = false;
  load.report.leaving = false;
}

// Returns true if the host is known to refuse a call of that route: it stops
// or is full.
bool placement::RefusesCalls(const host_address& host,
                             const std::string& route,
                             instant now) const {
  const auto found = loads_.find(host);
  if (found == loads_.end()) {
    return false;
  }
  const host_load& load = found->second;
  const auto full_until = load.full_until_by_route.find(route);
  const bool full =
      full_until != load.full_until_by_route.end() && now < full_until->second;
  return full || load.stopping;
}

bool placement::IsEligible(const snapshot& view,
                           const call_plan& plan,
                           const known_instance& target) const {
  if (target.registration.draining ||
      view.evacuated.contains(target.registration.failure_domain)) {
    return false;
  }
  if (plan.home_regions.empty()) {
    return true;
  }
  const std::string_view region =
      RegionOf(options_.regions, target.registration.failure_domain);
  return std::find(plan.home_regions.begin(), plan.home_regions.end(),
                   region) != plan.home_regions.end();
}

bool placement::IsAllowed(const snapshot& view,
                          const call_plan& plan,
                          const host_address& host) const {
  const auto instances = view.by_service.find(plan.service);
  if (instances == view.by_service.end()) {
    return false;
  }
  return std::any_of(instances->second.begin(), instances->second.end(),
                     [&](const known_instance* target) {
                       return target->registration.host == host &&
                              IsEligible(view, plan, *target);
                     });
}

bool placement::HasEligible(const snapshot& view, const call_plan& plan) const {
  const auto instances = view.by_service.find(plan.service);
  return instances != view.by_service.end() &&
         std::any_of(instances->second.begin(), instances->second.end(),
                     [&](const known_instance* target) {
                       return IsEligible(view, plan, *target);
                     });
}

std::size_t placement::TierOf(const known_instance& target) const {
  if (target.registration.failure_domain == options_.failure_domain) {
    return 0;
  }
  const std::string_view region =
      RegionOf(options_.regions, target.registration.failure_domain);
  return region == options_.region ? 1 : 2;
}

// Returns the reported service time of the route, or of all routes if the host
// has not reported this route, or a short default if it has not reported at
// all.
duration placement::ServiceTime(const host_load& load,
                                const std::string& route) const {
  const auto found = load.service_time_by_route.find(route);
  if (found != load.service_time_by_route.end()) {
    const auto& [service_time, speed_percent] = found->second;
    const bool scales = speed_percent > 0 && load.report.speed_percent > 0;
    return scales ? service_time * load.report.speed_percent / speed_percent
                  : service_time;
  }
  return load.report.service_us > 0 ? duration(load.report.service_us)
                                    : kUnreportedServiceTime;
}

bool placement::IsCurrent(const host_load& load, instant now) {
  const duration lifetime =
      load.report.speed_percent > 0 ? kPushedReportLifetime : kReportLifetime;
  return load.report.limit > 0 && now - load.reported_at < lifetime;
}

// Returns the number of calls that the instance runs or keeps waiting, as far
// as this daemon knows.
std::uint32_t placement::CallsInProgress(const host_load& load, instant now) {
  return IsCurrent(load, now)
             ? std::max(load.report.running + load.report.waiting +
                            load.sent_since_report,
                        load.outstanding)
             : load.outstanding;
}

std::uint32_t placement::LimitOf(const host_load& load,
                                 const known_instance& target) {
  return std::max<std::uint32_t>(
      1, load.report.limit > 0 ? load.report.limit : target.registration.slots);
}

duration placement::ExpectedLatency(const known_instance& target,
                                    const std::string& route,
                                    std::size_t tier,
                                    instant now) const {
  const auto found = loads_.find(target.registration.host);
  static const host_load kNoLoad;
  const host_load& load = found == loads_.end() ? kNoLoad : found->second;
  const std::uint32_t limit = LimitOf(load, target);
  const std::uint32_t in_progress = CallsInProgress(load, now);
  const duration service_time = ServiceTime(load, route);
  const duration mean_service_time = ServiceTime(load, "");
  const std::uint32_t ahead =
      in_progress >= limit ? in_progress - limit + 1 : 0;
  duration latency =
      kRoundTripTimes[tier] + service_time + mean_service_time * ahead / limit;
  // Instances slow down when most of their slots are in use.
  latency += service_time * std::min(in_progress, limit) / (4 * limit);
  const double rejected_share =
      IsCurrent(load, now) ? load.report.rejected_percent / 100.0 : 0;
  const double failure_share = std::max(load.failure_share, rejected_share);
  latency +=
      std::chrono::duration_cast<duration>(kFailurePenalty * failure_share);
  if (load.avoid_until > now || load.report.leaving) {
    latency += kFailurePenalty;
  }
  return latency;
}

// Returns the instance of each tier that is expected to answer first.
placement::candidates placement::FindBestByTier(
    const snapshot& view,
    const call_plan& plan,
    const std::set<host_address>& tried_hosts,
    instant now) {
  candidates best_by_tier;
  const auto instances = view.by_service.find(plan.service);
  if (instances == view.by_service.end()) {
    return best_by_tier;
  }
  for (const known_instance* target : instances->second) {
    const host_address& host = target->registration.host;
    if (tried_hosts.contains(host) || RefusesCalls(host, plan.route, now) ||
        !IsEligible(view, plan, *target)) {
      continue;
    }
    const std::size_t tier = TierOf(*target);
    const candidate evaluated{
        .target = target,
        .expected_latency = ExpectedLatency(*target, plan.route, tier, now),
        .tie_breaker = random_.Next()};
    candidate& best_in_tier = best_by_tier[tier];
    const duration difference =
        evaluated.expected_latency - best_in_tier.expected_latency;
    const bool tied = difference < kTieTolerance && difference > -kTieTolerance;
    if (best_in_tier.target == nullptr ||
        (tied && evaluated.tie_breaker > best_in_tier.tie_breaker) ||
        (!tied && difference < duration::zero())) {
      best_in_tier = evaluated;
    }
  }
  return best_by_tier;
}

const placement::candidate* placement::PickTier(const candidates& best_by_tier,
                                                const call_time& left) {
  const candidate* chosen = nullptr;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const candidate& best_in_tier = best_by_tier[tier];
    if (best_in_tier.target == nullptr) {
      continue;
    }
    const bool leaves_region = tier == kTiers - 1;
    if (leaves_region && chosen != nullptr &&
        chosen->expected_latency <= left.deadline / kRegionDeadlineDivisor) {
      break;
    }
    if (best_in_tier.expected_latency <= left.objective) {
      return &best_in_tier;
    }
    if (chosen == nullptr ||
        best_in_tier.expected_latency < chosen->expected_latency) {
      chosen = &best_in_tier;
    }
  }
  return chosen;
}

chosen_instance placement::ToChosen(const known_instance& target) const {
  return {.host = target.registration.host,
          .instance = target.registration.id,
          .leaves_region = TierOf(target) == kTiers - 1};
}

std::optional<chosen_instance> placement::Choose(
    const snapshot& view,
    const call_plan& plan,
    const call_time& left,
    const std::set<host_address>& tried_hosts,
    instant now) {
  const auto instances = view.by_service.find(plan.service);
  if (instances != view.by_service.end() &&
      StateTheirSpeed(instances->second)) {
    const paced_view evaluated =
        EvaluatePaced(view, plan, left, tried_hosts, now);
    const paced_candidate* paced =
        ChoosePaced(evaluated, view, plan, left, now);
    return paced ? std::optional(ToChosen(*paced->target)) : std::nullopt;
  }
  const candidates best_by_tier = FindBestByTier(view, plan, tried_hosts, now);
  const candidate* chosen = PickTier(best_by_tier, left);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return ToChosen(*chosen->target);
}

// A target admits calls whose expected wait is at most half of their spare
// time, so a new call finds room once the queue is that short.
duration placement::TimeUntilRoom(const host_load& load,
                                  const known_instance& target,
                                  const call_plan& plan,
                                  instant now) const {
  const std::uint32_t limit = LimitOf(load, target);
  const std::uint32_t in_progress = CallsInProgress(load, now);
  const duration queue_time =
      in_progress >= limit
          ? ServiceTime(load, "") * (in_progress - limit + 1) / limit
          : duration::zero();
  const duration spare_time = std::max(
      duration::zero(), plan.objective - ServiceTime(load, plan.route));
  duration until_room =
      std::max(duration::zero(), queue_time - spare_time / kWaitDivisor);
  const auto full_until = load.full_until_by_route.find(plan.route);
  if (full_until != load.full_until_by_route.end()) {
    until_room = std::max(until_room, full_until->second - now);
  }
  return until_room;
}

duration placement::TimeUntilRoom(const snapshot& view,
                                  const call_plan& plan,
                                  instant now) const {
  const auto instances = view.by_service.find(plan.service);
  if (instances == view.by_service.end()) {
    return duration::zero();
  }
  double weighted_us = 0;
  double weights = 0;
  for (const known_instance* target : instances->second) {
    const auto found = loads_.find(target->registration.host);
    if (found == loads_.end() || found->second.stopping ||
        !IsEligible(view, plan, *target)) {
      continue;
    }
    const host_load& load = found->second;
    const auto service_us =
        static_cast<double>(ServiceTime(load, plan.route).count());
    const auto until_room_us =
        static_cast<double>(TimeUntilRoom(load, *target, plan, now).count());
    const double calls_per_us = LimitOf(load, *target) / service_us;
    weighted_us += calls_per_us * until_room_us;
    weights += calls_per_us;
  }
  return weights > 0 ? duration(duration::rep(weighted_us / weights))
                     : duration::zero();
}

duration placement::MeanServiceTime(const snapshot& view,
                                    const call_plan& plan) const {
  const auto instances = view.by_service.find(plan.service);
  duration sum{};
  int count = 0;
  if (instances != view.by_service.end()) {
    for (const known_instance* target : instances->second) {
      const auto found = loads_.find(target->registration.host);
      if (found != loads_.end() && found->second.report.service_us > 0) {
        sum += ServiceTime(found->second, plan.route);
        ++count;
      }
    }
  }
  return count > 0 ? sum / count : kDefaultServiceTime;
}

}  // namespace parsleyyard
