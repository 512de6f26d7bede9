// parsleyyardd: the daemon beside an upstream.

#include "daemon/daemon.h"
#include "net/net.h"

#include <glog/logging.h>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

namespace po = boost::program_options;
using parsleyyard::daemon_settings;

constexpr int kExitUsage = 2;
constexpr int kExitNoPort = 3;
constexpr std::string_view kVersion = "0.1.0";

void StartLog(const daemon_settings& settings, const char* program) {
  FLAGS_logtostderr = settings.process.log_file.empty();
  FLAGS_minloglevel = settings.process.log_level == "info" ? google::GLOG_INFO
                      : settings.process.log_level == "warning"
                          ? google::GLOG_WARNING
                          : google::GLOG_ERROR;
  if (!settings.process.log_file.empty()) {
    google::SetLogDestination(google::GLOG_INFO,
                              settings.process.log_file.c_str());
  }
  google::InitGoogleLogging(program);
}

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

int Serve(const daemon_settings& settings, const char* program) {
  StartLog(settings, program);
  parsleyyard::proxy_daemon daemon(settings);
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

int Main(int argc, char** argv) {
  po::options_description options(
      "parsleyyardd: the daemon beside an upstream\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini           serve\n"
      "  parsleyyardd --config /etc/parsleyyardd.ini --check   check the "
      "settings and exit\n"
      "Options");
  options.add_options()("config", po::value<std::string>(),
                        "settings file (INI)")("check",
                                               "check the settings and exit")(
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
  if (!given.contains("config")) {
    std::cerr << "parsleyyardd: --config FILE is needed; see --help\n";
    return kExitUsage;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, parsleyyard::LoadSettings(
                                      given["config"].as<std::string>()));
        if (given.contains("check")) {
          std::cout << "The settings are valid.\n";
          return 0;
        }
        return Serve(settings, argv[0]);
      },
      [](const parsleyyard::settings_error& error) {
        std::cerr << "parsleyyardd: " << error.Line() << "\n";
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

}  // namespace

int main(int argc, char** argv) {
  return Main(argc, argv);
}
