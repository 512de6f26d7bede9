#include "decide/json_reader.h"

#include <utility>

namespace parsleyyard {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameLength = 64;

}  // namespace

void error_slot::Set(std::string place, std::string message) {
  if (!error_) {
    error_ = document_error{.place = std::move(place),
                            .message = std::move(message)};
  }
}

object_reader::object_reader(const json::value& value,
                             std::string place,
                             error_slot& errors)
    : object_(value.if_object()), place_(std::move(place)), errors_(errors) {
  if (object_ == nullptr) {
    errors_.Set(place_, "must be an object");
  }
}

const json::value* object_reader::Find(std::string_view key) {
  known_.emplace(key);
  return object_ == nullptr ? nullptr : object_->if_contains(key);
}

void object_reader::Fail(std::string_view key, std::string message) {
  errors_.Set(
      place_.empty() ? std::string(key) : place_ + "." + std::string(key),
      std::move(message));
}

std::string object_reader::Name(std::string_view key) {
  std::string text = Text(key, "");
  if (text.empty() || text.size() > kMaxNameLength) {
    Fail(key, "must be a string of 1 to 64 characters");
  }
  return text;
}

std::string object_reader::Text(std::string_view key, std::string fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_string()) {
    Fail(key, "must be a string");
    return fallback;
  }
  return std::string(value->get_string());
}

std::uint64_t object_reader::Count(std::string_view key,
                                   std::uint64_t fallback,
                                   std::uint64_t min,
                                   std::uint64_t max) {
  const json::value* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error || number < min || number > max) {
    Fail(key, "must be a whole number from " + std::to_string(min) + " to " +
                  std::to_string(max));
    return fallback;
  }
  return number;
}

bool object_reader::Flag(std::string_view key, bool fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    Fail(key, "must be true or false");
    return fallback;
  }
  return value->get_bool();
}

std::vector<std::string> object_reader::Names(std::string_view key) {
  std::vector<std::string> names;
  Each(key, [&](const json::value& value, const std::string& place) {
    const bool usable = value.is_string() && !value.get_string().empty() &&
                        value.get_string().size() <= kMaxNameLength;
    if (!usable) {
      errors_.Set(place, "must be a string of 1 to 64 characters");
      return;
    }
    names.emplace_back(value.get_string());
  });
  return names;
}

std::size_t object_reader::OneOf(std::string_view key,
                                 std::span<const std::string_view> names,
                                 std::size_t fallback) {
  const std::string text = Text(key, std::string(names[fallback]));
  std::string allowed;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == text) {
      return i;
    }
    allowed += (i ? ", " : "") + std::string(names[i]);
  }
  Fail(key, "\"" + text + "\" must be one of " + allowed);
  return fallback;
}

void object_reader::Each(
    std::string_view key,
    const std::function<void(const json::value&, std::string place)>& read) {
  const json::value* value = Find(key);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Fail(key, "must be an array");
    return;
  }
  const std::string base =
      place_.empty() ? std::string(key) : place_ + "." + std::string(key);
  const json::array& items = value->get_array();
  for (std::size_t i = 0; i < items.size(); ++i) {
    read(items[i], base + "[" + std::to_string(i) + "]");
  }
}

void object_reader::Finish() {
  if (object_ == nullptr) {
    return;
  }
  for (const auto& item : *object_) {
    if (!known_.contains(item.key())) {
      Fail(item.key(), "is not a known key");
    }
  }
}

leaf::result<void> ReadDocument(
    std::string_view text,
    const std::function<void(object_reader&, error_slot&)>& read) {
  json::error_code parse_error;
  const json::value root = json::parse({text.data(), text.size()}, parse_error);
  if (parse_error) {
    return leaf::new_error(
        document_error{.place = "document",
                       .message = "is not JSON: " + parse_error.message()});
  }
  error_slot errors;
  object_reader reader(root, "", errors);
  read(reader, errors);
  reader.Finish();
  if (!errors.empty()) {
    return leaf::new_error(errors.error());
  }
  return {};
}

}  // namespace parsleyyard
