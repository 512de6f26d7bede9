// Decisions on a request head alone.

#include "decide/decide.h"

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr std::size_t kHomeHostsTold = 8;

bool IsNeverRepeat(const route& matched, std::string_view method) {
  if (matched.repeat == repeat_rule::kByMethod) {
    return method != "GET" && method != "HEAD";
  }
  return matched.repeat == repeat_rule::kNever;
}

// Regions allowed by both lists; an empty list allows all.
std::vector<std::string> Intersect(const std::vector<std::string>& a,
                                   const std::vector<std::string>& b) {
  if (a.empty() || b.empty()) {
    return a.empty() ? b : a;
  }
  std::vector<std::string> both;
  std::copy_if(a.begin(), a.end(), std::back_inserter(both),
               [&](const std::string& name) {
                 return std::find(b.begin(), b.end(), name) != b.end();
               });
  return both;
}

std::vector<host_address> HostsIn(const snapshot& view,
                                  const std::vector<std::string>& regions) {
  std::vector<host_address> hosts;
  for (const host_entry& host : view.hosts->hosts) {
    const bool home =
        std::find(regions.begin(), regions.end(), host.region) != regions.end();
    const bool usable =
        !host.leaving && !view.out->IsOut(host.address, host.failure_domain);
    if (home && usable && hosts.size() < kHomeHostsTold) {
      hosts.push_back(host.address);
    }
  }
  return hosts;
}

}  // namespace

head_verdict DecideHead(const snapshot& view,
                        const request_facts& facts,
                        std::string_view own_region,
                        std::uint32_t max_depth) {
  head_verdict verdict;
  const auto refuse = [&](refusal_reason reason) {
    verdict.refusal = reason;
    return verdict;
  };
  if (facts.depth > max_depth) {
    return refuse(refusal_reason::kTooDeep);
  }
  const route* matched = view.manifest_in_force->FindRoute(facts.path);
  if (matched == nullptr) {
    return refuse(refusal_reason::kNoRoute);
  }
  const workspace* tenant =
      view.manifest_in_force->FindWorkspace(facts.workspace);
  if (tenant == nullptr && !facts.workspace.empty()) {
    return refuse(refusal_reason::kBadRequest);
  }
  static const std::vector<std::string> kAnywhere;
  const std::vector<std::string>& tenant_homes =
      tenant ? tenant->home_regions : kAnywhere;
  const std::vector<std::string> homes =
      Intersect(matched->home_regions, tenant_homes);
  const bool restricted =
      !matched->home_regions.empty() || !tenant_homes.empty();
  if (restricted &&
      std::find(homes.begin(), homes.end(), own_region) == homes.end()) {
    verdict.home_hosts = HostsIn(view, homes);
    return refuse(refusal_reason::kNotInHomeRegion);
  }
  verdict.plan = {.service = matched->service,
                  .route = matched->name,
                  .workspace = facts.workspace,
                  .home_regions = homes,
                  .priority = matched->priority,
                  .never_repeat = IsNeverRepeat(*matched, facts.method),
                  .depth = facts.depth,
                  .deadline = facts.deadline.count() > 0
                                  ? std::min(facts.deadline, matched->deadline)
                                  : matched->deadline};
  return verdict;
}

}  // namespace parsleyyard
