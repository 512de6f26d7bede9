// parsleyyardd: the daemon that runs beside an upstream.

#include "daemon/daemon.h"
#include "daemon/settings_watch.h"
#include "net/net.h"
#include "platform/platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#if defined(__GLIBC__)
#include <malloc.h>
#endif

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

namespace {

namespace po = boost::program_options;
namespace platform = parsleyyard::platform;
using parsleyyard::daemon_settings;

constexpr int kExitUsage = 2;
constexpr int kExitListenFailed = 3;
constexpr std::string_view kVersion = "0.3.0";
// Environment variable with the settings file to use without --config.
constexpr const char* kSettingsFileVariable = "PARSLEYYARD_SETTINGS";

// The content of a settings file, checked as a whole.
struct loaded_settings {
  daemon_settings settings;
  parsleyyard::platform_limits limits;
};

boost::leaf::result<loaded_settings> LoadSettingsAndLimits(
    const std::string& file) {
  BOOST_LEAF_AUTO(settings, parsleyyard::LoadSettings(file));
  BOOST_LEAF_AUTO(bounds, platform::ParseBounds(settings.platform.bounds));
  return loaded_settings{.settings = std::move(settings),
                         .limits = {.retries = {.ratio = bounds.retry_ratio,
                                                .slack = bounds.retry_slack,
                                                .window = bounds.retry_window},
                                    .cold = {.factor = bounds.cold_rate_factor,
                                             .slack = bounds.cold_rate_slack},
                                    .quotas = {.window = bounds.quota_window,
                                               .over = bounds.quota_over,
                                               .slack = bounds.quota_slack},
                                    .keys = {.strict = bounds.strict_revoke,
                                             .revoke = bounds.revoke},
                                    .grace = bounds.grace}};
}

// Loads the settings and passes them to `accept`, or passes a one-line error to
// `reject` if they are not valid. Returns what the called function returns.
int LoadAndDispatch(const std::string& file,
                    const std::function<int(const loaded_settings&)>& accept,
                    const std::function<int(const std::string&)>& reject) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(loaded, LoadSettingsAndLimits(file));
        return accept(loaded);
      },
      [&](const parsleyyard::settings_error& error) {
        return reject(error.ToString());
      },
      [&](const parsleyyard::model_error& error) {
        return reject(file + ", [platform] bounds, " + error.path + ": " +
                      error.message);
      },
      [&] { return reject(file + ": unknown error"); });
}

void Reload(const std::string& file, parsleyyard::proxy_daemon& daemon) {
  LoadAndDispatch(
      file,
      [&](const loaded_settings& loaded) {
        daemon.Reload(loaded.settings, loaded.limits);
        return 0;
      },
      [&](const std::string& line) {
        daemon.LogRejectedReload(line);
        return 0;
      });
}

// Handles signals and changes of the settings file. It has its own thread, so
// that busy workers don't delay it. SIGHUP reloads the settings; SIGTERM and
// SIGINT start a drain.
class signal_thread {
 public:
  signal_thread(std::string file, parsleyyard::proxy_daemon& daemon)
      : file_(std::move(file)),
        daemon_(daemon),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        settings_watch_(context_, file_, [this] { Reload(file_, daemon_); }) {
    WaitForSignal();
    settings_watch_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~signal_thread() {
    context_.stop();
    thread_.join();
  }
  signal_thread(const signal_thread&) = delete;
  signal_thread& operator=(const signal_thread&) = delete;

 private:
  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          signal == SIGHUP ? Reload(file_, daemon_) : daemon_.BeginDrain();
          WaitForSignal();
        });
  }

  const std::string file_;
  parsleyyard::proxy_daemon& daemon_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  parsleyyard::settings_watch settings_watch_;
  std::thread thread_;
};

int Serve(const std::string& file, const loaded_settings& loaded) {
  const daemon_settings& settings = loaded.settings;
  const platform::dialect dialect;
  const platform::decoder decoder;
  const parsleyyard::daemon_platform platform_parts{
      .dialect = dialect,
      .decoder = decoder,
      .create_source =
          [&](boost::asio::io_context& context,
              parsleyyard::source_listener& listener) {
            return std::make_unique<platform::store_client>(
                context,
                platform::store_client_options{
                    .address = settings.platform.store.address,
                    .port = settings.platform.store.port},
                listener);
          },
      .limits = loaded.limits};
  parsleyyard::proxy_daemon daemon(settings, platform_parts);
  const signal_thread signals(file, daemon);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.Listen());
        daemon.Run();
        return 0;
      },
      [](const parsleyyard::net_error& error) {
        std::cerr << "parsleyyardd: " << error.what << "\n";
        return kExitListenFailed;
      },
      [] { return kExitListenFailed; });
}

// Returns the file given by --config or else by the environment; empty if
// neither is set.
std::string FindSettingsFile(const po::variables_map& flags) {
  if (flags.contains("config")) {
    return flags["config"].as<std::string>();
  }
  const char* from_environment = std::getenv(kSettingsFileVariable);
  return from_environment ? from_environment : "";
}

int Main(int argc, char** argv) {
  po::options_description options(
      "parsleyyardd: the daemon that runs beside an upstream\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini           serve\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini --check   check the "
      "settings and exit\n"
      "Options");
  options.add_options()("config", po::value<std::string>(),
                        "settings file (INI); default: $PARSLEYYARD_SETTINGS")(
      "check", "check the settings and exit")(
      "version", "print the version and exit")("help", "print this and exit");
  po::variables_map flags;
  try {
    po::store(po::parse_command_line(argc, argv, options), flags);
  } catch (const po::error& error) {
    std::cerr << "parsleyyardd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (flags.contains("help") || flags.contains("version")) {
    flags.contains("help") ? std::cout << options
                           : std::cout << "parsleyyardd " << kVersion << "\n";
    return 0;
  }
  const std::string file = FindSettingsFile(flags);
  if (file.empty()) {
    std::cerr << "parsleyyardd: no settings file: --config FILE or "
                 "$PARSLEYYARD_SETTINGS is required; see --help\n";
    return kExitUsage;
  }
  return LoadAndDispatch(
      file,
      [&](const loaded_settings& loaded) {
        if (flags.contains("check")) {
          std::cout << "The settings are valid.\n";
          return 0;
        }
        return Serve(file, loaded);
      },
      [](const std::string& line) {
        std::cerr << "parsleyyardd: " << line << "\n";
        return kExitUsage;
      });
}

// Makes the C library return each freed buffer of a large body to the system.
// By default it keeps freed blocks up to a threshold that grows to 32 MiB, and
// they count as memory of the process.
void ReturnFreedMemory() {
#if defined(__GLIBC__)
  constexpr int kMinMappedBytes = 128 * 1024;
  constexpr int kMaxKeptTopBytes = 4 * 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxKeptTopBytes);
#endif
}

}  // namespace

int main(int argc, char** argv) {
  ReturnFreedMemory();
  return Main(argc, argv);
}
