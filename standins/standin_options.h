// Command line, query string and HTTP helpers of the stand-ins.

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

// Parses the command line. Exits with status 0 after --help and with status 2
// after an error.
inline po::variables_map ParseOrExit(int argc,
                                     char** argv,
                                     const po::options_description& options) {
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << argv[0] << ": " << error.what() << "\n" << options;
    std::exit(2);
  }
  if (values.contains("help")) {
    std::cout << options;
    std::exit(0);
  }
  return values;
}

// Starts listening. Prints the error and exits with status 3 if the address
// can't be bound.
inline void ListenOrExit(http_server& server) {
  leaf::try_handle_all([&]() -> leaf::result<void> { return server.Listen(); },
                       [](const net_error& error) {
                         std::cerr << error.what << "\n";
                         std::exit(3);
                       },
                       [] { std::exit(3); });
}

// The value of the query parameter `name` in a request target; "" if absent.
// Values are not percent-decoded.
inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  const std::size_t query_begin = target.find('?');
  std::size_t value_begin = query_begin == std::string::npos
                                ? std::string::npos
                                : target.find(name + "=", query_begin);
  if (value_begin == std::string::npos) {
    return "";
  }
  value_begin += name.size() + 1;
  return target.substr(value_begin,
                       target.find('&', value_begin) - value_begin);
}

// Unix time in milliseconds, so that log lines of several processes can be
// compared.
inline std::int64_t EpochMs() {
  const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

inline http_response TextResponse(std::uint16_t status, std::string body) {
  return {.status = status,
          .headers = {{.name = "content-type", .value = "text/plain"}},
          .body = std::move(body)};
}

}  // namespace parsleyyard::standins

#endif  // PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_
