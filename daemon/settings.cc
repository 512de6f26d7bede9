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

// What is wrong with a value; empty if nothing.
using complaint = std::string;

complaint SetNumber(const setting& known,
                    const std::string& text,
                    std::uint64_t& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  if (whole && number >= known.min && number <= known.max) {
    return "";
  }
  const std::string unit =
      known.kind == setting_kind::kMs ? " milliseconds, without a unit" : "";
  return "must be a whole number from " + std::to_string(known.min) + " to " +
         std::to_string(known.max) + unit;
}

complaint CheckAddress(const std::string& text) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(text, error);
  return error ? "must be an IPv4 address such as 127.1.1.1" : "";
}

complaint CheckText(const setting& known, const std::string& text) {
  if (known.kind == setting_kind::kAddress) {
    return CheckAddress(text);
  }
  if (known.one_of.empty() ||
      std::find(known.one_of.begin(), known.one_of.end(), text) !=
          known.one_of.end()) {
    return "";
  }
  std::string allowed;
  for (const std::string& value : known.one_of) {
    allowed += (allowed.empty() ? "" : ", ") + value;
  }
  return "must be one of " + allowed;
}

complaint SetEndpoint(const std::string& text, endpoint& target) {
  const std::size_t colon = text.rfind(':');
  const std::string address = text.substr(0, colon);
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto [at, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    port = at == end ? port : 0;
  }
  if (port == 0 || !CheckAddress(address).empty()) {
    return "must be an IPv4 address and a port such as 127.1.1.1:8080";
  }
  target = {.address = address, .port = port};
  return "";
}

complaint CheckPair(const std::string& text) {
  const std::size_t colon = text.find(':');
  const bool good =
      colon != std::string::npos && colon > 0 && colon + 1 < text.size();
  return good ? "" : "must be name:value";
}

complaint SetList(const setting& known,
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
    complaint problem = known.kind == setting_kind::kPairs ? CheckPair(item)
                                                           : CheckAddress(item);
    if (!problem.empty()) {
      return "item " + item + " " + problem;
    }
    list.push_back(std::move(item));
  }
  return "";
}

complaint SetValue(const setting& known,
                   const std::string& text,
                   daemon_settings& settings) {
  const setting_target target = known.target(settings);
  if (auto* const* list = std::get_if<std::vector<std::string>*>(&target)) {
    return SetList(known, text, **list);
  }
  if (auto* const* address = std::get_if<endpoint*>(&target)) {
    return SetEndpoint(text, **address);
  }
  if (auto* const* value = std::get_if<std::string*>(&target)) {
    **value = text;
    return CheckText(known, text);
  }
  std::uint64_t number = 0;
  complaint problem = SetNumber(known, text, number);
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

leaf::result<void> CheckWhole(const std::string& file,
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
  const std::string own = settings.host.failure_domain + ":";
  const auto& domains = settings.host.domains;
  const bool known = std::any_of(
      domains.begin(), domains.end(),
      [&](const std::string& pair) { return pair.starts_with(own); });
  if (!known) {
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
  // The table of settings names fields of settings that may be written.
  daemon_settings first = a;
  daemon_settings second = b;
  std::vector<std::string> changed;
  for (const setting& known : AllSettings()) {
    const setting_target one = known.target(first);
    const setting_target other = known.target(second);
    const bool same = std::visit(
        [&](auto* value) {
          return *value == *std::get<decltype(value)>(other);
        },
        one);
    if (!same) {
      changed.push_back(known.section + "." + known.key);
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
      const setting* known = FindSetting(section, key);
      if (known == nullptr) {
        return leaf::new_error(
            settings_error{file, section, key,
                           "is not a known setting; see etc/parsleyyardd.ini"});
      }
      const std::string text = value.data();
      if (complaint problem = SetValue(*known, text, settings);
          !problem.empty()) {
        return leaf::new_error(
            settings_error{file, section, key, "\"" + text + "\" " + problem});
      }
    }
  }
  BOOST_LEAF_CHECK(CheckWhole(file, settings));
  return settings;
}

}  // namespace parsleyyard
