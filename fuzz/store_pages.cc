// Responses of the store to range reads and watches. The input is the era
// field, a line feed and the body.

#include "fuzz/parsing.h"
#include "platform/store_page.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace parsleyyard {
namespace {

// The number that a field states; empty if it states anything else.
std::optional<std::uint64_t> WholeNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [read_to, error] = std::from_chars(text.data(), end, number);
  const bool whole = error == std::errc() && read_to == end;
  return whole ? std::optional(number) : std::nullopt;
}

void CheckPage(const platform::store_page& page,
               const std::string& era,
               const std::string& body,
               std::string_view array_name) {
  Check(page.content.as_of.era == WholeNumber(era),
        "a page has the era that the response states");
  const boost::json::value parsed = boost::json::parse(body);
  const auto& listed = parsed.as_object().at(array_name).as_array();
  Check(page.content.items.size() == listed.size(),
        "a page has all items that the response lists");
  for (std::size_t i = 0; i < listed.size(); ++i) {
    Check(listed[i].as_object().at("key").as_string() ==
              page.content.items[i].key,
          "an item has the key that the response states");
  }
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  const std::string input(ToText(data, size));
  const std::size_t end = input.find('\n');
  const std::string era = input.substr(0, end);
  http_response response{.headers = {{.name = "Store-Era", .value = era}}};
  response.body = end == std::string::npos ? "" : input.substr(end + 1);
  for (const std::string_view array_name : {"items", "events"}) {
    const auto page = TryParse<platform::store_page>(
        [&] { return platform::ParsePage(response, array_name); });
    if (page) {
      CheckPage(*page, era, response.body, array_name);
    }
  }
  return 0;
}
