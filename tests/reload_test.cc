// Settings that change while a daemon runs.

#include "daemon/daemon.h"
#include "daemon/settings_watch.h"
#include "platform/platform.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>

#include <array>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <new>
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

using file_time = std::filesystem::file_time_type;

// The bytes that lie where the watch will be hold the time of the file.
TEST(SettingsWatch, SeesFileThatWasMissingAtItsStart) {
  namespace fs = std::filesystem;
  const std::string file = ::testing::TempDir() + "parsleyyard_watch_test.ini";
  const std::string written = file + ".new";
  fs::remove(file);
  std::ofstream(written) << "[process]\n";
  const file_time modified = fs::last_write_time(written);
  alignas(settings_watch) std::array<unsigned char, sizeof(settings_watch)>
      memory{};
  for (std::size_t at = 0; at + sizeof modified <= memory.size();
       at += sizeof modified) {
    std::memcpy(memory.data() + at, &modified, sizeof modified);
  }
  asio::io_context context;
  bool seen = false;
  auto* watch =
      new (memory.data()) settings_watch(context, file, [&] { seen = true; });
  watch->Start();
  fs::rename(written, file);
  context.run_one();
  EXPECT_TRUE(seen);
  watch->~settings_watch();
  fs::remove(file);
}

}  // namespace
}  // namespace parsleyyard
