// parsleyyard: the daemon as a library.
//
// Index
//   1. Settings    LoadSettings() and settings_error, see daemon/settings.h
//   2. Daemon      proxy_daemon
//
// How to use it: load the settings, make a proxy_daemon, call Listen(), then
// Run(), which returns once BeginDrain() has led to an orderly stop.

#ifndef PARSLEYYARD_DAEMON_DAEMON_H_
#define PARSLEYYARD_DAEMON_DAEMON_H_

#include "daemon/settings.h"

#include <memory>

namespace parsleyyard {

class daemon_internals;

class proxy_daemon {
 public:
  explicit proxy_daemon(daemon_settings settings);
  ~proxy_daemon();

  // Binds all ports. A net_error says which one can't be had.
  leaf::result<void> Listen();

  // Works until an orderly stop is over. Starts settings.process.workers
  // threads.
  void Run();

  // Announces the stop, refuses new work, finishes what runs. From any thread.
  void BeginDrain();

 private:
  std::unique_ptr<daemon_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_DAEMON_H_
