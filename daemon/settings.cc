#include "daemon/settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>

namespace parsleyyard {

namespace {

// What is wrong with a value and what is allowed; empty if the value is valid.
using value_error = std::string;

value_error ParseNumber(const setting& definition,
                        const std::string& text,
                        std::uint64_t& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_whole =
      error == std::errc() && end == text.data() + text.size();
  if (is_whole && number >= definition.min && number <= definition.max) {
    return "";
  }
  const std::string unit = definition.kind == setting_kind::kMs
                               ? " milliseconds, without a unit"
                               : "";
  return "must be a whole number from " + std::to_string(definition.min) +
         " to " + std::to_string(definition.max) + unit;
}

value_error CheckAddress(const std::string& text) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(text, error);
  return error ? "must be an IPv4 address such as 127.1.1.1" : "";
}

value_error CheckText(const setting& definition, const std::string& text) {
  if (definition.kind == setting_kind::kAddress) {
    return CheckAddress(text);
  }
  if (definition.one_of.empty() ||
      std::find(definition.one_of.begin(), definition.one_of.end(), text) !=
          definition.one_of.end()) {
    return "";
  }
  std::string allowed;
  for (const std::string& value : definition.one_of) {
    allowed += (allowed.empty() ? "" : ", ") + value;
  }
  return "must be one of " + allowed;
}

value_error ParseEndpoint(const std::string& text, endpoint& target) {
  const std::size_t colon = text.rfind(':');
  const std::string address = text.substr(0, colon);
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    port = parsed_end == end ? port : 0;
  }
  if (port == 0 || !CheckAddress(address).empty()) {
    return "must be an IPv4 address and a port such as 127.1.1.1:8080";
  }
  target = {.address = address, .port = port};
  return "";
}

value_error CheckPair(const std::string& text) {
  const std::size_t colon = text.find(':');
  const bool valid =
      colon != std::string::npos && colon > 0 && colon + 1 < text.size();
  return valid ? "" : "must be name:value";
}

value_error ParseList(const setting& definition,
                      const std::string& text,
                      std::vector<std::string>& list) {
  list.clear();
  std::vector<std::string> items;
  boost::split(items, text, boost::is_any_of(","));
  for (std::string& item : items) {
    boost::trim(item);
    if (item.empty()) {
      continue;
    }
    value_error problem = definition.kind == setting_kind::kPairs
                              ? CheckPair(item)
                              : CheckAddress(item);
    if (!problem.empty()) {
      return "item " + item + " " + problem;
    }
    list.push_back(std::move(item));
  }
  return "";
}

value_error ParseValue(const setting& definition,
                       const std::string& text,
                       daemon_settings& settings) {
  const setting_target target = definition.target(settings);
  if (auto* const* list = std::get_if<std::vector<std::string>*>(&target)) {
    return ParseList(definition, text, **list);
  }
  if (auto* const* address = std::get_if<endpoint*>(&target)) {
    return ParseEndpoint(text, **address);
  }
  if (auto* const* value = std::get_if<std::string*>(&target)) {
    **value = text;
    return CheckText(definition, text);
  }
  std::uint64_t number = 0;
  value_error problem = ParseNumber(definition, text, number);
  if (auto* const* port = std::get_if<std::uint16_t*>(&target)) {
    **port = static_cast<std::uint16_t>(number);
  } else if (auto* const* count = std::get_if<std::uint32_t*>(&target)) {
    **count = static_cast<std::uint32_t>(number);
  } else {
    *std::get<std::chrono::milliseconds*>(target) =
        std::chrono::milliseconds(number);
  }
  return problem;
}

const setting* FindSetting(const std::string& section, const std::string& key) {
  const auto& all = AllSettings();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [&](const setting& s) { return s.section == section && s.key == key; });
  return found == all.end() ? nullptr : &*found;
}

// Checks the format of other_region_prefix and the settings that depend on each
// other.
leaf::result<void> CheckConsistency(const std::string& file,
                                    const daemon_settings& settings) {
  const std::string& prefix = settings.listen.other_region_prefix;
  if (!prefix.empty() && !CheckAddress(prefix + ".0.0").empty()) {
    return leaf::new_error(settings_error{
        file, "listen", "other_region_prefix",
        "\"" + prefix + "\" must be empty or two octets such as 127.201"});
  }
  if (settings.view.stale_after <= settings.view.watch) {
    return leaf::new_error(
        settings_error{file, "view", "stale_after",
                       "must be longer than watch, or every daemon reads the "
                       "store all the time"});
  }
  const std::string own_prefix = settings.host.failure_domain + ":";
  const auto& domains = settings.host.domains;
  const bool has_own_region = std::any_of(
      domains.begin(), domains.end(),
      [&](const std::string& pair) { return pair.starts_with(own_prefix); });
  if (!has_own_region) {
    return leaf::new_error(settings_error{
        file, "host", "domains",
        "must name the region of " + settings.host.failure_domain});
  }
  return {};
}

}  // namespace

std::string settings_error::ToString() const {
  std::string line = file;
  line += section.empty() ? "" : ", [" + section + "]";
  line += key.empty() ? "" : " " + key;
  return line + ": " + message;
}

std::vector<std::string> ChangedSettings(const daemon_settings& a,
                                         const daemon_settings& b) {
  // setting::target takes settings by non-const reference, so it needs copies.
  daemon_settings first = a;
  daemon_settings second = b;
  std::vector<std::string> changed;
  for (const setting& definition : AllSettings()) {
    const setting_target first_value = definition.target(first);
    const setting_target second_value = definition.target(second);
    const bool same = std::visit(
        [&](auto* value) {
          return *value == *std::get<decltype(value)>(second_value);
        },
        first_value);
    if (!same) {
      changed.push_back(definition.section + "." + definition.key);
    }
  }
  return changed;
}

leaf::result<daemon_settings> LoadSettings(const std::string& file) {
  namespace pt = boost::property_tree;
  pt::ptree tree;
  try {
    pt::read_ini(file, tree);
  } catch (const pt::ini_parser_error& error) {
    const std::string line =
        error.line() ? "line " + std::to_string(error.line()) + ": " : "";
    return leaf::new_error(
        settings_error{file, "", "", line + error.message()});
  }
  daemon_settings settings;
  for (const auto& [section, keys] : tree) {
    if (keys.empty() && !keys.data().empty()) {
      return leaf::new_error(
          settings_error{file, "", section, "stands outside a section"});
    }
    for (const auto& [key, value] : keys) {
      const setting* definition = FindSetting(section, key);
      if (definition == nullptr) {
        return leaf::new_error(
            settings_error{file, section, key,
                           "is not a known setting; see etc/parsleyyardd.ini"});
      }
      const std::string text = value.data();
      if (value_error problem = ParseValue(*definition, text, settings);
          !problem.empty()) {
        return leaf::new_error(
            settings_error{file, section, key, "\"" + text + "\" " + problem});
      }
    }
  }
  BOOST_LEAF_CHECK(CheckConsistency(file, settings));
  return settings;
}

}  // namespace parsleyyard
