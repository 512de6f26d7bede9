#include "calls/placement.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// A load report counts as current for this long; the instance has ended most of
// what it then ran.
constexpr duration kReportValid = std::chrono::milliseconds(1000);
// Assumed for a service of which no instance has reported yet.
constexpr duration kUnknownServiceTime = std::chrono::milliseconds(100);
// Assumed for an instance that has not reported: short, so that it is tried.
constexpr duration kUntriedServiceTime = std::chrono::milliseconds(5);
// Travel to and from an instance, by tier: own failure domain, own region,
// another region.
constexpr std::array<duration, 3> kTravel = {std::chrono::milliseconds(1),
                                             std::chrono::milliseconds(3),
                                             std::chrono::milliseconds(26)};
constexpr std::size_t kMostRoutes = 256;  // whose service times are kept
// A failing instance looks this much slower at a failure share of 1.
constexpr duration kFailingPenalty = std::chrono::seconds(2);
// Weight of the latest try in the failure share: about the last ten count.
constexpr double kFailingWeight = 0.1;
// Instances that are equally loaded within this time share the calls.
constexpr duration kTieWithin = std::chrono::milliseconds(2);
// Room left between the expected answer and the objective.
constexpr double kObjectiveMargin = 1.0;

}  // namespace

void placement::OnSent(const host_address& host) {
  host_load& load = loads_[host];
  ++load.outstanding;
  ++load.since_report;
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
  load.since_report = 0;
  const bool known = load.by_route.contains(route);
  if (report.route_us > 0 && (known || load.by_route.size() < kMostRoutes)) {
    load.by_route[route] = duration(report.route_us);
  }
}

void placement::OnOutcome(const host_address& host, bool failed) {
  double& failing = loads_[host].failing;
  failing += kFailingWeight * ((failed ? 1.0 : 0.0) - failing);
}

void placement::Avoid(const host_address& host, instant until) {
  instant& known = loads_[host].avoid_until;
  known = std::max(known, until);
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

std::size_t placement::TierOf(const known_instance& target) const {
  if (target.registration.failure_domain == options_.failure_domain) {
    return 0;
  }
  const std::string_view region =
      RegionOf(options_.regions, target.registration.failure_domain);
  return region == options_.region ? 1 : 2;
}

// Of one call of the route, or of any if the route is not known there.
duration placement::ServiceTime(const host_load& load,
                                const std::string& route) const {
  const auto found = load.by_route.find(route);
  if (found != load.by_route.end()) {
    return found->second;
  }
  return load.report.service_us > 0 ? duration(load.report.service_us)
                                    : kUntriedServiceTime;
}

duration placement::Expected(const known_instance& target,
                             const std::string& route,
                             std::size_t tier,
                             instant now) const {
  const auto found = loads_.find(target.registration.host);
  static const host_load kUnknown;
  const host_load& load = found == loads_.end() ? kUnknown : found->second;
  const bool reported = load.report.limit > 0;
  const bool current = reported && now - load.reported_at < kReportValid;
  const std::uint32_t limit = std::max<std::uint32_t>(
      1, reported ? load.report.limit : target.registration.slots);
  const std::uint32_t there =
      current ? std::max(load.report.running + load.report.waiting +
                             load.since_report,
                         load.outstanding)
              : load.outstanding;
  const duration service_time = ServiceTime(load, route);
  const duration others_time = ServiceTime(load, "");
  const std::uint32_t before = there >= limit ? there - limit + 1 : 0;
  duration expected =
      kTravel[tier] + service_time + others_time * before / limit;
  // Instances slow down when they are nearly full.
  expected += service_time * std::min(there, limit) / (4 * limit);
  const double rejected = current ? load.report.rejected_percent / 100.0 : 0;
  const double failing = std::max(load.failing, rejected);
  expected += std::chrono::duration_cast<duration>(kFailingPenalty * failing);
  if (load.avoid_until > now || (current && load.report.leaving)) {
    expected += kFailingPenalty;
  }
  return expected;
}

std::optional<placed_call> placement::Choose(
    const snapshot& view,
    const call_plan& plan,
    duration objective_left,
    const std::set<host_address>& tried,
    instant now) {
  const auto instances = view.by_service.find(plan.service);
  if (instances == view.by_service.end()) {
    return std::nullopt;
  }
  std::array<candidate, kTiers> best;
  for (const known_instance* target : instances->second) {
    if (tried.contains(target->registration.host) ||
        !IsEligible(view, plan, *target)) {
      continue;
    }
    const std::size_t tier = TierOf(*target);
    const candidate found{.target = target,
                          .expected = Expected(*target, plan.route, tier, now),
                          .tie = random_.Next()};
    candidate& leader = best[tier];
    const duration gap = found.expected - leader.expected;
    const bool tied = gap < kTieWithin && gap > -kTieWithin;
    if (leader.target == nullptr || (tied && found.tie > leader.tie) ||
        (!tied && gap < duration::zero())) {
      leader = found;
    }
  }
  const candidate* chosen = nullptr;
  for (const candidate& leader : best) {
    if (leader.target == nullptr) {
      continue;
    }
    const auto limit =
        std::chrono::duration_cast<duration>(objective_left * kObjectiveMargin);
    if (leader.expected <= limit) {
      chosen = &leader;
      break;
    }
    if (chosen == nullptr || leader.expected < chosen->expected) {
      chosen = &leader;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return placed_call{.host = chosen->target->registration.host,
                     .instance = chosen->target->registration.id};
}

duration placement::UsualServiceTime(const snapshot& view,
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
  return count > 0 ? sum / count : kUnknownServiceTime;
}

}  // namespace parsleyyard
