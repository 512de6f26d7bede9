// Archive wrappers that check the bounds of a field before memory is allocated.
// Internal to wire/.

#ifndef PARSLEYYARD_WIRE_BOUNDED_H_
#define PARSLEYYARD_WIRE_BOUNDED_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace parsleyyard {

// Decode() turns this exception into wire_error::kDamaged; Encode() passes it
// to its caller.
class bound_exceeded : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns `size`; throws if it exceeds the limit.
inline std::uint32_t CheckLimit(std::uint32_t size, std::uint32_t limit) {
  if (size > limit) {
    throw bound_exceeded("length " + std::to_string(size) + " exceeds " +
                         std::to_string(limit));
  }
  return size;
}

// A string of at most `limit` bytes.
struct bounded_string {
  std::string& value;
  std::uint32_t limit;

  template <class Archive>
  void save(Archive& archive) const {
    archive(CheckLimit(static_cast<std::uint32_t>(value.size()), limit));
    archive(cereal::binary_data(value.data(), value.size()));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint32_t size = 0;
    archive(size);
    value.resize(CheckLimit(size, limit));
    archive(cereal::binary_data(value.data(), value.size()));
  }
};

// A list of at most `limit` items. Grows with each decoded item, so a false
// length allocates nothing.
template <class Item>
struct bounded_list {
  std::vector<Item>& value;
  std::uint32_t limit;

  template <class Archive>
  void save(Archive& archive) const {
    archive(CheckLimit(static_cast<std::uint32_t>(value.size()), limit));
    for (Item& item : value) {
      archive(item);
    }
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint32_t size = 0;
    archive(size);
    CheckLimit(size, limit);
    value.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
      archive(value.emplace_back());
    }
  }
};

template <class Item>
bounded_list(std::vector<Item>&, int) -> bounded_list<Item>;

// An enum value; its number must be below `count`.
template <class Enum>
struct checked_enum {
  Enum& value;
  std::uint32_t count;

  template <class Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint8_t>(value));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint8_t number = 0;
    archive(number);
    CheckLimit(number, count - 1);
    value = static_cast<Enum>(number);
  }
};

template <class Enum>
checked_enum(Enum&, int) -> checked_enum<Enum>;

// A bool, sent as 0 or 1.
struct checked_bool {
  bool& value;

  template <class Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint8_t>(value));
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint8_t number = 0;
    archive(number);
    value = CheckLimit(number, 1) == 1;
  }
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_WIRE_BOUNDED_H_
