// Settings that change while a daemon runs.

#include "daemon/daemon.h"
#include "platform/platform.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

namespace parsleyyard {
namespace {

class silent_store : public config_source {
 public:
  void ReadAll() override {}
  void ReadState() override {}
  void Watch(std::uint64_t /*after*/, duration /*wait*/) override {}
};

// Guards against a daemon that ends with a damaged heap.
TEST(Reload, ReloadsAtTheSameTimeEachTakeEffectWhole) {
  const platform::dialect dialect;
  const platform::decoder decoder;
  daemon_settings settings;
  settings.process.workers = 4;
  settings.process.log_level = "error";
  settings.calls.drain_notice = milliseconds(1);
  settings.calls.drain_timeout = milliseconds(1);
  proxy_daemon daemon(
      settings, {.dialect = dialect,
                 .decoder = decoder,
                 .create_source = [](asio::io_context&, source_listener&) {
                   return std::make_unique<silent_store>();
                 }});
  std::thread runner([&] { daemon.Run(); });
  for (int i = 0; i < 2000; ++i) {
    constexpr std::size_t kStepBytes = 20000;  // each value needs a new buffer
    settings.platform.bounds = "x=" + std::string(i % 50 * kStepBytes, '1');
    daemon.Reload(settings, {});
  }
  daemon.BeginDrain();
  runner.join();
}

}  // namespace
}  // namespace parsleyyard
