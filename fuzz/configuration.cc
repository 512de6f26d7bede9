// Configurations: each route of a valid one leads to services that exist.

#include "fuzz/parsing.h"

#include <algorithm>

namespace parsleyyard {
namespace {

void CheckRoute(const configuration& config, const route& checked) {
  for (const weighted_service& target : checked.targets) {
    Check(config.FindService(target.service) != nullptr,
          "each service of a route is configured");
  }
  Check(std::any_of(checked.targets.begin(), checked.targets.end(),
                    [](const auto& target) { return target.weight > 0; }),
        "a route has a service with a weight above 0");
  Check(
      config.FindRoute(checked.virtual_host, checked.prefix + "x") != nullptr ||
          checked.virtual_host.find(':') != std::string::npos,
      "a route is found by its host and prefix");
  CheckDuration(checked.timeout);
  CheckDuration(checked.objective);
}

void CheckWorkspace(const configuration& config, const workspace& checked) {
  Check(config.FindWorkspace(checked.name) == &checked,
        "a workspace is found by its name");
  for (const std::string& key : checked.keys) {
    Check(!key.empty() && config.FindWorkspaceByKey(key) == &checked,
          "a key leads to the only workspace that has it");
  }
}

void CheckConfiguration(const configuration& config) {
  for (const route& each : config.routes()) {
    CheckRoute(config, each);
    for (const weighted_service& target : each.targets) {
      CheckDuration(config.FindService(target.service)->warm_up);
    }
  }
  for (const workspace& each : config.workspaces()) {
    CheckWorkspace(config, each);
  }
  CheckDuration(config.limits().header_timeout);
  CheckDuration(config.limits().idle_timeout);
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  const std::string value(ToText(data, size));
  const auto config = TryParse<std::shared_ptr<const configuration>>(
      [&] { return platform::DecodeConfiguration(value); });
  if (config) {
    CheckConfiguration(**config);
  }
  return 0;
}
