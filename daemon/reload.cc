// Settings that are applied without a restart.

#include "daemon/component_options.h"
#include "daemon/daemon_internals.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace parsleyyard {

namespace {

// Settings that Reload() applies. All others need a restart.
constexpr std::array<std::string_view, 3> kReloadableSettings = {
    "platform.bounds", "process.log_level", "process.log_good_calls"};

}  // namespace

void daemon_internals::Reload(const daemon_settings& settings,
                              const platform_limits& limits) {
  asio::post(reload_strand_, [this, settings, limits] {
    boost::json::array applied;
    boost::json::array needs_restart;
    for (const std::string& name : ChangedSettings(settings_, settings)) {
      const bool reloadable =
          std::find(kReloadableSettings.begin(), kReloadableSettings.end(),
                    name) != kReloadableSettings.end();
      (reloadable ? applied : needs_restart).emplace_back(name);
    }
    {
      const std::lock_guard lock(sender_mutex_);
      sender_.SetRetryLimits(limits.retries);
    }
    {
      const std::lock_guard lock(target_mutex_);
      target_.SetColdLimits(limits.cold);
    }
    quotas_.SetLimits(limits.quotas);
    gate_.SetKeyLimits(limits.keys);
    grace_ = limits.grace;
    log_.SetLimits(ParseLogLevel(settings), settings.process.log_good_calls);
    settings_.process.log_level = settings.process.log_level;
    settings_.process.log_good_calls = settings.process.log_good_calls;
    settings_.platform.bounds = settings.platform.bounds;
    log_.Write(log_kind::kProcess, log_level::kInfo, "daemon",
               "settings reloaded",
               {{"applied", std::move(applied)},
                {"in_force_after_a_restart", std::move(needs_restart)}});
  });
}

void daemon_internals::LogRejectedReload(const std::string& reason) {
  log_.Write(log_kind::kProcess, log_level::kError, "daemon",
             "settings rejected", {{"because", reason}});
}

}  // namespace parsleyyard
