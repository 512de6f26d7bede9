// Choice of the instance that a call is sent to. Internal to decide/.

#ifndef PARSLEYYARD_DECIDE_TARGET_CHOICE_H_
#define PARSLEYYARD_DECIDE_TARGET_CHOICE_H_

#include "decide/decide.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

// Two random choices by load within a tier of locality: own failure domain,
// own region, other regions.
class target_choice {
 public:
  target_choice(const sender_options& options, random_source& random)
      : options_(options), random_(random) {}

  std::optional<host_address> Choose(const snapshot& view,
                                     const call_plan& plan,
                                     const std::set<host_address>& tried,
                                     instant now);
  // True unless the view forbids sending the call to that host.
  bool IsAllowed(const snapshot& view,
                 const call_plan& plan,
                 const host_address& host) const;

  void OnSent(const host_address& host) { ++loads_[host].outstanding; }
  void OnEnded(const host_address& host);
  void OnLoad(const host_address& host, const load_report& report, instant now);
  // Keeps calls of this class and lower ones away from a host for a while.
  void Avoid(const host_address& host, call_class priority, instant until);

 private:
  static constexpr std::size_t kTiers = 3;

  struct host_load {
    std::uint32_t outstanding = 0;  // sent by this daemon and not ended
    load_report report;
    instant reported_at{};
    std::array<instant, kCallClassNames.size()> avoid_until{};  // by class
  };
  struct candidate {
    const instance* target;
    double utilisation;
  };
  using tier_list = std::array<std::vector<const instance*>, kTiers>;

  tier_list SortIntoTiers(const snapshot& view,
                          const service& wanted,
                          const call_plan& plan,
                          const std::set<host_address>& tried,
                          instant now) const;
  std::size_t TierOf(const snapshot& view, const instance& target) const;
  bool IsHome(const snapshot& view,
              const call_plan& plan,
              const instance& target) const;
  double Utilisation(const host_address& host,
                     std::uint32_t slots,
                     instant now) const;
  candidate BetterOfTwo(const std::vector<const instance*>& tier,
                        std::uint32_t slots,
                        instant now);

  const sender_options& options_;
  random_source& random_;
  std::unordered_map<host_address, host_load> loads_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_TARGET_CHOICE_H_
