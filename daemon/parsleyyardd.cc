// parsleyyardd: the daemon beside an upstream.

#include "daemon/daemon.h"
#include "daemon/settings_watch.h"
#include "net/net.h"
#include "platform/platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

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
constexpr int kExitNoPort = 3;
constexpr std::string_view kVersion = "0.3.0";
// Names the settings file where --config is not given.
constexpr const char* kSettingsVariable = "PARSLEYYARD_SETTINGS";

// All that a settings file says; nothing of it counts if a part is wrong.
struct loaded_settings {
  daemon_settings settings;
  parsleyyard::platform_limits limits;
};

boost::leaf::result<loaded_settings> Load(const std::string& file) {
  BOOST_LEAF_AUTO(settings, parsleyyard::LoadSettings(file));
  BOOST_LEAF_AUTO(bounds, platform::ParseBounds(settings.platform.bounds));
  return loaded_settings{.settings = std::move(settings),
                         .limits = {.retries = {.ratio = bounds.retry_ratio,
                                                .slack = bounds.retry_slack,
                                                .window = bounds.retry_window},
                                    .cold = {.factor = bounds.cold_factor,
                                             .slack = bounds.cold_slack}}};
}

// Passes loaded settings on, or the line that says why they can't be.
int LoadInto(const std::string& file,
             const std::function<int(const loaded_settings&)>& use,
             const std::function<int(const std::string&)>& refuse) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(loaded, Load(file));
        return use(loaded);
      },
      [&](const parsleyyard::settings_error& error) {
        return refuse(error.ToString());
      },
      [&](const parsleyyard::model_error& error) {
        return refuse(file + ", [platform] bounds, " + error.path + ": " +
                      error.message);
      },
      [&] { return refuse(file + ": unknown error"); });
}

void Reload(const std::string& file, parsleyyard::proxy_daemon& daemon) {
  LoadInto(
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

// Waits for signals on a thread of its own, so that they are seen however busy
// the workers are: SIGHUP reloads the settings, the others stop the daemon.
class signal_waiter {
 public:
  signal_waiter(std::string file, parsleyyard::proxy_daemon& daemon)
      : file_(std::move(file)),
        daemon_(daemon),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        watch_(context_, file_, [this] { Reload(file_, daemon_); }) {
    Await();
    watch_.Begin();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~signal_waiter() {
    context_.stop();
    thread_.join();
  }
  signal_waiter(const signal_waiter&) = delete;
  signal_waiter& operator=(const signal_waiter&) = delete;

 private:
  void Await() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          signal == SIGHUP ? Reload(file_, daemon_) : daemon_.BeginDrain();
          Await();
        });
  }

  const std::string file_;
  parsleyyard::proxy_daemon& daemon_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  parsleyyard::settings_watch watch_;
  std::thread thread_;
};

int Serve(const std::string& file, const loaded_settings& loaded) {
  const daemon_settings& settings = loaded.settings;
  const platform::dialect dialect;
  const platform::decoder decoder;
  const parsleyyard::daemon_platform parts{
      .dialect = dialect,
      .decoder = decoder,
      .create_source =
          [&](boost::asio::io_context& context,
              parsleyyard::source_listener& listener) {
            return std::make_unique<platform::store>(
                context,
                platform::store_options{
                    .address = settings.platform.store.address,
                    .port = settings.platform.store.port},
                listener);
          },
      .limits = loaded.limits};
  parsleyyard::proxy_daemon daemon(settings, parts);
  const signal_waiter waiter(file, daemon);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.Listen());
        daemon.Run();
        return 0;
      },
      [](const parsleyyard::net_error& error) {
        std::cerr << "parsleyyardd: " << error.what << "\n";
        return kExitNoPort;
      },
      [] { return kExitNoPort; });
}

// --config, or else what the environment names; empty if neither does.
std::string SettingsFile(const po::variables_map& given) {
  if (given.contains("config")) {
    return given["config"].as<std::string>();
  }
  const char* named = std::getenv(kSettingsVariable);
  return named ? named : "";
}

int Main(int argc, char** argv) {
  po::options_description options(
      "parsleyyardd: the daemon beside an upstream\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini           serve\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini --check   check the "
      "settings and exit\n"
      "Options");
  options.add_options()("config", po::value<std::string>(),
                        "settings file (INI); default: $PARSLEYYARD_SETTINGS")(
      "check", "check the settings and exit")(
      "version", "print the version and exit")("help", "print this and exit");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
  } catch (const po::error& error) {
    std::cerr << "parsleyyardd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (given.contains("help") || given.contains("version")) {
    given.contains("help") ? std::cout << options
                           : std::cout << "parsleyyardd " << kVersion << "\n";
    return 0;
  }
  const std::string file = SettingsFile(given);
  if (file.empty()) {
    std::cerr << "parsleyyardd: --config FILE is needed; see --help\n";
    return kExitUsage;
  }
  return LoadInto(
      file,
      [&](const loaded_settings& loaded) {
        if (given.contains("check")) {
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

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv);
}
