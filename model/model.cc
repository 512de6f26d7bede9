#include "model/model.h"

#include <algorithm>
#include <cctype>

namespace parsleyyard {

namespace {

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

// Key of a route in the lookup table. A host name contains no space, so the key
// is unambiguous.
std::string RouteKey(std::string_view host, std::string_view prefix) {
  return std::string(host) + " " + std::string(prefix);
}

// Returns true if the text can be the whole value of a header field.
bool IsHeaderValue(const std::string& text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    return std::iscntrl(static_cast<unsigned char>(c)) != 0;
  });
}

leaf::result<void> CheckRoute(const route& checked) {
  const std::string path = "route " + checked.name;
  const bool valid_prefix =
      checked.prefix.starts_with('/') && checked.prefix.ends_with('/');
  if (!valid_prefix) {
    return leaf::new_error(model_error{
        path, "prefix " + checked.prefix + " must begin and end in /"});
  }
  const bool has_weight = std::any_of(
      checked.targets.begin(), checked.targets.end(),
      [](const weighted_service& target) { return target.weight > 0; });
  if (!has_weight) {
    return leaf::new_error(
        model_error{path, "must lead to a service with a weight above 0"});
  }
  return {};
}

}  // namespace

// Builds the lookup tables of the workspaces.
leaf::result<void> configuration::IndexWorkspaces() {
  for (const workspace& added : parts_.workspaces) {
    const std::string path = "workspace " + added.name;
    if (!IsHeaderValue(added.name)) {
      return leaf::new_error(model_error{
          path, "the name must not be empty or have control characters"});
    }
    if (!workspaces_by_name_.emplace(added.name, &added).second) {
      return leaf::new_error(model_error{path, "is configured twice"});
    }
    for (const std::string& key : added.keys) {
      if (key.empty()) {
        return leaf::new_error(model_error{path, "has an empty key"});
      }
      const auto [known, inserted] = workspaces_by_key_.emplace(key, &added);
      if (!inserted && known->second != &added) {
        return leaf::new_error(model_error{
            path, "shares a key with workspace " + known->second->name});
      }
    }
  }
  return {};
}

leaf::result<std::shared_ptr<const configuration>> configuration::Create(
    parts from) {
  auto created = std::make_shared<configuration>();
  created->parts_ = std::move(from);
  for (const service& each : created->parts_.services) {
    created->services_by_name_[each.name] = &each;
  }
  for (route& added : created->parts_.routes) {
    BOOST_LEAF_CHECK(CheckRoute(added));
    for (const weighted_service& target : added.targets) {
      if (!created->services_by_name_.contains(target.service)) {
        return leaf::new_error(
            model_error{"route " + added.name,
                        "service " + target.service + " is not configured"});
      }
    }
    added.virtual_host = Lower(added.virtual_host);
    created->routes_by_key_[RouteKey(added.virtual_host, added.prefix)] =
        &added;
  }
  BOOST_LEAF_CHECK(created->IndexWorkspaces());
  return std::shared_ptr<const configuration>(std::move(created));
}

const route* configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const std::string name = Lower(host.substr(0, host.find(':')));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found =
        routes_by_key_.find(RouteKey(name, path.substr(0, end + 1)));
    if (found != routes_by_key_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const service* configuration::FindService(std::string_view name) const {
  const auto found = services_by_name_.find(name);
  return found == services_by_name_.end() ? nullptr : found->second;
}

const workspace* configuration::FindWorkspaceByKey(
    const std::string& key) const {
  const auto found = workspaces_by_key_.find(key);
  return found == workspaces_by_key_.end() ? nullptr : found->second;
}

const workspace* configuration::FindWorkspace(std::string_view name) const {
  const auto found = workspaces_by_name_.find(name);
  return found == workspaces_by_name_.end() ? nullptr : found->second;
}

const known_instance* snapshot::FindAt(const host_address& host,
                                       std::uint16_t port) const {
  const known_instance* newest = nullptr;
  for (const auto& [id, known] : instances) {
    const bool same_address =
        known.registration.host == host && known.registration.port == port;
    if (same_address &&
        (newest == nullptr || known.position > newest->position)) {
      newest = &known;
    }
  }
  return newest;
}

std::string_view RegionOf(const region_map& regions, std::string_view domain) {
  const auto found = regions.find(domain);
  return found == regions.end() ? std::string_view() : found->second;
}

}  // namespace parsleyyard
