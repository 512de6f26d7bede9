// Owners of the workspaces' quotas.

#include "workspaces/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace parsleyyard {

namespace {

// Share of the permitted excess that tokens carried into a window may use up.
// Half of the excess is for the fallback; the rest is for the time between the
// sending of a request and its admission, and for the bucket's spare capacity.
constexpr double kCarriedShare = 0.4;
constexpr double kFallbackShare = 0.5;
constexpr duration kMinTokenLifetime = std::chrono::milliseconds(50);
constexpr duration kMaxTokenLifetime = std::chrono::seconds(1);

std::uint64_t WeightOf(const std::string& workspace, const host_address& host) {
  const std::uint64_t seed = XXH3_64bits(workspace.data(), workspace.size());
  return XXH3_64bits_withSeed(host.data(), host.size(), seed);
}

}  // namespace

duration TokenLifetime(const quota_limits& limits) {
  const auto carried = std::chrono::duration_cast<duration>(
      limits.window * (kCarriedShare * limits.over));
  return std::clamp(carried, kMinTokenLifetime, kMaxTokenLifetime);
}

double FallbackTotal(const quota_limits& limits, const quota& of) {
  const double window = std::chrono::duration<double>(limits.window).count();
  return kFallbackShare *
         (limits.over * (of.rate * window + of.burst) + limits.slack);
}

quota_map::quota_map(std::vector<host_address> hosts,
                     std::map<std::string, quota, std::less<>> quotas,
                     const quota_map* previous)
    : hosts_(std::move(hosts)), quotas_(std::move(quotas)) {
  std::sort(hosts_.begin(), hosts_.end());
  hosts_.erase(std::unique(hosts_.begin(), hosts_.end()), hosts_.end());
  if (hosts_.empty()) {
    return;
  }
  std::vector<host_address> added;
  if (previous != nullptr) {
    std::set_difference(hosts_.begin(), hosts_.end(), previous->hosts_.begin(),
                        previous->hosts_.end(), std::back_inserter(added));
  }
  for (const auto& [workspace, limit] : quotas_) {
    const auto known =
        previous ? previous->owners_.find(workspace) : owners_.cend();
    const bool stays = previous != nullptr &&
                       known != previous->owners_.end() &&
                       PositionOf(known->second.host).has_value();
    owner_choice choice = stays ? known->second : ChooseOwner(workspace);
    for (const host_address& host : added) {
      const std::uint64_t weight = WeightOf(workspace, host);
      if (weight > choice.weight) {
        choice = {.host = host, .weight = weight};
      }
    }
    owners_.emplace(workspace, std::move(choice));
  }
}

quota_map::owner_choice quota_map::ChooseOwner(
    const std::string& workspace) const {
  const host_address* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const host_address& host : hosts_) {
    const std::uint64_t weight = WeightOf(workspace, host);
    if (best == nullptr || weight > best_weight) {
      best = &host;
      best_weight = weight;
    }
  }
  return {.host = *best, .weight = best_weight};
}

std::optional<std::size_t> quota_map::PositionOf(
    const host_address& host) const {
  const auto found = std::lower_bound(hosts_.begin(), hosts_.end(), host);
  if (found == hosts_.end() || *found != host) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - hosts_.begin());
}

const host_address* quota_map::OwnerOf(std::string_view workspace) const {
  const auto found = owners_.find(workspace);
  return found == owners_.end() ? nullptr : &found->second.host;
}

const quota* quota_map::FindQuota(std::string_view workspace) const {
  const auto found = quotas_.find(workspace);
  return found == quotas_.end() ? nullptr : &found->second;
}

std::shared_ptr<const quota_map> BuildQuotaMap(const snapshot& view,
                                               const quota_map* previous) {
  std::map<std::string, quota, std::less<>> quotas;
  if (view.config != nullptr) {
    for (const workspace& each : view.config->workspaces()) {
      if (each.rate > 0) {
        quotas.emplace(each.name,
                       quota{.rate = each.rate, .burst = each.burst});
      }
    }
  }
  if (quotas.empty()) {
    return nullptr;
  }
  std::vector<host_address> hosts;
  hosts.reserve(view.instances.size());
  for (const auto& [id, known] : view.instances) {
    hosts.push_back(known.registration.host);
  }
  return std::make_shared<const quota_map>(std::move(hosts), std::move(quotas),
                                           previous);
}

}  // namespace parsleyyard
