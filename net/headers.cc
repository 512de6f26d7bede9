// Lookup and changes in lists of header fields.

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

// Fields that apply to a single connection or, as content-length, are set
// again for each message.
constexpr std::array<std::string_view, 10> kHopByHopFields = {
    "connection",     "keep-alive",        "proxy-connection", "te",
    "trailer",        "transfer-encoding", "upgrade",          "expect",
    "content-length", "proxy-authenticate"};

// Names of further hop-by-hop fields, as listed in the connection field.
std::vector<std::string> ParseConnectionField(
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
  const std::vector<std::string> extra_fields = ParseConnectionField(headers);
  const auto is_hop_by_hop = [&](const call_header& header) {
    const auto matches = [&](std::string_view name) {
      return iequals(name, header.name);
    };
    return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                       matches) ||
           std::any_of(extra_fields.begin(), extra_fields.end(), matches);
  };
  std::vector<call_header> kept;
  std::remove_copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                      is_hop_by_hop);
  return kept;
}

void RemoveHeader(std::vector<call_header>& headers, std::string_view name) {
  std::erase_if(headers, [&](const call_header& header) {
    return iequals(header.name, name);
  });
}

void SetHeader(std::vector<call_header>& headers,
               std::string_view name,
               std::string_view value) {
  RemoveHeader(headers, name);
  headers.push_back({.name = std::string(name), .value = std::string(value)});
}

}  // namespace parsleyyard
