#include "decide/target_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace parsleyyard {

void target_choice::OnEnded(const host_address& host) {
  host_load& load = loads_[host];
  load.outstanding -= load.outstanding > 0 ? 1 : 0;
}

void target_choice::OnLoad(const host_address& host,
                           const load_report& report,
                           instant now) {
  host_load& load = loads_[host];
  load.report = report;
  load.reported_at = now;
}

// What refuses a low class may still take a higher one.
void target_choice::Avoid(const host_address& host,
                          call_class priority,
                          instant until) {
  host_load& load = loads_[host];
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    load.avoid_until[i] = until;
  }
}

bool target_choice::IsHome(const snapshot& view,
                           const call_plan& plan,
                           const instance& target) const {
  if (plan.home_regions.empty()) {
    return true;
  }
  const std::string_view region =
      view.manifest_in_force->RegionOf(target.failure_domain);
  return std::find(plan.home_regions.begin(), plan.home_regions.end(),
                   region) != plan.home_regions.end();
}

bool target_choice::IsAllowed(const snapshot& view,
                              const call_plan& plan,
                              const host_address& host) const {
  const instance* target =
      view.manifest_in_force->FindInstanceAt(host, plan.service);
  return target != nullptr && IsHome(view, plan, *target) &&
         !view.out->IsOut(host, target->failure_domain) &&
         !view.IsLeaving(host);
}

std::size_t target_choice::TierOf(const snapshot& view,
                                  const instance& target) const {
  if (options_.locality == locality_mode::kNone ||
      target.failure_domain == options_.failure_domain) {
    return 0;
  }
  return view.manifest_in_force->RegionOf(target.failure_domain) ==
                 options_.region
             ? 1
             : 2;
}

// A window of the instances that depends on this daemon, so that each daemon
// keeps few connections and all instances are used.
target_choice::tier_list target_choice::SortIntoTiers(
    const snapshot& view,
    const service& wanted,
    const call_plan& plan,
    const std::set<host_address>& tried,
    instant now) const {
  tier_list tiers;
  const auto priority = static_cast<std::size_t>(plan.priority);
  const std::size_t count = wanted.instances.size();
  const std::size_t first =
      count > options_.subset
          ? XXH3_64bits(options_.address.data(), options_.address.size()) %
                count
          : 0;
  for (std::size_t i = 0; i < std::min<std::size_t>(count, options_.subset);
       ++i) {
    const instance& target = wanted.instances[(first + i) % count];
    const auto load = loads_.find(target.host);
    const bool avoided =
        load != loads_.end() && load->second.avoid_until[priority] > now;
    const bool out = view.out->IsOut(target.host, target.failure_domain) ||
                     view.IsLeaving(target.host);
    if (!out && !avoided && !tried.contains(target.host) &&
        IsHome(view, plan, target)) {
      tiers[TierOf(view, target)].push_back(&target);
    }
  }
  return tiers;
}

double target_choice::Utilisation(const host_address& host,
                                  std::uint32_t slots,
                                  instant now) const {
  const auto found = loads_.find(host);
  if (found == loads_.end()) {
    return 0;
  }
  const host_load& load = found->second;
  const bool fresh =
      load.report.limit > 0 && now - load.reported_at < options_.load_validity;
  const std::uint32_t reported =
      fresh ? load.report.in_flight + load.report.queued : 0;
  const std::uint32_t limit = fresh ? load.report.limit : slots;
  return static_cast<double>(std::max(reported, load.outstanding)) / limit;
}

target_choice::candidate target_choice::BetterOfTwo(
    const std::vector<const instance*>& tier,
    std::uint32_t slots,
    instant now) {
  const instance* a = tier[random_.Below(tier.size())];
  const instance* b = tier[random_.Below(tier.size())];
  const double load_a = Utilisation(a->host, slots, now);
  const double load_b = Utilisation(b->host, slots, now);
  return load_b < load_a ? candidate{b, load_b} : candidate{a, load_a};
}

std::optional<host_address> target_choice::Choose(
    const snapshot& view,
    const call_plan& plan,
    const std::set<host_address>& tried,
    instant now) {
  const service* wanted = view.manifest_in_force->FindService(plan.service);
  if (wanted == nullptr) {
    return std::nullopt;
  }
  std::optional<candidate> best;
  for (const auto& tier : SortIntoTiers(view, *wanted, plan, tried, now)) {
    if (tier.empty()) {
      continue;
    }
    const candidate found = BetterOfTwo(tier, wanted->slots, now);
    if (!best || found.utilisation < best->utilisation) {
      best = found;
    }
    const bool spills = found.utilisation * 100 >= options_.spill_percent;
    if (!spills || options_.locality == locality_mode::kHard) {
      break;
    }
  }
  return best ? std::optional(best->target->host) : std::nullopt;
}

}  // namespace parsleyyard
