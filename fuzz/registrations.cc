// Registrations: an invalid one names no instance. The input is the part of the
// key behind its prefix, a line feed and the value.

#include "fuzz/parsing.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace parsleyyard {
namespace {

namespace json = boost::json;

// True if a registration states this address, with the port in digits only.
bool StatesAddress(const std::string& value, const instance& parsed) {
  const json::value registration = json::parse(value);
  const json::string& text = registration.as_object().at("address").as_string();
  const std::string_view stated(text.data(), text.size());
  const std::size_t colon = stated.rfind(':');
  const std::string_view port = stated.substr(colon + 1);
  return stated.substr(0, colon) == parsed.host &&
         port.find_first_not_of("0123456789") == std::string_view::npos &&
         std::strtoul(std::string(port).c_str(), nullptr, 10) == parsed.port;
}

bool IsControl(char c) {
  return std::iscntrl(static_cast<unsigned char>(c)) != 0;
}

void CheckInstance(const instance& parsed,
                   const std::string& id,
                   const std::string& value) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(parsed.host, error);
  Check(!error && parsed.port != 0, "an instance has an IPv4 address and port");
  Check(StatesAddress(value, parsed),
        "an instance has the address that its registration states");
  Check(!parsed.id.empty() && parsed.id == id,
        "an instance has the id of its key");
  Check(std::none_of(id.begin(), id.end(), IsControl),
        "an id fits into a header field");
  Check(parsed.slots >= 1, "an instance has a slot");
  CheckDuration(parsed.cold_left);
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  const std::string input(ToText(data, size));
  const std::size_t end = input.find('\n');
  const std::string id = input.substr(0, end);
  const std::string value =
      end == std::string::npos ? "" : input.substr(end + 1);
  const auto item = TryParse<decoded_item>(
      [&] { return platform::decoder().Decode("servers/" + id, value); });
  if (item) {
    CheckInstance(std::get<instance>(*item), id, value);
  }
  return 0;
}
