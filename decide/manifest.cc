// Closure check and lookups of a manifest.

#include "decide/decide.h"

#include <string>

namespace parsleyyard {

namespace {

leaf::error_id Reject(std::string place, std::string message) {
  return leaf::new_error(
      document_error{.place = std::move(place), .message = std::move(message)});
}

template <class Map, class Value>
leaf::result<void> AddUnique(Map& map,
                             std::string_view what,
                             const std::string& name,
                             const Value& value) {
  if (!map.emplace(name, value).second) {
    return Reject(std::string(what) + " " + name,
                  "stands twice in the manifest");
  }
  return {};
}

}  // namespace

leaf::result<std::shared_ptr<const manifest>> manifest::Link(
    std::uint64_t version,
    part_list parts) {
  auto result = std::make_shared<manifest>();
  result->version_ = version;
  result->parts_ = std::move(parts);
  for (const auto& part : result->parts_) {
    for (const region& item : part->regions) {
      for (const std::string& domain : item.failure_domains) {
        BOOST_LEAF_CHECK(AddUnique(result->region_of_, "failure domain", domain,
                                   std::string_view(item.name)));
      }
    }
    for (const service& item : part->services) {
      BOOST_LEAF_CHECK(
          AddUnique(result->services_, "service", item.name, &item));
      for (const instance& each : item.instances) {
        BOOST_LEAF_CHECK(
            AddUnique(result->by_host_, "instance on host", each.host, &item));
      }
    }
    for (const route& item : part->routes) {
      BOOST_LEAF_CHECK(
          AddUnique(result->routes_, "route prefix", item.prefix, &item));
    }
    for (const workspace& item : part->workspaces) {
      BOOST_LEAF_CHECK(
          AddUnique(result->workspaces_, "workspace", item.name, &item));
    }
  }
  std::set<std::string_view> regions;
  for (const auto& [domain, region_name] : result->region_of_) {
    regions.insert(region_name);
  }
  for (const auto& [name, item] : result->services_) {
    for (const instance& each : item->instances) {
      if (!result->region_of_.contains(each.failure_domain)) {
        return Reject(
            "service " + item->name + ", instance " + each.id,
            "failure domain " + each.failure_domain + " is in no region");
      }
    }
  }
  const auto check_homes =
      [&](const std::string& place,
          const std::vector<std::string>& homes) -> leaf::result<void> {
    for (const std::string& home : homes) {
      if (!regions.contains(home)) {
        return Reject(place, "home region " + home + " has no failure domain");
      }
    }
    return {};
  };
  for (const auto& [prefix, item] : result->routes_) {
    if (!result->services_.contains(item->service)) {
      return Reject("route " + item->name,
                    "service " + item->service + " is not in the manifest");
    }
    BOOST_LEAF_CHECK(check_homes("route " + item->name, item->home_regions));
  }
  for (const auto& [name, item] : result->workspaces_) {
    BOOST_LEAF_CHECK(
        check_homes("workspace " + item->name, item->home_regions));
  }
  return std::shared_ptr<const manifest>(std::move(result));
}

const route* manifest::FindRoute(std::string_view path) const {
  while (!path.empty()) {
    const auto found = routes_.find(path);
    if (found != routes_.end()) {
      return found->second;
    }
    const std::size_t slash = path.rfind('/', path.size() - 2);
    if (path.size() < 2 || slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
  }
  return nullptr;
}

const service* manifest::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const workspace* manifest::FindWorkspace(std::string_view name) const {
  const auto found = workspaces_.find(name);
  return found == workspaces_.end() ? nullptr : found->second;
}

std::string_view manifest::RegionOf(std::string_view failure_domain) const {
  const auto found = region_of_.find(failure_domain);
  return found == region_of_.end() ? std::string_view() : found->second;
}

const service* manifest::FindServiceAt(const host_address& host) const {
  const auto found = by_host_.find(host);
  return found == by_host_.end() ? nullptr : found->second;
}

const instance* manifest::FindInstanceAt(const host_address& host,
                                         std::string_view service_name) const {
  const service* found = FindServiceAt(host);
  if (found == nullptr || found->name != service_name) {
    return nullptr;
  }
  for (const instance& each : found->instances) {
    if (each.host == host) {
      return &each;
    }
  }
  return nullptr;
}

}  // namespace parsleyyard
