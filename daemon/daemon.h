// parsleyyard: the daemon as a library.
//
// Index
//   1. Settings    LoadSettings() and settings_error, see daemon/settings.h
//   2. Platform    what the daemon needs from the platform it runs on
//   3. Daemon      proxy_daemon
//
// How to use it: load the settings, make a proxy_daemon with the platform's
// parts, call Listen(), then Run(), which returns once BeginDrain() has led to
// an orderly stop.

#ifndef PARSLEYYARD_DAEMON_DAEMON_H_
#define PARSLEYYARD_DAEMON_DAEMON_H_

#include "calls/calls.h"
#include "control/control.h"
#include "daemon/settings.h"
#include "net/net.h"

#include <functional>
#include <memory>

namespace parsleyyard {

// Bounds of the platform that the daemon keeps; Reload() may change them.
struct platform_limits {
  retry_limits retries;
  cold_limits cold;
};

// What differs from platform to platform. All of it must outlive the daemon.
struct daemon_platform {
  const http_dialect& dialect;
  const item_decoder& decoder;
  std::function<std::unique_ptr<config_source>(asio::io_context&,
                                               source_listener&)>
      make_source;
  platform_limits limits;
};

class daemon_internals;

class proxy_daemon {
 public:
  proxy_daemon(daemon_settings settings, const daemon_platform& platform);
  ~proxy_daemon();

  // Binds all ports. A net_error says which one can't be had.
  leaf::result<void> Listen();

  // Works until an orderly stop is over. Starts settings.process.workers
  // threads.
  void Run();

  // Takes over new settings as far as a running daemon can: the log's level and
  // rate, and the limits. One log line says what changed and what waits for a
  // restart. From any thread.
  void Reload(const daemon_settings& settings, const platform_limits& limits);

  // Says in the log why new settings were refused; nothing changes. From any
  // thread.
  void RefuseReload(const std::string& why);

  // Announces the stop, refuses new work, finishes what runs. From any thread.
  void BeginDrain();

 private:
  std::unique_ptr<daemon_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_DAEMON_H_
