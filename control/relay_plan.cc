// Who passes an update on to whom.

#include "control/control.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <set>

namespace parsleyyard {

namespace {

constexpr relay_range kAll = {.from = 0,
                              .to = std::numeric_limits<std::uint64_t>::max()};

using ordered_peers = std::map<std::uint64_t, const relay_peer*>;

// The peers of one region within a span, in order.
ordered_peers Members(const std::vector<relay_peer>& peers,
                      const std::string& region,
                      const relay_range& span,
                      const std::set<host_address>& except) {
  ordered_peers members;
  for (const relay_peer& peer : peers) {
    const std::uint64_t order = AddressOrder(peer.address);
    const bool inside = order >= span.from && order <= span.to;
    if (inside && peer.region == region && !except.contains(peer.address)) {
      members[order] = &peer;
    }
  }
  return members;
}

// The first that can be reached; the first of all if none can.
const relay_peer* PickHead(const std::vector<const relay_peer*>& part) {
  const auto found =
      std::find_if(part.begin(), part.end(),
                   [](const relay_peer* peer) { return peer->reachable; });
  return found == part.end() ? part.front() : *found;
}

// Splits the members into `fan_out` parts of consecutive ones.
std::vector<relay_step> Split(const ordered_peers& members, unsigned fan_out) {
  std::vector<const relay_peer*> list;
  for (const auto& [order, peer] : members) {
    list.push_back(peer);
  }
  std::vector<relay_step> steps;
  const std::size_t parts = std::min<std::size_t>(fan_out, list.size());
  for (std::size_t i = 0; i < parts; ++i) {
    const std::size_t begin = list.size() * i / parts;
    const std::size_t end = list.size() * (i + 1) / parts;
    const std::vector<const relay_peer*> part(&list[begin],
                                              &list[begin] + (end - begin));
    relay_step step{.to = PickHead(part)->address};
    if (part.size() > 1) {
      step.span = {.from = AddressOrder(part.front()->address),
                   .to = AddressOrder(part.back()->address)};
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace

std::uint64_t AddressOrder(const host_address& address) {
  return XXH3_64bits(address.data(), address.size());
}

std::vector<relay_step> PlanFromOriginator(const host_address& self,
                                           const std::string& region,
                                           const std::vector<relay_peer>& peers,
                                           unsigned fan_out) {
  std::vector<relay_step> steps =
      Split(Members(peers, region, kAll, {self}), fan_out);
  std::set<std::string> others;
  for (const relay_peer& peer : peers) {
    if (peer.region != region) {
      others.insert(peer.region);
    }
  }
  for (const std::string& other : others) {
    for (relay_step& step : Split(Members(peers, other, kAll, {self}), 1)) {
      step.span = kAll;
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

std::vector<relay_step> PlanWithinRange(const host_address& self,
                                        const std::string& region,
                                        const host_address& root,
                                        const relay_range& span,
                                        const std::vector<relay_peer>& peers,
                                        unsigned fan_out) {
  return Split(Members(peers, region, span, {self, root}), fan_out);
}

}  // namespace parsleyyard
