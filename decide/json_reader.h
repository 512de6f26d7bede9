// Checked access to JSON for the documents. Internal to decide/.

#ifndef PARSLEYYARD_DECIDE_JSON_READER_H_
#define PARSLEYYARD_DECIDE_JSON_READER_H_

#include "decide/decide.h"

#include <boost/json.hpp>

#include <functional>
#include <set>
#include <span>
#include <string>

namespace parsleyyard {

// Keeps the first error of one document; later ones are dropped.
class error_slot {
 public:
  void Set(std::string place, std::string message);
  bool empty() const { return !error_; }
  const document_error& error() const { return *error_; }

 private:
  std::optional<document_error> error_;
};

// Reads one JSON object. Call the getters for each known key, then Finish(),
// which reports keys that no getter asked for.
class object_reader {
 public:
  object_reader(const boost::json::value& value,
                std::string place,
                error_slot& errors);

  std::string Name(std::string_view key);  // required, 1 to 64 characters
  std::string Text(std::string_view key, std::string fallback);
  std::uint64_t Count(std::string_view key,
                      std::uint64_t fallback,
                      std::uint64_t min,
                      std::uint64_t max);
  bool Flag(std::string_view key, bool fallback);
  std::vector<std::string> Names(std::string_view key);
  std::size_t OneOf(std::string_view key,
                    std::span<const std::string_view> names,
                    std::size_t fallback);
  void Each(std::string_view key,
            const std::function<void(const boost::json::value&,
                                     std::string place)>& read);
  void Finish();

 private:
  const boost::json::value* Find(std::string_view key);
  void Fail(std::string_view key, std::string message);

  const boost::json::object* object_ = nullptr;
  std::string place_;
  error_slot& errors_;
  std::set<std::string, std::less<>> known_;
};

// Parses `json` and hands the root object to `read`.
leaf::result<void> ReadDocument(
    std::string_view json,
    const std::function<void(object_reader&, error_slot&)>& read);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_JSON_READER_H_
