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

// Hosts hold no space, so the pair is unambiguous.
std::string PlaceOf(std::string_view host, std::string_view prefix) {
  return std::string(host) + " " + std::string(prefix);
}

leaf::result<void> CheckRoute(const route& checked) {
  const std::string place = "route " + checked.name;
  const bool framed =
      checked.prefix.starts_with('/') && checked.prefix.ends_with('/');
  if (!framed) {
    return leaf::new_error(model_error{
        place, "prefix " + checked.prefix + " must begin and end in /"});
  }
  const bool any_weight =
      std::any_of(checked.targets.begin(), checked.targets.end(),
                  [](const weighted_service& part) { return part.weight > 0; });
  if (!any_weight) {
    return leaf::new_error(
        model_error{place, "must lead to a service with a weight above 0"});
  }
  return {};
}

}  // namespace

leaf::result<std::shared_ptr<const configuration>> configuration::Create(
    parts from) {
  auto made = std::make_shared<configuration>();
  made->parts_ = std::move(from);
  for (const service& known : made->parts_.services) {
    made->by_name_[known.name] = &known;
  }
  for (route& added : made->parts_.routes) {
    BOOST_LEAF_CHECK(CheckRoute(added));
    for (const weighted_service& part : added.targets) {
      if (!made->by_name_.contains(part.service)) {
        return leaf::new_error(
            model_error{"route " + added.name,
                        "service " + part.service + " is not configured"});
      }
    }
    added.virtual_host = Lower(added.virtual_host);
    made->by_place_[PlaceOf(added.virtual_host, added.prefix)] = &added;
  }
  return std::shared_ptr<const configuration>(std::move(made));
}

const route* configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const std::string name = Lower(host.substr(0, host.find(':')));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found = by_place_.find(PlaceOf(name, path.substr(0, end + 1)));
    if (found != by_place_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const service* configuration::FindService(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

const known_instance* snapshot::FindAt(const host_address& host,
                                       std::uint16_t port) const {
  const known_instance* newest = nullptr;
  for (const auto& [id, known] : instances) {
    const bool here =
        known.registration.host == host && known.registration.port == port;
    if (here && (newest == nullptr || known.revision > newest->revision)) {
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
