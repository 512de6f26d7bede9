// parsleyyard: the daemon as a library.
//
// Index
//   1. Settings    LoadSettings() and settings_error, see daemon/settings.h
//   2. Platform    daemon_platform, what the daemon needs from its platform
//   3. Daemon      proxy_daemon
//
// How to use it: load the settings, construct a proxy_daemon with a
// daemon_platform, call Listen(), then Run(). Run() returns once a drain that
// BeginDrain() started is complete.

#ifndef PARSLEYYARD_DAEMON_DAEMON_H_
#define PARSLEYYARD_DAEMON_DAEMON_H_

#include "calls/calls.h"
#include "control/control.h"
#include "daemon/settings.h"
#include "net/net.h"
#include "workspaces/quota.h"
#include "workspaces/workspaces.h"

#include <functional>
#include <memory>

namespace parsleyyard {

// Limits that the platform sets and the daemon enforces. Reload() can change
// them.
struct platform_limits {
  retry_limits retries;
  cold_limits cold;
  quota_limits quotas;
  key_limits keys;
  // Time from the request to stop until the process is killed; zero: not
  // stated.
  duration grace{};
};

// The platform-specific parts of a daemon. The referenced objects must outlive
// the daemon.
struct daemon_platform {
  const http_dialect& dialect;
  const item_decoder& decoder;
  std::function<std::unique_ptr<config_source>(asio::io_context&,
                                               source_listener&)>
      create_source;
  platform_limits limits;
};

class daemon_internals;

class proxy_daemon {
 public:
  proxy_daemon(daemon_settings settings, const daemon_platform& platform);
  ~proxy_daemon();

  // Binds all ports. Returns a net_error that names the address and port if one
  // can't be bound.
  leaf::result<void> Listen();

  // Serves until a drain is complete. Uses settings.process.workers threads,
  // the calling thread included.
  void Run();

  // Applies the settings that can change without a restart: log level, log rate
  // of good calls, and platform limits. Writes one log line that lists the
  // applied settings and those that need a restart. Thread-safe.
  void Reload(const daemon_settings& settings, const platform_limits& limits);

  // Logs why new settings were rejected. The current settings stay in force.
  // Thread-safe.
  void LogRejectedReload(const std::string& reason);

  // Starts a drain: announces the stop, then closes the listener for callers,
  // refuses new calls from peers, finishes the calls in flight and makes Run()
  // return. See PlanStop() for the times. Thread-safe.
  void BeginDrain();

 private:
  std::unique_ptr<daemon_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_DAEMON_H_
