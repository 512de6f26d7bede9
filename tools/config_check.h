// Checks a valid configuration before it is published, and compares two.
//
// A configuration that daemons refuse does not get here: see
// platform::DecodeConfiguration(). The findings are about entries that have no
// effect or that contradict each other. No text contains a key.

#ifndef PARSLEYYARD_TOOLS_CONFIG_CHECK_H_
#define PARSLEYYARD_TOOLS_CONFIG_CHECK_H_

#include "model/model.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyyard::tools {

enum class finding_kind : std::uint8_t {
  kNeverUsed,      // no request can make use of the entry
  kContradiction,  // two limits or entries can't both have their effect
};
inline constexpr std::array<std::string_view, 2> kFindingKindNames = {
    "never used", "contradiction"};
constexpr std::string_view NameOf(finding_kind kind) {
  return kFindingKindNames[static_cast<std::size_t>(kind)];
}

struct config_finding {
  finding_kind kind = finding_kind::kNeverUsed;
  std::string entry;    // such as "route r1"
  std::string message;  // what is wrong, with the values
};

// Returns the findings in the order of the entries.
std::vector<config_finding> CheckConfiguration(const configuration& checked);

enum class change_kind : std::uint8_t { kAdded, kChanged, kRemoved };
inline constexpr std::array<std::string_view, 3> kChangeSigns = {"+", "~", "-"};

struct config_change {
  change_kind kind = change_kind::kAdded;
  std::string entry;                // such as "service a", or "limits"
  std::vector<std::string> fields;  // that differ, if the entry was changed
};

// Returns the changes from one configuration to the other: routes, services,
// workspaces and limits, each group in the order of the names.
std::vector<config_change> CompareConfigurations(const configuration& before,
                                                 const configuration& after);

}  // namespace parsleyyard::tools

#endif  // PARSLEYYARD_TOOLS_CONFIG_CHECK_H_
