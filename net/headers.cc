// Lists of header fields.

#include "net/net.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
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

// Fields that the connection field names, besides the known ones.
std::vector<std::string> NamedByConnection(
    const std::vector<call_header>& headers) {
  std::vector<std::string> names;
  for (const call_header& header : headers) {
    if (iequals(header.name, "connection")) {
      std::vector<std::string> listed;
      boost::split(listed, header.value, boost::is_any_of(","));
      names.insert(names.end(), listed.begin(), listed.end());
    }
  }
  for (std::string& name : names) {
    boost::trim(name);
  }
  return names;
}

}  // namespace

const std::string* FindHeader(const std::vector<call_header>& headers,
                              std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [&](const call_header& header) { return iequals(header.name, name); });
  return found == headers.end() ? nullptr : &found->value;
}

const std::string* http_request::Find(std::string_view name) const {
  return FindHeader(headers, name);
}

std::vector<call_header> CopyEndToEndHeaders(
    const std::vector<call_header>& headers) {
  const std::vector<std::string> named = NamedByConnection(headers);
  const auto concerns_connection = [&](const call_header& header) {
    const auto same = [&](std::string_view name) {
      return iequals(name, header.name);
    };
    return std::any_of(kOneConnection.begin(), kOneConnection.end(), same) ||
           std::any_of(named.begin(), named.end(), same);
  };
  std::vector<call_header> kept;
  std::remove_copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                      concerns_connection);
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
