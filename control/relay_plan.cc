// Selects the peers that a daemon passes an update on to.

#include "control/control.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <set>

namespace parsleyyard {

namespace {

constexpr relay_range kWholeRegion = {
    .first = 0,
    .last = std::numeric_limits<std::uint64_t>::max()};

using ordered_peers = std::map<std::uint64_t, const relay_peer*>;

// The peers of one region within `range`, in the address order.
ordered_peers PeersInRange(const std::vector<relay_peer>& peers,
                           const std::string& region,
                           const relay_range& range,
                           const std::set<host_address>& except) {
  ordered_peers peers_in_range;
  for (const relay_peer& peer : peers) {
    const std::uint64_t order = AddressOrder(peer.address);
    const bool inside = order >= range.first && order <= range.last;
    if (inside && peer.region == region && !except.contains(peer.address)) {
      peers_in_range[order] = &peer;
    }
  }
  return peers_in_range;
}

// The first reachable peer of the part; its first peer if none is reachable.
const relay_peer* PickReceiver(const std::vector<const relay_peer*>& part) {
  const auto found =
      std::find_if(part.begin(), part.end(),
                   [](const relay_peer* peer) { return peer->reachable; });
  return found == part.end() ? part.front() : *found;
}

// Splits the peers into up to `fan_out` parts, each with consecutive positions
// in the address order, and picks the receiver of each part.
std::vector<relay_step> SplitIntoSteps(const ordered_peers& peers_in_range,
                                       unsigned fan_out) {
  std::vector<const relay_peer*> list;
  for (const auto& [order, peer] : peers_in_range) {
    list.push_back(peer);
  }
  std::vector<relay_step> steps;
  const std::size_t parts = std::min<std::size_t>(fan_out, list.size());
  for (std::size_t i = 0; i < parts; ++i) {
    const std::size_t begin = list.size() * i / parts;
    const std::size_t end = list.size() * (i + 1) / parts;
    const std::vector<const relay_peer*> part(&list[begin],
                                              &list[begin] + (end - begin));
    relay_step step{.receiver = PickReceiver(part)->address};
    if (part.size() > 1) {
      step.range = {.first = AddressOrder(part.front()->address),
                    .last = AddressOrder(part.back()->address)};
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

// Predecessors of a daemon. More than one, since several may be down at once.
constexpr std::size_t kPredecessors = 4;
// Peers up to which a daemon keeps links to all of them.
constexpr std::size_t kMaxLinkedFleet = 32;

}  // namespace

std::vector<relay_peer> ListPeers(const snapshot& view,
                                  const host_address& self,
                                  const region_map& regions) {
  std::map<host_address, relay_peer> peers;
  for (const auto& [id, known] : view.instances) {
    const instance& registration = known.registration;
    const std::string& domain = registration.failure_domain;
    if (registration.host != self) {
      peers[registration.host] = {
          .address = registration.host,
          .region = std::string(RegionOf(regions, domain)),
          .failure_domain = domain};
    }
  }
  std::vector<relay_peer> list;
  for (auto& [address, peer] : peers) {
    list.push_back(std::move(peer));
  }
  return list;
}

fleet_place FindPlace(const snapshot& view,
                      const host_address& self,
                      const std::string& region,
                      const region_map& regions) {
  fleet_place place{.peers = ListPeers(view, self, regions)};
  const std::uint64_t own = AddressOrder(self);
  for (const relay_peer& peer : place.peers) {
    const bool before = AddressOrder(peer.address) < own;
    const bool near = peer.region == region;
    place.rank += before ? 1 : 0;
    place.peers_in_region += near ? 1 : 0;
    place.rank_in_region += before && near ? 1 : 0;
  }
  place.is_listed = std::any_of(
      view.instances.begin(), view.instances.end(),
      [&](const auto& item) { return item.second.registration.host == self; });
  return place;
}

std::uint64_t AddressOrder(const host_address& address) {
  return XXH3_64bits(address.data(), address.size());
}

std::vector<relay_step> PlanFromOriginator(const host_address& self,
                                           const std::string& region,
                                           const std::vector<relay_peer>& peers,
                                           unsigned fan_out) {
  std::vector<relay_step> steps = SplitIntoSteps(
      PeersInRange(peers, region, kWholeRegion, {self}), fan_out);
  std::set<std::string> other_regions;
  for (const relay_peer& peer : peers) {
    if (peer.region != region) {
      other_regions.insert(peer.region);
    }
  }
  for (const std::string& other_region : other_regions) {
    for (relay_step& step : SplitIntoSteps(
             PeersInRange(peers, other_region, kWholeRegion, {self}), 1)) {
      step.range = kWholeRegion;
      steps.push_back(std::move(step));
    }
  }
  return steps;
}

std::vector<relay_step> PlanWithinRange(const host_address& self,
                                        const std::string& region,
                                        const host_address& originator,
                                        const relay_range& range,
                                        const std::vector<relay_peer>& peers,
                                        unsigned fan_out) {
  return SplitIntoSteps(PeersInRange(peers, region, range, {self, originator}),
                        fan_out);
}

std::vector<host_address> FirstOfRegion(const std::string& region,
                                        const std::vector<relay_peer>& peers,
                                        std::size_t count) {
  std::vector<host_address> first;
  for (const auto& [order, peer] :
       PeersInRange(peers, region, kWholeRegion, {})) {
    if (first.size() < count) {
      first.push_back(peer->address);
    }
  }
  return first;
}

std::vector<host_address> PredecessorsOf(const host_address& self,
                                         const std::string& region,
                                         const std::vector<relay_peer>& peers) {
  const std::uint64_t own = AddressOrder(self);
  std::map<std::uint64_t, host_address> by_distance;
  for (const relay_peer& peer : peers) {
    if (peer.region == region && peer.address != self) {
      // Wraps around at the start of the order.
      by_distance[own - AddressOrder(peer.address)] = peer.address;
    }
  }
  std::vector<host_address> nearest;
  for (const auto& [distance, address] : by_distance) {
    if (nearest.size() < kPredecessors) {
      nearest.push_back(address);
    }
  }
  return nearest;
}

std::vector<host_address> PlanLinks(const relay_peer& self,
                                    const std::vector<relay_peer>& peers) {
  std::set<host_address> linked;
  std::set<std::string> regions{self.region};
  for (const relay_peer& peer : peers) {
    regions.insert(peer.region);
    const bool near = peer.failure_domain == self.failure_domain;
    if (near || peers.size() <= kMaxLinkedFleet) {
      linked.insert(peer.address);
    }
  }
  const std::vector<host_address> predecessors =
      PredecessorsOf(self.address, self.region, peers);
  linked.insert(predecessors.begin(), predecessors.end());
  std::vector<relay_peer> fleet = peers;
  fleet.push_back(self);
  const auto own_readers = FirstOfRegion(self.region, fleet, kRegionReaders);
  const bool reads = std::find(own_readers.begin(), own_readers.end(),
                               self.address) != own_readers.end();
  for (const std::string& region : regions) {
    if (reads || region == self.region) {
      const auto readers = FirstOfRegion(region, fleet, kRegionReaders);
      linked.insert(readers.begin(), readers.end());
    }
  }
  linked.erase(self.address);
  return {linked.begin(), linked.end()};
}

}  // namespace parsleyyard
