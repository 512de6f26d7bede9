// The distribution tree, computed by every daemon from the same documents.

#include "decide/topology.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace parsleyyard {

namespace {

struct ranked_host {
  bool last;  // leaving or declared out
  std::uint64_t weight;
  const host_entry* entry;
};

bool Before(const ranked_host& a, const ranked_host& b) {
  return std::tie(a.last, a.weight, a.entry->address) <
         std::tie(b.last, b.weight, b.entry->address);
}

// Moves the first host of another failure domain to rank 1, so that the two
// readers never stand in one failure domain.
void SpreadReaders(std::vector<ranked_host>& order) {
  if (order.size() < 2) {
    return;
  }
  const auto other = std::find_if(
      order.begin() + 1, order.end(), [&](const ranked_host& host) {
        return !host.last &&
               host.entry->failure_domain != order[0].entry->failure_domain;
      });
  if (other != order.end()) {
    std::rotate(order.begin() + 1, other, other + 1);
  }
}

}  // namespace

std::shared_ptr<const topology> topology::Build(const host_list& hosts,
                                                const declarations& out) {
  std::map<std::string, std::vector<ranked_host>> regions;
  std::set<std::string_view> domains;
  for (const host_entry& entry : hosts.hosts) {
    const bool last =
        entry.leaving || out.IsOut(entry.address, entry.failure_domain);
    const std::uint64_t weight =
        XXH3_64bits(entry.address.data(), entry.address.size());
    regions[entry.region].push_back(
        {.last = last, .weight = weight, .entry = &entry});
    domains.insert(entry.failure_domain);
  }
  auto result = std::make_shared<topology>();
  result->domain_count_ = domains.size();
  result->places_.reserve(hosts.hosts.size());
  for (auto& [name, order] : regions) {
    std::sort(order.begin(), order.end(), Before);
    SpreadReaders(order);
    std::vector<host_address>& addresses = result->orders_[name];
    addresses.reserve(order.size());
    for (const ranked_host& host : order) {
      result->places_[host.entry->address] = {
          .region = name,
          .failure_domain = host.entry->failure_domain,
          .rank = addresses.size()};
      addresses.push_back(host.entry->address);
    }
  }
  return result;
}

std::optional<topology::place> topology::Find(const host_address& host) const {
  const auto found = places_.find(host);
  if (found == places_.end()) {
    return std::nullopt;
  }
  return place{.rank = found->second.rank,
               .order = RegionOrder(found->second.region)};
}

const std::vector<host_address>* topology::RegionOrder(
    std::string_view region_name) const {
  const auto found = orders_.find(region_name);
  return found == orders_.end() ? nullptr : &found->second;
}

std::vector<std::string> topology::Regions() const {
  std::vector<std::string> names;
  for (const auto& [name, order] : orders_) {
    names.push_back(name);
  }
  return names;
}

const std::string& topology::DomainOf(const host_address& host) const {
  static const std::string kNone;
  const auto found = places_.find(host);
  return found == places_.end() ? kNone : found->second.failure_domain;
}

std::vector<host_address> topology::Children(const host_address& host,
                                             unsigned fan_out) const {
  std::vector<host_address> children;
  const auto found = Find(host);
  if (!found) {
    return children;
  }
  const std::size_t first = found->rank * fan_out + 1;
  for (std::size_t i = first;
       i < std::min(first + fan_out, found->order->size()); ++i) {
    children.push_back((*found->order)[i]);
  }
  return children;
}

}  // namespace parsleyyard
