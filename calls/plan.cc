// Makes the plan of a call from the head of its request.

#include "calls/calls.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Age of the view up to which it certainly has every change that must be in
// force, which is every change that the store acknowledged 2 s ago or earlier.
// The rest is for the time that a request takes to be read.
constexpr duration kMaxSureAge = std::chrono::milliseconds(1500);

bool SameTargets(const std::vector<weighted_service>& a,
                 const std::vector<weighted_service>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const weighted_service& x, const weighted_service& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

duration TimeLeft(duration limit, duration waited) {
  return std::max(limit - waited, duration::zero());
}

}  // namespace

// Smooth weighted round robin: each pick adds the weight of each service to its
// credit, chooses the service with the most credit and subtracts the sum of all
// weights from it.
const std::string& route_splitter::PickService(const route& from) {
  if (from.targets.size() == 1) {
    return from.targets.front().service;
  }
  std::int64_t sum = 0;
  for (const weighted_service& target : from.targets) {
    sum += target.weight;
  }
  split_state& state = states_[from.name];
  if (!SameTargets(state.targets, from.targets)) {
    state.targets = from.targets;
    state.credit.assign(from.targets.size(), 0);
    // Random initial credits: without them, daemons with few requests would all
    // choose the same services.
    for (std::int64_t& credit : state.credit) {
      credit = static_cast<std::int64_t>(random_.UniformBelow(sum));
    }
  }
  // A service with the weight 0 gets no request, whatever credit it has.
  std::size_t best = from.targets.size();
  for (std::size_t i = 0; i < from.targets.size(); ++i) {
    if (from.targets[i].weight == 0) {
      continue;
    }
    state.credit[i] += from.targets[i].weight;
    if (best == from.targets.size() || state.credit[i] > state.credit[best]) {
      best = i;
    }
  }
  state.credit[best] -= sum;
  return from.targets[best].service;
}

refusal_reason FindDoubt(const snapshot& view, duration view_age) {
  if (view.config == nullptr) {
    return refusal_reason::kStarting;
  }
  return view_age > kMaxSureAge ? refusal_reason::kStaleView
                                : refusal_reason::kNone;
}

refusal_reason CheckLimit(const snapshot& view,
                          duration view_age,
                          const exceeded_limit& exceeded) {
  const refusal_reason doubt = FindDoubt(view, view_age);
  if (doubt != refusal_reason::kNone) {
    return doubt;
  }
  const std::size_t configured = view.config->limits().*exceeded.configured;
  return exceeded.applied < configured ? refusal_reason::kOverBound
                                       : refusal_reason::kNone;
}

refusal_reason CheckHead(const snapshot& view,
                         duration view_age,
                         const request_facts& facts) {
  const bool routed =
      view.config != nullptr &&
      view.config->FindRoute(facts.virtual_host, facts.path) != nullptr;
  if (routed) {
    return refusal_reason::kNone;
  }
  const refusal_reason doubt = FindDoubt(view, view_age);
  return doubt == refusal_reason::kNone ? refusal_reason::kNoRoute : doubt;
}

head_decision DecideHead(const snapshot& view,
                         duration view_age,
                         const request_facts& facts,
                         route_splitter& splitter) {
  const refusal_reason refusal = CheckHead(view, view_age, facts);
  if (refusal != refusal_reason::kNone) {
    return {.refusal = refusal};
  }
  const route* found = view.config->FindRoute(facts.virtual_host, facts.path);
  duration deadline = found->timeout;
  if (facts.deadline > duration::zero()) {
    deadline = std::min(deadline, facts.deadline);
  }
  const duration objective = std::min(found->objective, deadline);
  return {
      .plan = {.service = splitter.PickService(*found),
               .route = found->name,
               .home_regions = found->home_regions,
               .priority = found->priority,
               .never_repeat = !found->idempotent,
               .max_attempts = std::max<std::uint32_t>(1, found->max_attempts),
               .deadline = TimeLeft(deadline, facts.waited),
               .objective = TimeLeft(objective, facts.waited)}};
}

bool IsIdempotent(const snapshot& view, const request_facts& facts) {
  const route* found =
      view.config ? view.config->FindRoute(facts.virtual_host, facts.path)
                  : nullptr;
  return found != nullptr && found->idempotent;
}

}  // namespace parsleyyard
