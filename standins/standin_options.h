// Command line, query string and HTTP helpers of the stand-ins.

#ifndef PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_
#define PARSLEYYARD_STANDINS_STANDIN_OPTIONS_H_

#include "net/net.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

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

// Decodes %XX. Other characters stay as they are.
inline std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned char byte = 0;
    const char* const digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

// The decoded value of the query parameter `name` in a request target; "" if
// absent.
inline std::string QueryValue(std::string_view target, std::string_view name) {
  std::size_t begin = target.find('?');
  while (begin != std::string_view::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string_view parameter =
        target.substr(begin + 1, end - begin - 1);
    const std::size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == name) {
      return PercentDecode(parameter.substr(equals + 1));
    }
    begin = end;
  }
  return "";
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
