// The distribution tree, computed from the published host list. Internal to
// decide/.

#ifndef PARSLEYYARD_DECIDE_TOPOLOGY_H_
#define PARSLEYYARD_DECIDE_TOPOLOGY_H_

#include "decide/decide.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

// Position of every daemon in the distribution tree, computed from the host
// list. Hosts that are leaving or declared out stand last in each region.
class topology {
 public:
  static std::shared_ptr<const topology> Build(const host_list& hosts,
                                               const declarations& out);

  struct place {
    std::size_t rank = 0;  // 0 is the root of its region
    const std::vector<host_address>* order =
        nullptr;  // hosts of the region by rank
  };
  std::optional<place> Find(const host_address& host) const;
  const std::vector<host_address>* RegionOrder(
      std::string_view region_name) const;
  std::vector<std::string> Regions() const;
  const std::string& DomainOf(
      const host_address& host) const;  // "" if not listed
  std::vector<host_address> Children(const host_address& host,
                                     unsigned fan_out) const;
  std::size_t size() const { return places_.size(); }
  std::size_t domain_count() const { return domain_count_; }

 private:
  struct entry {
    std::string region;
    std::string failure_domain;
    std::size_t rank;
  };
  std::map<std::string, std::vector<host_address>, std::less<>> orders_;
  std::unordered_map<host_address, entry> places_;
  std::size_t domain_count_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_TOPOLOGY_H_
