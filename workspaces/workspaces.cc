#include "workspaces/workspaces.h"

#include <algorithm>
#include <optional>

namespace parsleyyard {

namespace {

// Percentage of the revocation bound up to which a view may be used to accept a
// key. The rest covers what the age of a view does not count: the way of an
// update that is the first from its sender, and the difference between the
// clocks of store and hosts. Below 60 percent a host without a path to the
// store must still accept keys.
constexpr int kMaxAgePercent = 80;

// Returns the regions that both lists allow, where an empty list allows all;
// nothing if they have none in common.
std::optional<std::vector<std::string>> CommonRegions(
    const std::vector<std::string>& a,
    const std::vector<std::string>& b) {
  if (a.empty() || b.empty()) {
    return a.empty() ? b : a;
  }
  std::vector<std::string> common;
  for (const std::string& region : a) {
    if (std::find(b.begin(), b.end(), region) != b.end()) {
      common.push_back(region);
    }
  }
  return common.empty() ? std::nullopt : std::optional(std::move(common));
}

// Returns null if there are no keys, or different ones.
const std::string* OnlyKey(const std::vector<std::string>& keys) {
  const bool same =
      std::all_of(keys.begin(), keys.end(),
                  [&](const std::string& key) { return key == keys.front(); });
  return keys.empty() || !same ? nullptr : &keys.front();
}

}  // namespace

duration MaxKeyViewAge(const key_limits& limits) {
  // Divided first, since the bound may be close to duration::max().
  return limits.strict ? limits.revoke / 100 * kMaxAgePercent : duration::max();
}

key_decision DecideKey(const snapshot& view,
                       duration view_age,
                       const route& matched,
                       const std::vector<std::string>& keys,
                       duration max_view_age) {
  const configuration& config = *view.config;
  if (!config.has_workspaces() || !matched.needs_key) {
    return {};
  }
  const std::string* key = OnlyKey(keys);
  const workspace* owner = key ? config.FindWorkspaceByKey(*key) : nullptr;
  if (owner == nullptr) {
    const refusal_reason doubt = FindDoubt(view, view_age);
    const refusal_reason for_good = keys.empty() ? refusal_reason::kMissingKey
                                                 : refusal_reason::kUnknownKey;
    return {.refusal = doubt == refusal_reason::kNone ? for_good : doubt};
  }
  if (view_age > max_view_age) {
    return {.refusal = refusal_reason::kUnconfirmedKey, .owner = owner};
  }
  auto regions = CommonRegions(matched.home_regions, owner->home_regions);
  if (!regions) {
    return {.refusal = refusal_reason::kNoCommonRegion, .owner = owner};
  }
  return {.owner = owner, .home_regions = std::move(*regions)};
}

void ApplyWorkspace(const key_decision& decision, call_plan& plan) {
  if (decision.owner == nullptr) {
    return;
  }
  plan.workspace = decision.owner->name;
  plan.priority = decision.owner->priority.value_or(plan.priority);
  plan.home_regions = decision.home_regions;
}

}  // namespace parsleyyard
