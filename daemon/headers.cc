#include "daemon/headers.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace parsleyyard {

namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 10> kOneConnection = {
    "connection",     "keep-alive",        "proxy-connection", "te",
    "trailer",        "transfer-encoding", "upgrade",          "expect",
    "content-length", "proxy-authenticate"};

bool ConcernsConnection(std::string_view name) {
  return std::any_of(
      kOneConnection.begin(), kOneConnection.end(),
      [&](std::string_view known) { return iequals(known, name); });
}

}  // namespace

std::vector<call_header> EndToEnd(const std::vector<call_header>& headers) {
  std::vector<call_header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const call_header& header) {
                 return !ConcernsConnection(header.name);
               });
  return kept;
}

void SetHeader(std::vector<call_header>& headers,
               std::string_view name,
               std::string_view value) {
  std::erase_if(headers, [&](const call_header& header) {
    return iequals(header.name, name);
  });
  headers.push_back({.name = std::string(name), .value = std::string(value)});
}

}  // namespace parsleyyard
