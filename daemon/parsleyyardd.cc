// parsleyyardd: the daemon beside an upstream.

#include "daemon/daemon.h"
#include "net/net.h"
#include "platform/platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

namespace po = boost::program_options;
namespace platform = parsleyyard::platform;
using parsleyyard::daemon_settings;

constexpr int kExitUsage = 2;
constexpr int kExitNoPort = 3;
constexpr std::string_view kVersion = "0.2.0";
// Names the settings file where --config is not given.
constexpr const char* kSettingsVariable = "PARSLEYYARD_SETTINGS";

// Waits for a signal on a thread of its own, so that it is seen however busy
// the workers are.
void DrainOnSignal(boost::asio::io_context& context,
                   boost::asio::signal_set& signals,
                   parsleyyard::proxy_daemon& daemon) {
  signals.async_wait(
      [&](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
          daemon.BeginDrain();
        }
      });
  context.run();
}

// What the daemon needs from the platform; an error names the bad bound.
boost::leaf::result<platform::bounds> BoundsOf(
    const daemon_settings& settings) {
  return platform::ParseBounds(settings.platform.bounds);
}

int Serve(const daemon_settings& settings, const platform::bounds& bounds) {
  const platform::dialect dialect;
  const platform::decoder decoder;
  const parsleyyard::daemon_platform parts{
      .dialect = dialect,
      .decoder = decoder,
      .make_source =
          [&](boost::asio::io_context& context,
              parsleyyard::source_listener& listener) {
            return std::make_unique<platform::store>(
                context,
                platform::store_options{
                    .address = settings.platform.store.address,
                    .port = settings.platform.store.port},
                listener);
          },
      .retries = {.ratio = bounds.retry_ratio,
                  .slack = bounds.retry_slack,
                  .window = bounds.retry_window},
      .cold = {.factor = bounds.cold_factor, .slack = bounds.cold_slack}};
  parsleyyard::proxy_daemon daemon(settings, parts);
  const int status = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.Listen());
        return 0;
      },
      [](const parsleyyard::net_error& error) {
        std::cerr << "parsleyyardd: " << error.what << "\n";
        return kExitNoPort;
      },
      [] { return kExitNoPort; });
  if (status != 0) {
    return status;
  }
  boost::asio::io_context signal_context;
  boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  std::thread waiter([&] { DrainOnSignal(signal_context, signals, daemon); });
  daemon.Run();
  signal_context.stop();
  waiter.join();
  return 0;
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
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, parsleyyard::LoadSettings(file));
        BOOST_LEAF_AUTO(bounds, BoundsOf(settings));
        if (given.contains("check")) {
          std::cout << "The settings are valid.\n";
          return 0;
        }
        return Serve(settings, bounds);
      },
      [](const parsleyyard::settings_error& error) {
        std::cerr << "parsleyyardd: " << error.Line() << "\n";
        return kExitUsage;
      },
      [](const parsleyyard::model_error& error) {
        std::cerr << "parsleyyardd: bound " << error.place << ": "
                  << error.message << "\n";
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv);
}
