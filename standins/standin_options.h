// Command line and query helpers of the stand-ins.

#ifndef PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_
#define PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_

#include "net/net.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace parsleyyard::standins {

namespace po = boost::program_options;

// Parses the command line or ends the process with a message.
inline po::variables_map ParseOrExit(int argc,
                                     char** argv,
                                     const po::options_description& options) {
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
  } catch (const po::error& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n" << options;
    std::exit(2);
  }
  if (given.contains("help")) {
    std::cout << options;
    std::exit(0);
  }
  return given;
}

// Listens or ends the process with a message.
inline void ListenOrExit(http_server& server) {
  leaf::try_handle_all([&]() -> leaf::result<void> { return server.Listen(); },
                       [](const net_error& error) {
                         std::cerr << error.what << "\n";
                         std::exit(3);
                       },
                       [] { std::exit(3); });
}

// The value of `name` in a query string; "" if absent.
inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  const std::size_t question = target.find('?');
  std::size_t at = question == std::string::npos
                       ? std::string::npos
                       : target.find(name + "=", question);
  if (at == std::string::npos) {
    return "";
  }
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

// Milliseconds since 1970, for logs that several processes write.
inline std::int64_t EpochMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

inline http_response Text(std::uint16_t status, std::string body) {
  return {.status = status,
          .headers = {{.name = "content-type", .value = "text/plain"}},
          .body = std::move(body)};
}

}  // namespace parsleyyard::standins

#endif  // PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_
