// Parses documents of the platform for the fuzz targets.

#ifndef PARSLEYYARD_FUZZ_PARSING_H_
#define PARSLEYYARD_FUZZ_PARSING_H_

#include "fuzz/check.h"
#include "platform/platform.h"

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string>

namespace parsleyyard {

// Runs `parse`, which returns a leaf::result. Empty if it fails.
template <class Value, class Parse>
std::optional<Value> TryParse(const Parse& parse) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(parsed, parse());
        return std::optional<Value>(std::move(parsed));
      },
      [](const model_error& error) {
        Check(!error.path.empty() && !error.message.empty(),
              "a model_error names the faulty element and the problem");
        return std::optional<Value>();
      },
      [] {
        Check(false, "each error is a model_error");
        return std::optional<Value>();
      });
}

// A limit that no sum of a few durations overflows.
inline constexpr duration kMaxSaneDuration = std::chrono::hours(24 * 366);

inline void CheckDuration(duration value) {
  Check(value >= duration::zero() && value <= kMaxSaneDuration,
        "a duration is not negative, and no sum of a few overflows");
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_FUZZ_PARSING_H_
